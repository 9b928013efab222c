"""Admission rate, and an estimate of the run time of requests."""

from __future__ import annotations

from collections import deque

#: Seconds over which the rate is measured.
RATE_WINDOW_S = 2.0
#: Weight of a new sample in the mean run time.
RUN_TIME_GAIN = 0.05
#: Mean deviations above the mean run time within which most requests end.
DEVIATIONS = 3.0


class AdmissionRate:
    """Requests admitted per second, over a sliding window."""

    def __init__(self) -> None:
        """Create the rate without requests."""
        self.admitted_at: deque[float] = deque()
        self.started_at: float | None = None

    def count(self, now: float) -> None:
        """Count an admitted request.

        :param now: seconds.
        """
        if self.started_at is None:
            self.started_at = now
        self.admitted_at.append(now)
        self.trim(now)

    def trim(self, now: float) -> None:
        """Remove requests that are older than the window.

        :param now: seconds.
        """
        while self.admitted_at and now - self.admitted_at[0] > RATE_WINDOW_S:
            self.admitted_at.popleft()

    def per_s(self, now: float) -> float:
        """Return the rate.

        :param now: seconds.
        :return: requests per second; 0 until a full window was measured.
        """
        self.trim(now)
        if self.started_at is None or now - self.started_at < RATE_WINDOW_S:
            return 0
        return len(self.admitted_at) / RATE_WINDOW_S


class RunTimeEstimate:
    """Mean and mean deviation of the time from dispatch to response."""

    def __init__(self) -> None:
        """Create the estimate without samples."""
        self.mean_s: float = 0
        self.deviation_s: float = 0

    def record(self, seconds: float) -> None:
        """Add the run time of a request.

        :param seconds: seconds from dispatch to response.
        """
        difference = seconds - self.mean_s
        self.mean_s += RUN_TIME_GAIN * difference
        self.deviation_s += RUN_TIME_GAIN * (abs(difference) - self.deviation_s)

    @property
    def upper_bound_s(self) -> float:
        """Seconds within which most requests end."""
        return self.mean_s + DEVIATIONS * self.deviation_s


__all__ = (
    'AdmissionRate',
    'RunTimeEstimate',
)
