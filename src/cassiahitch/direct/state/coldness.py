"""Which replicas are cold, as an entry has observed it and as agents have reported it.

Load pattern: a replica is cold for some seconds after its start and may become cold again at any
moment. It crashes if it gets much more than the cold rate of its service from all entries together.
Its row, its responses and the agent that grants permits for it tell how long it stays cold. The
latest of these ends counts.

An entry tells agents only what it has observed itself. If it returned what an agent has reported,
each exchange would extend the period by the time that the messages took.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.wire.datagrammessages import ColdRecord

if TYPE_CHECKING:
    from cassiahitch.direct.state.replicas import Replica

MS_PER_S = 1000
#: Requests per second are sent in thousandths.
MILLI = 1000
#: Longest time for which a replica counts as cold after one report. Rows and responses repeat the
#: report far more often, and a wrong one must not limit a replica for good.
MAX_COLD_S = 60.0


@dataclass(slots=True)
class ColdPeriod:
    """When a replica stops being cold, by the clock of this host, in seconds.

    ``observed_until`` is from its rows and responses, ``reported_until`` from agents. ``row`` is
    the version of the last row that was applied.
    """

    service: str
    observed_until: float = -math.inf
    reported_until: float = -math.inf
    row: int = 0

    @property
    def until(self) -> float:
        """The latest end that any source has named."""
        return max(self.observed_until, self.reported_until)


def _ignore_cold(_: Replica, _left_s: float, _source: str) -> None:
    """Ignore that a replica has become cold; the default without a listener."""


@dataclass(slots=True)
class ColdRegistry:
    """Cold periods by the keys of the replicas, and the cold rates of the services.

    ``rates`` holds requests per second by service, without services that have no cold rate.
    ``on_cold`` is called when a replica becomes cold, with the seconds left and the source.
    """

    rates: Mapping[str, float] = field(default_factory=dict)
    periods: dict[str, ColdPeriod] = field(default_factory=dict)
    on_cold: Callable[[Replica, float, str], None] = _ignore_cold

    def per_s(self, service: str) -> float:
        """Return the cold rate of a service.

        :param service: name of the service.
        :return: requests per second from all entries together, 0 if there is no such limit.
        """
        return self.rates.get(service, 0)

    def is_cold(self, key: str, now: float) -> bool:
        """Return whether a replica may receive no more than the cold rate of its service.

        :param key: key of the replica.
        :param now: current time in seconds.
        :return: whether it is cold and its service has a cold rate.
        """
        period = self.periods.get(key)
        return period is not None and now < period.until and self.per_s(period.service) > 0

    def observe(self, replica: Replica, left_s: float, now: float, source: str) -> None:
        """Apply what a response or a row of a replica says.

        :param replica: the replica.
        :param left_s: seconds for which it stays cold.
        :param now: current time in seconds.
        :param source: where it was observed.
        """
        if left_s > 0:
            period = self.periods.setdefault(replica.key, ColdPeriod(replica.service))
            was_cold = now < period.until
            left_s = min(left_s, MAX_COLD_S)
            period.observed_until = max(period.observed_until, now + left_s)
            self.notify(replica, left_s, source, was_cold=was_cold)

    def observe_row(self, replica: Replica, version: int, now: float) -> None:
        """Apply the row of a replica, unless it is the same one as before.

        A row that nobody has rewritten says nothing on the time since then.

        :param replica: the replica.
        :param version: version of the row.
        :param now: current time in seconds.
        """
        period = self.periods.setdefault(replica.key, ColdPeriod(replica.service))
        if period.row != version:
            period.row = version
            self.observe(replica, replica.cold_ms / MS_PER_S, now, 'row')

    def apply_report(
        self, replica: Replica, records: tuple[ColdRecord, ...], now: float, source: str
    ) -> None:
        """Apply what an agent has reported.

        :param replica: the replica.
        :param records: one record, or none.
        :param now: current time in seconds.
        :param source: the process that reported it.
        """
        for record in records:
            if record.left_ms <= 0:
                continue
            period = self.periods.setdefault(replica.key, ColdPeriod(replica.service))
            was_cold = now < period.until
            left_s = min(record.left_ms / MS_PER_S, MAX_COLD_S)
            period.reported_until = max(period.reported_until, now + left_s)
            self.notify(replica, left_s, source, was_cold=was_cold)

    def notify(self, replica: Replica, left_s: float, source: str, *, was_cold: bool) -> None:
        """Tell the listener that a replica has become cold.

        :param replica: the replica.
        :param left_s: seconds for which it stays cold.
        :param source: where that was observed.
        :param was_cold: whether it was known to be cold before.
        """
        if not was_cold and self.per_s(replica.service) > 0:
            self.on_cold(replica, left_s, source)

    def records(self, key: str, now: float) -> tuple[ColdRecord, ...]:
        """Return what this process has observed itself, for a message to an agent.

        :param key: key of the replica.
        :param now: current time in seconds.
        :return: one record, or none unless the replica is cold.
        """
        if not self.is_cold(key, now):
            return ()
        period = self.periods[key]
        return (cold_record(period.observed_until - now, self.per_s(period.service)),)

    def cold_count(self, now: float) -> int:
        """Return how many replicas are cold.

        :param now: current time in seconds.
        :return: their number, among services with a cold rate.
        """
        return sum(self.is_cold(key, now) for key in self.periods)

    def keep_only(self, keys: frozenset[str]) -> None:
        """Drop the periods of replicas that are no longer registered.

        :param keys: keys of the registered replicas.
        """
        self.periods = {key: period for key, period in self.periods.items() if key in keys}


def cold_record(left_s: float, per_s: float) -> ColdRecord:
    """Return the record of a replica whose service has a cold rate.

    :param left_s: seconds for which it stays cold, negative or minus infinity if it is not.
    :param per_s: the cold rate in requests per second.
    :return: the record.
    """
    return ColdRecord(math.ceil(max(0, left_s) * MS_PER_S), int(per_s * MILLI))


__all__ = (
    'MAX_COLD_S',
    'MILLI',
    'MS_PER_S',
    'ColdPeriod',
    'ColdRegistry',
    'cold_record',
)
