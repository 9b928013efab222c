"""Paces the transfers of chunks on a link so that live traffic goes first."""

from __future__ import annotations

from dataclasses import dataclass

#: Share of the link that is used at most, so that live requests find it free.
MAX_UTILISATION = 0.95
#: Levels of priority of the transfers; level 0 goes first.
PRIORITY_LEVELS = 8
#: Seconds that a slice of a chunk takes the link, which a live message may have to wait.
SLICE_S = 0.001
MIN_SLICE_BYTES = 1_024
#: Seconds of unused capacity that may be used at once.
BURST_S = 0.001


@dataclass(frozen=True, slots=True)
class LinkLimits:
    """The rate of one direction of a link, in bytes per second, and how it may be used."""

    bytes_per_s: float
    max_utilisation: float = MAX_UTILISATION
    burst_s: float = BURST_S

    @property
    def slice_bytes(self) -> int:
        """How many bytes of a chunk to reserve and send at once."""
        return max(MIN_SLICE_BYTES, round(self.bytes_per_s * SLICE_S))


class LinkBucket:
    """A token bucket for one direction of a link.

    Each level has a time from which its next bytes may go. Bytes of a level, and all live bytes,
    move the times of the levels below them, so that lower levels use only what the others leave.
    """

    def __init__(self, limits: LinkLimits) -> None:
        """Create the bucket.

        :param limits: the rate of the link.
        """
        self.limits = limits
        self.free = [float('-inf') for _ in range(PRIORITY_LEVELS)]
        self.live_bytes = 0
        self.chunk_bytes = 0

    def record_live(self, size: int, now: float) -> None:
        """Report bytes of live requests; they never wait.

        :param size: how many bytes.
        :param now: the time in seconds.
        """
        self.live_bytes += size
        self.charge(0, size, now)

    def reserve(self, size: int, now: float, priority: int = 0) -> float:
        """Reserve a transfer.

        :param size: how many bytes.
        :param now: the time in seconds.
        :param priority: the level, 0 goes first; levels past the last count as the last.
        :return: the seconds to wait before the bytes are sent.
        """
        level = min(max(priority, 0), PRIORITY_LEVELS - 1)
        start = self.floor(level, now)
        self.chunk_bytes += size
        self.charge(level, size, now)
        return max(0, start - now)

    def charge(self, level: int, size: int, now: float) -> None:
        """Move the times of a level and of those below it."""
        cost = size / (self.limits.bytes_per_s * self.limits.max_utilisation)
        for lower in range(level, PRIORITY_LEVELS):
            self.free[lower] = self.floor(lower, now) + cost

    def floor(self, level: int, now: float) -> float:
        """Return from when a level may send, no further back than the burst allows."""
        return max(self.free[level], now - self.limits.burst_s)


__all__ = (
    'LinkBucket',
    'LinkLimits',
)
