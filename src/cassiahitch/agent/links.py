"""The two directions of the host's link, paced so that live requests go first."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cassiahitch.weights.bucket import LinkBucket, LinkLimits

if TYPE_CHECKING:
    from cassiahitch.clock import Clock

#: Least and most bytes of a chunk that are sent at once.
LEAST_PART_BYTES = 16_384
MOST_PART_BYTES = 262_144


class HostLinks:
    """Owns one bucket for each direction."""

    def __init__(self, bytes_per_s: int, clock: Clock) -> None:
        """Create the links.

        :param bytes_per_s: rate of the host's link, each way.
        :param clock: source of time.
        """
        limits = LinkLimits(bytes_per_s)
        self.clock = clock
        self.up = LinkBucket(limits)
        self.down = LinkBucket(limits)
        self.part_bytes = min(max(limits.slice_bytes, LEAST_PART_BYTES), MOST_PART_BYTES)

    def live_in(self, size: int) -> None:
        """Report bytes of a live request that arrived.

        :param size: how many bytes.
        """
        self.down.record_live(size, self.clock.monotonic())

    def live_out(self, size: int) -> None:
        """Report bytes of a live answer that is sent.

        :param size: how many bytes.
        """
        self.up.record_live(size, self.clock.monotonic())

    async def send(self, size: int) -> None:
        """Wait until bytes of a chunk may be sent.

        :param size: how many bytes.
        """
        await asyncio.sleep(self.up.reserve(size, self.clock.monotonic()))

    async def receive(self, size: int) -> None:
        """Wait until bytes of a chunk may be asked for.

        :param size: how many bytes.
        """
        await asyncio.sleep(self.down.reserve(size, self.clock.monotonic()))


__all__ = ('HostLinks',)
