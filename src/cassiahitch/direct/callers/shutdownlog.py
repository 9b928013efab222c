"""Log lines and metrics of the requests that the shutdown of an entry cuts off."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from cassiahitch.direct.callers.errorresponses import request_id_of
from cassiahitch.direct.statelog import LOGGED_DIGITS
from cassiahitch.metrics.names import CounterName

if TYPE_CHECKING:
    from cassiahitch.direct.api import RequestCodec
    from cassiahitch.direct.callers.exchange import CallerExchange
    from cassiahitch.metrics.registry import Metrics

LOGGER = logging.getLogger('cassiahitch.stop')
#: Maximum number of lines for single requests in one shutdown; the summary counts all of them.
MAX_CUT_LINES = 100


@dataclass(slots=True)
class ShutdownLog:
    """Logs the steps of a shutdown; all times are seconds of the event loop's clock."""

    metrics: Metrics
    codec: RequestCodec
    signalled_at: float = 0
    at_signal: dict[str, Any] = field(default_factory=dict)

    def shutdown_started(
        self, now: float, connections: int, exchanges: Iterable[CallerExchange]
    ) -> None:
        """Record the open connections and requests at the signal.

        :param now: time of the signal.
        :param connections: number of open connections of callers.
        :param exchanges: exchanges whose response is not sent completely.
        """
        self.signalled_at = now
        self.at_signal = {'connections': connections, 'open_by_phase': count_phases(exchanges)}
        LOGGER.info('entry leaves', extra=self.at_signal)

    def accept_stopped(
        self, now: float, connections: int, exchanges: Iterable[CallerExchange]
    ) -> None:
        """Record the open connections and requests when new requests are no longer accepted.

        :param now: current time.
        :param connections: number of open connections of callers.
        :param exchanges: exchanges whose response is not sent completely.
        """
        extra = {
            'after_signal_s': round(now - self.signalled_at, LOGGED_DIGITS),
            'connections': connections,
            'open_by_phase': count_phases(exchanges),
        }
        LOGGER.info('entry takes no new requests', extra=extra)

    def closing_connections(
        self, now: float, connections: int, exchanges: Iterable[CallerExchange]
    ) -> None:
        """Record the requests that are cut off, right before the connections are closed.

        :param now: current time.
        :param connections: number of open connections of callers.
        :param exchanges: exchanges whose response is not sent completely; they are marked as cut.
        """
        cut = tuple(exchanges)
        level = logging.WARNING if cut else logging.INFO
        extra = {
            'after_signal_s': round(now - self.signalled_at, LOGGED_DIGITS),
            'cut': len(cut),
            'cut_by_phase': count_phases(cut),
            'connections': connections,
            'connections_at_signal': self.at_signal.get('connections'),
            'open_at_signal': self.at_signal.get('open_by_phase'),
        }
        LOGGER.log(level, 'entry closes its connections', extra=extra)
        for number, exchange in enumerate(cut):
            exchange.progress.cut_by_shutdown = True
            self.metrics.count(CounterName.requests_cut, exchange.progress.phase.name)
            if number < MAX_CUT_LINES:
                self.request_cut(now, exchange)

    def request_cut(self, now: float, exchange: CallerExchange) -> None:
        """Log a request whose response is cut off by the shutdown.

        :param now: current time.
        :param exchange: the request and its response so far.
        """
        progress = exchange.progress
        read_at = progress.opened_at if progress.read_at is None else progress.read_at
        extra = {
            'request': progress.id or request_id_of(self.codec, exchange.incoming),
            'phase': progress.phase.value,
            'since_read_s': round(now - read_at, LOGGED_DIGITS),
            'after_signal_s': round(now - self.signalled_at, LOGGED_DIGITS),
            'read_after_signal_s': round(read_at - self.signalled_at, LOGGED_DIGITS),
            'answer_started': exchange.response_started,
            'bytes_handed': progress.bytes_handed_over,
            'bytes_unsent': progress.bytes_unsent,
        }
        LOGGER.warning('request cut by the end of the entry', extra=extra)


def count_phases(exchanges: Iterable[CallerExchange]) -> dict[str, int]:
    """Count exchanges by their phase.

    :param exchanges: the exchanges.
    :return: numbers by the values of the phases.
    """
    return dict(Counter(exchange.progress.phase.value for exchange in exchanges))


__all__ = (
    'MAX_CUT_LINES',
    'ShutdownLog',
    'count_phases',
)
