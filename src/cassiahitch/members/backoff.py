"""Exponential backoff, and a rate limiter for the starts of attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

#: Maximum first delay in seconds.
BASE_S = 0.2
#: Maximum delay in seconds.
CAP_S = 10.0
#: Doublings after which any base delay has reached its cap.
MAX_DOUBLINGS = 16


class Backoff:
    """Exponential backoff with full jitter: random delays whose maximum doubles up to a cap."""

    def __init__(self, rng: random.Random, base_s: float = BASE_S, cap_s: float = CAP_S) -> None:
        """Create a backoff without failures.

        :param rng: random number generator for the jitter.
        :param base_s: maximum first delay in seconds.
        :param cap_s: maximum delay in seconds.
        """
        self.rng = rng
        self.base_s = base_s
        self.cap_s = cap_s
        self.failures = 0

    def next_delay_s(self) -> float:
        """Count a failure and return the delay after it.

        :return: seconds to wait before the next attempt.
        """
        doublings = min(self.failures, MAX_DOUBLINGS)
        self.failures += 1
        return self.rng.uniform(0, min(self.cap_s, self.base_s * 2**doublings))

    def reset(self) -> None:
        """Reset to the first delay, after a success."""
        self.failures = 0


class RateLimiter:
    """Spaces the starts of attempts, so that many that are due at the same time do not burst."""

    def __init__(self, rate_per_s: float, burst: int = 1) -> None:
        """Create a limiter with its full burst available.

        :param rate_per_s: starts per second.
        :param burst: starts that need no wait after an idle period.
        """
        self.interval_s = 1 / rate_per_s
        self.burst = burst
        self.next_free: float = 0

    def reserve(self, now: float) -> float:
        """Reserve the next start.

        :param now: seconds.
        :return: time of the start in seconds, now or later.
        """
        earliest = max(self.next_free, now - (self.burst - 1) * self.interval_s)
        self.next_free = earliest + self.interval_s
        return max(now, earliest)


__all__ = (
    'Backoff',
    'RateLimiter',
)
