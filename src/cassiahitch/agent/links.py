"""Rate limits of the two directions of the host's link, which favour live requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cassiahitch.weights.bucket import LinkBucket, LinkLimits

if TYPE_CHECKING:
    from cassiahitch.clock import Clock

#: Minimum and maximum number of bytes of a chunk that are sent at once.
MIN_PART_BYTES = 16_384
MAX_PART_BYTES = 262_144


class HostLinks:
    """Owns one token bucket for each direction of the link."""

    def __init__(self, bytes_per_s: int, clock: Clock) -> None:
        """Create the links.

        :param bytes_per_s: rate of each direction of the link, in bytes per second.
        :param clock: source of time.
        """
        limits = LinkLimits(bytes_per_s)
        self.clock = clock
        self.uplink = LinkBucket(limits)
        self.downlink = LinkBucket(limits)
        self.part_bytes = min(max(limits.slice_bytes, MIN_PART_BYTES), MAX_PART_BYTES)

    def record_live_received(self, size: int) -> None:
        """Record bytes of a live request that was received.

        :param size: number of bytes.
        """
        self.downlink.record_live(size, self.clock.monotonic())

    def record_live_sent(self, size: int) -> None:
        """Record bytes of a live response that is sent.

        :param size: number of bytes.
        """
        self.uplink.record_live(size, self.clock.monotonic())

    async def send(self, size: int) -> None:
        """Wait until bytes of a chunk may be sent.

        :param size: number of bytes.
        """
        await asyncio.sleep(self.uplink.reserve(size, self.clock.monotonic()))

    async def receive(self, size: int) -> None:
        """Wait until bytes of a chunk may be received.

        :param size: number of bytes.
        """
        await asyncio.sleep(self.downlink.reserve(size, self.clock.monotonic()))


__all__ = ('HostLinks',)
