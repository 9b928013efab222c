"""Delays before the next attempt of something that failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

#: Seconds of the longest first delay.
BASE_S = 0.2
#: Seconds of the longest delay.
CAP_S = 10.0
#: Doublings after which the delay is at its cap for any base.
MAX_DOUBLINGS = 16


class Backoff:
    """Draws delays that double up to a cap, each with full jitter."""

    def __init__(self, rng: random.Random, base_s: float = BASE_S, cap_s: float = CAP_S) -> None:
        """Create it without failures.

        :param rng: draws the jitter.
        :param base_s: seconds of the longest first delay.
        :param cap_s: seconds of the longest delay.
        """
        self.rng = rng
        self.base_s = base_s
        self.cap_s = cap_s
        self.failures = 0

    def next_delay_s(self) -> float:
        """Count a failure.

        :return: seconds to wait before the next attempt.
        """
        doublings = min(self.failures, MAX_DOUBLINGS)
        self.failures += 1
        return self.rng.uniform(0, min(self.cap_s, self.base_s * 2**doublings))

    def reset(self) -> None:
        """Start again from the first delay."""
        self.failures = 0


class RateLimiter:
    """Spaces the starts of attempts, so that many that become due at once do not burst."""

    def __init__(self, rate_per_s: float, burst: int = 1) -> None:
        """Create it with all of its burst free.

        :param rate_per_s: starts in a second.
        :param burst: starts that need no wait after a quiet time.
        """
        self.interval_s = 1 / rate_per_s
        self.burst = burst
        self.next_free: float = 0

    def reserve(self, now: float) -> float:
        """Reserve the next start.

        :param now: seconds.
        :return: the moment of the start, now or later.
        """
        earliest = max(self.next_free, now - (self.burst - 1) * self.interval_s)
        self.next_free = earliest + self.interval_s
        return max(now, earliest)


__all__ = (
    'Backoff',
    'RateLimiter',
)
