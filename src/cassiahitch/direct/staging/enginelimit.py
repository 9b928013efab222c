"""The rate limits of the engine of an agent, from its reports and from what entries observed.

Load pattern: an engine restarts, or a whole failure domain does, while many callers wait. Its agent
sees the new incarnation before any entry, and grants permits for the cold rate from then on.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.limitlog import log_cold_rate, log_rate_limit
from cassiahitch.direct.staging.ratelimiter import RateLimiter
from cassiahitch.direct.state.coldness import MAX_COLD_S, MILLI, MS_PER_S
from cassiahitch.direct.state.ratelimits import LimitObservation, observation_of

if TYPE_CHECKING:
    from cassiahitch.direct.staging.enginestate import EngineReport
    from cassiahitch.direct.statelog import StateLog
    from cassiahitch.util.endpoints import Endpoint
    from cassiahitch.wire.datagrammessages import ColdRecord, LimitRecord


@dataclass(frozen=True, slots=True)
class ColdRate:
    """The rate of a service for its cold replicas, and how long they are cold after their start.

    ``per_s`` is in requests per second, 0 if there is no such limit.
    """

    per_s: float = 0
    duration_s: float = 0


@dataclass(slots=True)
class EngineRateLimit:
    """The rate limiter of the engine's current incarnation, which started at ``born_ms``.

    ``is_reported`` is set once one of its reports has named a limit. ``cold_rate`` returns the cold
    rate in force. ``seen_at`` is when this process saw the incarnation first, in seconds; its true
    start is earlier, but the clocks of the hosts may differ.
    """

    log: StateLog
    limiter: RateLimiter = field(default_factory=RateLimiter)
    born_ms: int = 0
    is_reported: bool = False
    cold_rate: Callable[[], ColdRate] = ColdRate
    seen_at: float = -math.inf

    @property
    def per_s(self) -> float:
        """The limit in requests per second, infinity if there is none."""
        return self.limiter.tracker.current.per_s

    def apply_report(self, report: EngineReport, sent_at: float, now: float) -> None:
        """Apply the limit that the engine names in a report.

        Reports without a limit end one only if this engine names its limits in reports at all.

        :param report: the report.
        :param sent_at: when it was requested, in seconds.
        :param now: current time in seconds.
        """
        if report.born_ms != self.born_ms:
            self.limiter = RateLimiter()
            self.born_ms = report.born_ms
            self.is_reported = False
            self.seen_at = now
        self.apply_coldness(report.cold_s, now)
        if report.limit_per_s is None:
            return
        self.is_reported = self.is_reported or report.limit_per_s < math.inf
        if self.is_reported:
            self.observe(LimitObservation.named(report.limit_per_s, sent_at, now), 'report', now)

    def apply_coldness(self, left_s: float, now: float) -> None:
        """Apply how long the engine stays cold, by its report and by its start.

        :param left_s: seconds for which it stays cold by its report.
        :param now: current time in seconds.
        """
        rate = self.cold_rate()
        left_s = min(MAX_COLD_S, max(left_s, self.seen_at + rate.duration_s - now))
        self.mark_cold(rate.per_s, left_s, 'report', now)

    def mark_cold(self, per_s: float, left_s: float, source: str, now: float) -> None:
        """Record how long the engine stays cold, and log it if it has become cold.

        :param per_s: cold rate of its service, 0 if there is none.
        :param left_s: seconds for which it stays cold, negative if it is not.
        :param source: where that was observed.
        :param now: current time in seconds.
        """
        if self.limiter.mark_cold(per_s, now + left_s, now):
            log_cold_rate(self.log, per_s, left_s, source, born_ms=self.born_ms)

    def apply_records(self, records: tuple[LimitRecord, ...], entry: Endpoint, now: float) -> None:
        """Apply what an entry has observed; records of other replicas are ignored.

        :param records: the observations.
        :param entry: the entry.
        :param now: current time in seconds.
        """
        for record in records:
            if not record.replica and record.born_ms in {0, self.born_ms}:
                self.observe(observation_of(record, now), str(entry), now)
                self.apply_cold_records(record.cold, str(entry), now)

    def apply_cold_records(self, records: tuple[ColdRecord, ...], source: str, now: float) -> None:
        """Apply how long the engine stays cold as an entry has observed it.

        :param records: one record, or none.
        :param source: the entry, for the log.
        :param now: current time in seconds.
        """
        for record in records:
            per_s = self.cold_rate().per_s or record.milli_per_s / MILLI
            left_s = min(MAX_COLD_S, record.left_ms / MS_PER_S)
            if left_s > 0:
                self.mark_cold(per_s, left_s, source, now)

    def observe(self, observation: LimitObservation, source: str, now: float) -> None:
        """Apply an observation.

        :param observation: the observation.
        :param source: where it came from, for the log.
        :param now: current time in seconds.
        """
        before = self.per_s
        if self.limiter.observe(observation, now):
            log_rate_limit(self.log, self.per_s, before, source, born_ms=self.born_ms)

    def records(self, now: float) -> tuple[LimitRecord, ...]:
        """Return the limit as it is sent to entries.

        :param now: current time in seconds.
        :return: one record, or none if the engine has never named a limit and its service has no
            cold rate.
        """
        return self.limiter.records(now, born_ms=self.born_ms)


__all__ = (
    'ColdRate',
    'EngineRateLimit',
)
