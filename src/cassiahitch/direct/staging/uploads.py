"""Sends chunks to other agents without filling the links.

Load pattern: while all hosts fetch a new version, events of live streams leave over the same
links, and must not wait behind chunks. What many hosts depend on goes first.
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

#: Part of the host's link that chunks use.
HOST_UTILISATION = 0.92
#: Part of the link between two regions that chunks use.
REGION_UTILISATION = 0.65
#: Agents of a region that send to another one at the same time; each brings other chunks there.
CROSSING_AT_ONCE = 4
#: Bytes that are sent at once.
SLICE_BYTES = 8192
#: Chunks that are sent at the same time.
AT_ONCE = 4
#: Chunks to send from which on further ones are refused, but for those of another region.
MAX_QUEUED_UPLOADS = 4


@dataclass(frozen=True, slots=True)
class LinkRates:
    """Rates of the host's link and of the link between two regions, in megabits a second."""

    host_mbit_s: float
    region_mbit_s: float


#: Tier, order of arrival, and what is done when the place is given.
_Turn = tuple[int, int, asyncio.Future[None]]


class PrioritySemaphore:
    """A few places; of those who wait, the lowest tier and then the first gets one."""

    def __init__(self, places: int) -> None:
        """Create it.

        :param places: how many there are.
        """
        self.free = places
        self.order = itertools.count()
        self.waiting: list[_Turn] = []

    async def acquire(self, tier: int) -> None:
        """Wait for a place.

        :param tier: the lowest goes first.
        """
        if self.free > 0:
            self.free -= 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (tier, next(self.order), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Give a place to whoever is next."""
        while self.waiting:
            _, _, turn = heapq.heappop(self.waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self.free += 1


class UploadLimiter:
    """Owns the rates of the links towards other agents."""

    def __init__(self, rates: LinkRates) -> None:
        """Create it.

        :param rates: rates of the links.
        """
        self.rates = rates
        self.host = _bucket(rates.host_mbit_s, HOST_UTILISATION)
        self.region = _bucket(rates.region_mbit_s, REGION_UTILISATION)
        self.places = PrioritySemaphore(AT_ONCE)

    def refuses(self, tier: Tier) -> bool:
        """Tell whether others should be asked for a chunk.

        Load pattern: many agents ask the few that have a new chunk, and would wait for each other
        while those that have got it meanwhile send nothing.

        :param tier: what depends on the chunk.
        :return: whether too many wait, and the chunk goes to the own region.
        """
        return tier > 0 and self.load >= MAX_QUEUED_UPLOADS

    @property
    def load(self) -> int:
        """Chunks that are sent or wait to be sent."""
        return AT_ONCE - self.places.free + len(self.places.waiting)

    def share_region_link(self, agents: int) -> None:
        """Divide the link between regions among the agents of a region.

        :param agents: how many send over it.
        """
        rate = self.rates.region_mbit_s / min(max(1, agents), CROSSING_AT_ONCE)
        self.region.limits = LinkLimits(bytes_per_s(rate), REGION_UTILISATION)

    async def paced(
        self, content: bytes, tier: Tier, *, crosses: bool
    ) -> AsyncGenerator[bytes, None]:
        """Yield the slices of a chunk, each when the links may take it.

        :param content: the chunk.
        :param tier: the lowest goes first.
        :param crosses: whether it goes to another region.
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
