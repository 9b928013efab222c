"""What an entry knows of one replica: own requests, the last report and its speed."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field

from cassiahitch.routing.api import LoadReport, Replica

#: Distance in seconds between kept samples of the own requests in flight.
SAMPLE_S = 0.05
#: Samples kept; together with SAMPLE_S the largest age of a report that can be corrected.
SAMPLES = 80
#: Seconds between reports that are assumed at first, at least and at most.
INTERVAL_S = 1.0
LEAST_INTERVAL_S = 0.5
LONGEST_INTERVAL_S = 2.0
#: Share of a new time between reports in the mean one.
INTERVAL_GAIN = 0.2
#: Service time in seconds assumed before the first answer.
SERVICE_S = 0.5
#: Share of a new report in the mean number of requests of others.
OTHERS_GAIN = 0.1
#: Share of a new sample in the mean service time.
SERVICE_GAIN = 0.1


@dataclass(slots=True)
class InFlightHistory:
    """Own requests in flight over the last seconds."""

    times: list[float] = field(default_factory=list)
    counts: list[int] = field(default_factory=list)

    def record(self, now: float, count: int) -> None:
        """Record a count.

        :param now: seconds.
        :param count: own requests in flight from now on.
        """
        if self.times and now - self.times[-1] < SAMPLE_S:
            self.counts[-1] = count
            return
        self.times.append(now)
        self.counts.append(count)
        if len(self.times) > SAMPLES:
            self.times.pop(0)
            self.counts.pop(0)

    def at(self, moment: float) -> int:
        """Return the own requests in flight at a moment.

        :param moment: seconds.
        :return: the count; 0 before the first sample.
        """
        index = bisect_right(self.times, moment)
        if index:
            return self.counts[index - 1]
        return 0


@dataclass(slots=True)
class ReplicaState:
    """Mutable knowledge of one replica."""

    replica: Replica
    added_at: float
    in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = 0
    interval_s: float = INTERVAL_S
    others: float = 0
    mean_others: float = 0
    service_s: float = SERVICE_S
    measured: bool = False
    history: InFlightHistory = field(default_factory=InFlightHistory)

    @property
    def capacity(self) -> int:
        """Requests that run at once; 1 before the first report."""
        if self.report is None:
            return 1
        return max(1, self.report.capacity)

    def accept(self, report: LoadReport, now: float) -> bool:
        """Take a load report in, unless a later one is known.

        :param report: the report.
        :param now: seconds.
        :return: whether it was taken in.
        """
        if self.report is not None and report.at < self.report.at:
            return False
        if self.report is not None:
            interval_s = min(LONGEST_INTERVAL_S, now - self.reported_at)
            self.interval_s += INTERVAL_GAIN * (interval_s - self.interval_s)
        self.report = report
        self.reported_at = now
        own = self.history.at(report.at)
        self.others = max(0, report.running + report.queued - own)
        self.mean_others += OTHERS_GAIN * (self.others - self.mean_others)
        return True

    def missed_reports(self, now: float) -> float:
        """Return the time since the last report, in mean times between reports.

        :param now: seconds.
        :return: up to about 1 while reports come.
        """
        return (now - self.reported_at) / max(LEAST_INTERVAL_S, self.interval_s)

    def change(self, difference: int, now: float) -> None:
        """Change the number of own requests in flight.

        :param difference: 1 or -1.
        :param now: seconds.
        """
        self.in_flight = max(0, self.in_flight + difference)
        self.history.record(now, self.in_flight)

    def learn_latency(self, latency_s: float, load: float) -> None:
        """Learn the service time from the latency of an answer.

        :param latency_s: seconds from dispatch to the answer.
        :param load: requests at the replica, estimated.
        """
        sample = latency_s / max(1, load / self.capacity)
        if not self.measured:
            self.measured = True
            self.service_s = sample
            return
        self.service_s += SERVICE_GAIN * (sample - self.service_s)


__all__ = (
    'InFlightHistory',
    'ReplicaState',
)
