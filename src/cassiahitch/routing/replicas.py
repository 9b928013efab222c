"""Per-replica state of an entry: own requests in flight, last load report and service time."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field

from cassiahitch.routing.api import LoadReport, Replica

#: Seconds between samples of the own requests in flight.
SAMPLE_INTERVAL_S = 0.05
#: Maximum number of samples, which limits the age of the reports that can be corrected.
MAX_SAMPLES = 80
#: Assumed interval between reports in seconds, until it is measured.
INITIAL_INTERVAL_S = 1.0
#: Minimum interval in seconds by which missed reports are counted.
MIN_INTERVAL_S = 0.5
#: Seconds to which longer intervals between reports are capped in the mean.
MAX_INTERVAL_S = 2.0
#: Weight of a new interval in the mean interval between reports.
INTERVAL_GAIN = 0.2
#: Assumed service time in seconds before the first response.
INITIAL_SERVICE_S = 0.5
#: Minimum service time in seconds; a response may seem to take none, since clocks are coarse.
MIN_SERVICE_S = 0.0001
#: Weight of a new report in the mean number of requests of other entries.
OTHER_REQUESTS_GAIN = 0.1
#: Weight of a new sample in the mean service time.
SERVICE_GAIN = 0.1


@dataclass(slots=True)
class InFlightHistory:
    """Recent history of the number of own requests in flight."""

    times: list[float] = field(default_factory=list)
    counts: list[int] = field(default_factory=list)

    def record(self, now: float, count: int) -> None:
        """Record a count.

        :param now: seconds.
        :param count: own requests in flight from now on.
        """
        if self.times and now - self.times[-1] < SAMPLE_INTERVAL_S:
            self.counts[-1] = count
            return
        self.times.append(now)
        self.counts.append(count)
        if len(self.times) > MAX_SAMPLES:
            self.times.pop(0)
            self.counts.pop(0)

    def count_at(self, moment: float) -> int:
        """Return the number of own requests in flight at a point in time.

        :param moment: seconds.
        :return: the count; 0 before the first sample.
        """
        index = bisect_right(self.times, moment)
        if index:
            return self.counts[index - 1]
        return 0


@dataclass(slots=True)
class ReplicaState:
    """Load and speed of one replica; ``other_requests`` are those of other entries."""

    replica: Replica
    added_at: float
    in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = 0
    interval_s: float = INITIAL_INTERVAL_S
    other_requests: float = 0
    mean_other_requests: float = 0
    service_s: float = INITIAL_SERVICE_S
    has_latency: bool = False
    history: InFlightHistory = field(default_factory=InFlightHistory)

    @property
    def capacity(self) -> int:
        """Requests that run at once; 1 before the first report."""
        if self.report is None:
            return 1
        return max(1, self.report.capacity)

    def apply_report(self, report: LoadReport, now: float) -> bool:
        """Apply a load report, unless a newer one was applied.

        :param report: the report.
        :param now: seconds.
        :return: whether it was applied.
        """
        if self.report is not None and report.measured_at < self.report.measured_at:
            return False
        if self.report is not None:
            interval_s = min(MAX_INTERVAL_S, now - self.reported_at)
            self.interval_s += INTERVAL_GAIN * (interval_s - self.interval_s)
        self.report = report
        self.reported_at = now
        own = self.history.count_at(report.measured_at)
        self.other_requests = max(0, report.running + report.queued - own)
        self.mean_other_requests += OTHER_REQUESTS_GAIN * (
            self.other_requests - self.mean_other_requests
        )
        return True

    def missed_reports(self, now: float) -> float:
        """Return the time since the last report, in mean report intervals.

        :param now: seconds.
        :return: up to about 1 while reports arrive.
        """
        return (now - self.reported_at) / max(MIN_INTERVAL_S, self.interval_s)

    def change_in_flight(self, difference: int, now: float) -> None:
        """Change the number of own requests in flight.

        :param difference: 1 or -1.
        :param now: seconds.
        """
        self.in_flight = max(0, self.in_flight + difference)
        self.history.record(now, self.in_flight)

    def record_latency(self, latency_s: float, load: float) -> None:
        """Update the mean service time from the latency of a response.

        :param latency_s: seconds from dispatch to response.
        :param load: estimated number of requests at the replica.
        """
        sample = max(MIN_SERVICE_S, latency_s / max(1, load / self.capacity))
        if not self.has_latency:
            self.has_latency = True
            self.service_s = sample
            return
        self.service_s += SERVICE_GAIN * (sample - self.service_s)


__all__ = (
    'InFlightHistory',
    'ReplicaState',
)
