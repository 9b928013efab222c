"""Lines and counts that tell what the end of an entry did to the requests that it had read."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from cassiahitch.direct.callers.errorresponses import request_id_of
from cassiahitch.metrics.names import CounterName

if TYPE_CHECKING:
    from cassiahitch.direct.api import RequestCodec
    from cassiahitch.direct.callers.exchange import CallerExchange
    from cassiahitch.metrics.registry import Metrics

LOGGER = logging.getLogger('cassiahitch.stop')
#: Most lines of cut requests of one end; the last line counts all of them.
MAX_CUT_LINES = 100
DIGITS = 4


@dataclass(slots=True)
class ShutdownLog:
    """Writes them; all times are seconds of the loop's clock."""

    metrics: Metrics
    codec: RequestCodec
    signalled_at: float = 0
    first: dict[str, Any] = field(default_factory=dict)

    def leaving(self, now: float, connections: int, exchanges: Iterable[CallerExchange]) -> None:
        """Record what there is at the signal.

        :param now: when it came.
        :param connections: open connections of callers.
        :param exchanges: the exchanges that are not at their end.
        """
        self.signalled_at = now
        self.first = {'connections': connections, 'open_by_phase': count_phases(exchanges)}
        LOGGER.info('entry leaves', extra=self.first)

    def taken(self, now: float, connections: int, exchanges: Iterable[CallerExchange]) -> None:
        """Record what there is when no new request is taken any more.

        :param now: when that is.
        :param connections: open connections of callers.
        :param exchanges: the exchanges that are not at their end.
        """
        extra = {
            'after_signal_s': round(now - self.signalled_at, DIGITS),
            'connections': connections,
            'open_by_phase': count_phases(exchanges),
        }
        LOGGER.info('entry takes no new requests', extra=extra)

    def ended(self, now: float, connections: int, exchanges: Iterable[CallerExchange]) -> None:
        """Record what is cut, right before the connections are closed.

        :param now: when that is.
        :param connections: open connections of callers.
        :param exchanges: the exchanges that are not at their end, which are marked as cut.
        """
        cut = tuple(exchanges)
        level = logging.WARNING if cut else logging.INFO
        extra = {
            'after_signal_s': round(now - self.signalled_at, DIGITS),
            'cut': len(cut),
            'cut_by_phase': count_phases(cut),
            'connections': connections,
            'connections_at_signal': self.first.get('connections'),
            'open_at_signal': self.first.get('open_by_phase'),
        }
        LOGGER.log(level, 'entry closes its connections', extra=extra)
        for number, exchange in enumerate(cut):
            exchange.progress.cut_by_shutdown = True
            self.metrics.count(CounterName.requests_cut, exchange.progress.phase.name)
            if number < MAX_CUT_LINES:
                self.cut(now, exchange)

    def cut(self, now: float, exchange: CallerExchange) -> None:
        """Record one request whose answer a stopping entry cuts.

        :param now: when it does.
        :param exchange: the request and what its caller has of the answer.
        """
        progress = exchange.progress
        read_at = progress.opened_at if progress.read_at is None else progress.read_at
        extra = {
            'request': progress.id or request_id_of(self.codec, exchange.incoming),
            'phase': progress.phase.value,
            'since_read_s': round(now - read_at, DIGITS),
            'after_signal_s': round(now - self.signalled_at, DIGITS),
            'read_after_signal_s': round(read_at - self.signalled_at, DIGITS),
            'answer_started': exchange.response_started,
            'bytes_handed': progress.bytes_handed_over,
            'bytes_unsent': progress.bytes_unsent,
        }
        LOGGER.warning('request cut by the end of the entry', extra=extra)


def count_phases(exchanges: Iterable[CallerExchange]) -> dict[str, int]:
    """Count exchanges by where they are.

    :param exchanges: the exchanges.
    :return: numbers by the names of phases.
    """
    return dict(Counter(exchange.progress.phase.value for exchange in exchanges))


__all__ = (
    'MAX_CUT_LINES',
    'ShutdownLog',
    'count_phases',
)
