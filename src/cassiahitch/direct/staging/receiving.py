"""Bounds the bytes of chunks that are on their way to this host.

Load pattern: the link of a host falls to a fraction of its rate while a version is fetched. What
was asked for then lies in front of the link, and requests for the engine wait behind it, as do the
ends of connections by which they are cancelled. The bound follows what the link carries.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.util.rates import bytes_per_s

if TYPE_CHECKING:
    from cassiahitch.weights.tree import Tier

#: Bytes of a chunk that are asked for at once.
PART_BYTES = 16_384
#: Seconds for which the link is busy with what may be on its way at its usual rate.
BUSY_S = 0.12
#: Seconds after which a part is late, so that less is asked for at once.
LATE_S = 0.25
#: Part of the bound that is left after a late part.
SHRINK = 0.5

#: Tier, order of arrival, bytes, and what is done when they may be asked for.
_Turn = tuple[int, int, int, asyncio.Future[None]]


@dataclass(slots=True)
class ReceiveWindow:
    """Additive increase, multiplicative decrease, between one part and what a sound link needs.

    ``bound`` are the bytes that may be on their way at once, ``under_way`` those that are. One
    transfer may always be under way, whatever its size.
    """

    most: float
    bound: float = field(init=False)
    under_way: int = 0
    shrunk_at: float = float('-inf')
    order: itertools.count[int] = field(default_factory=itertools.count)
    waiting: list[_Turn] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Begin with what a sound link needs."""
        self.most = max(self.most, PART_BYTES)
        self.bound = self.most

    @classmethod
    def of_link(cls, mbit_s: float) -> ReceiveWindow:
        """Return the window of a link.

        :param mbit_s: its usual rate, in megabits a second.
        :return: the window.
        """
        return cls(bytes_per_s(mbit_s) * BUSY_S)

    @asynccontextmanager
    async def receive(self, size: int, tier: Tier) -> AsyncGenerator[None, None]:
        """Wait until bytes may be asked for, and learn from the time that they take.

        :param size: how many.
        :param tier: what depends on them, the lowest goes first.
        :yield: while they are on their way.
        """
        await self.acquire(size, tier)
        clock = asyncio.get_running_loop().time
        began = clock()
        try:
            yield
        finally:
            self.ended(size, began, clock())

    async def acquire(self, size: int, tier: Tier) -> None:
        """Wait until bytes may be asked for, and count them as on their way.

        :param size: how many.
        :param tier: the lowest goes first.
        """
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (tier, next(self.order), size, turn))
        self.admit()
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.under_way -= size
                self.admit()
            raise

    def admit(self) -> None:
        """Let those go on whose bytes fit in."""
        while self.waiting:
            _, _, size, turn = self.waiting[0]
            if not turn.done() and not self.has_room(size):
                return
            heapq.heappop(self.waiting)
            if not turn.done():
                self.under_way += size
                turn.set_result(None)

    def has_room(self, size: int) -> bool:
        """Tell whether more bytes may be asked for now.

        :param size: how many.
        :return: whether they fit in.
        """
        return not self.under_way or self.under_way + size <= self.bound

    def ended(self, size: int, began: float, now: float) -> None:
        """Take in that bytes have come, or come no more.

        :param size: how many.
        :param began: when they were asked for, in seconds.
        :param now: seconds.
        """
        self.under_way -= size
        if now - began <= LATE_S:
            self.bound = min(self.most, self.bound + PART_BYTES * size / self.bound)
        elif began >= self.shrunk_at:
            # Those that were asked for before say nothing of the lower bound.
            self.bound = max(PART_BYTES, self.bound * SHRINK)
            self.shrunk_at = now
        self.admit()


__all__ = (
    'PART_BYTES',
    'ReceiveWindow',
)
