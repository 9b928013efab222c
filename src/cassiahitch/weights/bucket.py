"""Rate limiter that paces chunk transfers on a link, so that live requests take precedence."""

from __future__ import annotations

from dataclasses import dataclass

#: Maximum share of the link that chunk transfers use, so that live requests find spare capacity.
MAX_UTILISATION = 0.95
#: Number of priority levels of transfers; level 0 is the highest.
PRIORITY_LEVELS = 8
#: Seconds for which a slice of a chunk occupies the link and may delay a live message.
SLICE_S = 0.001
MIN_SLICE_BYTES = 1_024
#: Seconds of unused capacity that may be used in a burst.
BURST_S = 0.001


@dataclass(frozen=True, slots=True)
class LinkLimits:
    """Rate of one direction of a link in bytes per second, and limits of its use."""

    bytes_per_s: float
    max_utilisation: float = MAX_UTILISATION
    burst_s: float = BURST_S

    @property
    def slice_bytes(self) -> int:
        """Number of bytes of a chunk to reserve and send at once."""
        return max(MIN_SLICE_BYTES, round(self.bytes_per_s * SLICE_S))


class LinkBucket:
    """A token bucket for one direction of a link.

    Each priority level has a time from which its next bytes may be sent. Bytes of a level also
    advance the times of all lower-priority levels, and live bytes those of all levels, so that a
    level uses only the capacity that higher-priority ones leave.
    """

    def __init__(self, limits: LinkLimits) -> None:
        """Create the bucket.

        :param limits: the rate of the link and the limits of its use.
        """
        self.limits = limits
        self.next_start_times = [float('-inf') for _ in range(PRIORITY_LEVELS)]
        self.live_bytes = 0
        self.chunk_bytes = 0

    def record_live(self, size: int, now: float) -> None:
        """Record bytes of live requests, which are never delayed.

        :param size: number of bytes.
        :param now: monotonic time in seconds.
        """
        self.live_bytes += size
        self.advance_start_times(0, size, now)

    def reserve(self, size: int, now: float, priority: int = 0) -> float:
        """Reserve capacity for a transfer.

        :param size: number of bytes.
        :param now: monotonic time in seconds.
        :param priority: the priority level, 0 is the highest; clamped to the existing levels.
        :return: seconds to wait before sending the bytes.
        """
        level = min(max(priority, 0), PRIORITY_LEVELS - 1)
        start = self.earliest_start(level, now)
        self.chunk_bytes += size
        self.advance_start_times(level, size, now)
        return max(0, start - now)

    def advance_start_times(self, level: int, size: int, now: float) -> None:
        """Advance the start times of a level and of all lower-priority ones."""
        cost = size / (self.limits.bytes_per_s * self.limits.max_utilisation)
        for lower in range(level, PRIORITY_LEVELS):
            self.next_start_times[lower] = self.earliest_start(lower, now) + cost

    def earliest_start(self, level: int, now: float) -> float:
        """Return when a level may send next; at most ``burst_s`` of past capacity is credited."""
        return max(self.next_start_times[level], now - self.limits.burst_s)


__all__ = (
    'LinkBucket',
    'LinkLimits',
)
