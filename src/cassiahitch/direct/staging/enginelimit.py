"""The rate limit of the engine of an agent, from its reports and from what entries observed."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.ratelimiter import RateLimiter
from cassiahitch.direct.state.ratelimits import LimitObservation, observation_of

if TYPE_CHECKING:
    from cassiahitch.direct.staging.enginestate import EngineReport
    from cassiahitch.direct.telemetry import StateLog
    from cassiahitch.util.endpoints import Endpoint
    from cassiahitch.wire.datagrammessages import LimitRecord


@dataclass(slots=True)
class EngineRateLimit:
    """The rate limiter of the engine's current incarnation, which started at ``born_ms``.

    ``is_reported`` is set once one of its reports has named a limit.
    """

    log: StateLog
    limiter: RateLimiter = field(default_factory=RateLimiter)
    born_ms: int = 0
    is_reported: bool = False

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
        if report.limit_per_s is None:
            return
        self.is_reported = self.is_reported or report.limit_per_s < math.inf
        if self.is_reported:
            self.observe(LimitObservation.named(report.limit_per_s, sent_at, now), 'report', now)

    def apply_records(self, records: tuple[LimitRecord, ...], entry: Endpoint, now: float) -> None:
        """Apply what an entry has observed; records of other replicas are ignored.

        :param records: the observations.
        :param entry: the entry.
        :param now: current time in seconds.
        """
        for record in records:
            if not record.replica and record.born_ms in {0, self.born_ms}:
                self.observe(observation_of(record, now), str(entry), now)

    def observe(self, observation: LimitObservation, source: str, now: float) -> None:
        """Apply an observation.

        :param observation: the observation.
        :param source: where it came from, for the log.
        :param now: current time in seconds.
        """
        before = self.per_s
        if self.limiter.observe(observation, now):
            self.log.state_changed(
                'rate limit in force',
                born_ms=self.born_ms,
                per_s=self.per_s,
                before_per_s=before,
                source=source,
            )

    def records(self, now: float) -> tuple[LimitRecord, ...]:
        """Return the limit as it is sent to entries.

        :param now: current time in seconds.
        :return: one record, or none if the engine has never named a limit.
        """
        return self.limiter.tracker.records(now, born_ms=self.born_ms)


__all__ = ('EngineRateLimit',)
