"""Rate at which requests are admitted."""

from __future__ import annotations

from collections import deque

#: Seconds over which the rate is measured.
RATE_WINDOW_S = 2.0
#: Share of a new answer in the mean time to an answer.
RUN_GAIN = 0.05
#: Mean deviations above the mean within which most requests are answered.
DEVIATIONS = 3.0


class AdmissionRate:
    """Requests admitted per second, over a sliding window."""

    def __init__(self) -> None:
        """Create it without any request."""
        self.moments: deque[float] = deque()
        self.started_at: float | None = None

    def count(self, now: float) -> None:
        """Count an admitted request.

        :param now: seconds.
        """
        if self.started_at is None:
            self.started_at = now
        self.moments.append(now)
        self.trim(now)

    def trim(self, now: float) -> None:
        """Drop requests that are older than the window.

        :param now: seconds.
        """
        while self.moments and now - self.moments[0] > RATE_WINDOW_S:
            self.moments.popleft()

    def per_s(self, now: float) -> float:
        """Return the rate.

        :param now: seconds.
        :return: requests per second; 0 until a whole window was measured.
        """
        self.trim(now)
        if self.started_at is None or now - self.started_at < RATE_WINDOW_S:
            return 0
        return len(self.moments) / RATE_WINDOW_S


class RunTime:
    """Mean and deviation of the time from dispatch to answer."""

    def __init__(self) -> None:
        """Create it without any answer."""
        self.mean_s: float = 0
        self.deviation_s: float = 0

    def learn(self, seconds: float) -> None:
        """Learn from an answer.

        :param seconds: from dispatch to answer.
        """
        difference = seconds - self.mean_s
        self.mean_s += RUN_GAIN * difference
        self.deviation_s += RUN_GAIN * (abs(difference) - self.deviation_s)

    @property
    def likely_s(self) -> float:
        """Seconds within which most requests are answered."""
        return self.mean_s + DEVIATIONS * self.deviation_s


__all__ = (
    'AdmissionRate',
    'RunTime',
)
