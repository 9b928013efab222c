"""Limits the rate and the number of the chunks that are sent to other agents.

Load pattern: while all hosts fetch a new version, events of live streams are sent over the same
links and must not wait behind chunks. Chunks that many hosts depend on are sent first.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.util.rates import bytes_per_s
from cassiahitch.weights.bucket import LinkBucket, LinkLimits

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from cassiahitch.weights.tree import Tier

#: Share of the host's link that chunks use.
HOST_UTILISATION = 0.92
#: Share of the link between two regions that chunks use.
REGION_UTILISATION = 0.65
#: Agents of a region that send to another region at the same time, each of them different chunks.
MAX_REGION_SENDERS = 4
#: Bytes that are sent at once.
SLICE_BYTES = 8192
#: Chunks that are sent at the same time.
MAX_CONCURRENT_UPLOADS = 4
#: Number of chunks being sent or queued from which on further requests are refused, except those
#: of another region.
MAX_QUEUED_UPLOADS = 4


@dataclass(frozen=True, slots=True)
class LinkRates:
    """Rates of the host's link and of the link between two regions, in megabits a second."""

    host_mbit_s: float
    region_mbit_s: float


#: Tier, order of arrival, and the future that is done when a slot is assigned.
_Waiter = tuple[int, int, asyncio.Future[None]]


class PrioritySemaphore:
    """A semaphore that serves the lowest tier first, and in order of arrival within a tier."""

    def __init__(self, slots: int) -> None:
        """Create the semaphore with all slots free.

        :param slots: how many holders it allows at the same time.
        """
        self.free = slots
        self.order = itertools.count()
        self.waiting: list[_Waiter] = []

    async def acquire(self, tier: int) -> None:
        """Wait for a slot.

        :param tier: the priority; the lowest tier is served first.
        """
        if self.free > 0:
            self.free -= 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (tier, next(self.order), waiter))
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Pass the slot on to the next waiter, or free it if there is none."""
        while self.waiting:
            _, _, waiter = heapq.heappop(self.waiting)
            if not waiter.done():
                waiter.set_result(None)
                return
        self.free += 1


class UploadLimiter:
    """Limits the chunks that are sent to other agents, by rate and by number."""

    def __init__(self, rates: LinkRates) -> None:
        """Create the limiter of this host.

        :param rates: rates of the links.
        """
        self.rates = rates
        self.host = _bucket(rates.host_mbit_s, HOST_UTILISATION)
        self.region = _bucket(rates.region_mbit_s, REGION_UTILISATION)
        self.slots = PrioritySemaphore(MAX_CONCURRENT_UPLOADS)

    def refuses(self, tier: Tier) -> bool:
        """Return whether a chunk request is refused, so that its sender chooses another holder.

        Load pattern: many agents request a new chunk from the few that hold it. They would wait
        for each other there while the agents that have received it meanwhile send nothing.

        :param tier: priority of the chunk, by what depends on it.
        :return: whether the chunk is for an agent of the own region and too many are queued.
        """
        return tier > 0 and self.upload_count >= MAX_QUEUED_UPLOADS

    @property
    def upload_count(self) -> int:
        """Number of chunks that are being sent or wait to be sent."""
        return MAX_CONCURRENT_UPLOADS - self.slots.free + len(self.slots.waiting)

    def share_region_link(self, agents: int) -> None:
        """Divide the rate of the link between regions among the agents of the own region.

        :param agents: how many agents the region has.
        """
        rate = self.rates.region_mbit_s / min(max(1, agents), MAX_REGION_SENDERS)
        self.region.limits = LinkLimits(bytes_per_s(rate), REGION_UTILISATION)

    async def paced_slices(
        self, content: bytes, tier: Tier, *, crosses: bool
    ) -> AsyncGenerator[bytes, None]:
        """Yield the slices of a chunk, each as soon as the rates of the links allow it.

        :param content: the chunk, or the requested range of it.
        :param tier: the priority; the lowest tier is sent first.
        :param crosses: whether the chunk is for another region.
        :yield: slices.
        """
        loop = asyncio.get_running_loop()
        for start in range(0, len(content), SLICE_BYTES):
            part = content[start : start + SLICE_BYTES]
            pause_s = self.host.reserve(len(part), loop.time(), tier)
            if crosses:
                pause_s = max(pause_s, self.region.reserve(len(part), loop.time(), tier))
            await asyncio.sleep(pause_s)
            yield part


def _bucket(mbit_s: float, utilisation: float) -> LinkBucket:
    return LinkBucket(LinkLimits(bytes_per_s(mbit_s), utilisation))


__all__ = (
    'LinkRates',
    'PrioritySemaphore',
    'UploadLimiter',
)
