"""Limits the bytes of chunks that are in flight to this host.

Load pattern: the link of a host drops to a fraction of its rate while a version is fetched. All
bytes that were requested then queue in front of the link, and requests for the engine wait behind
them, as do the closed connections by which callers cancel requests. The limit therefore follows
what the link carries.
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

#: Bytes of a chunk that are requested at once.
PART_BYTES = 16_384
#: Largest window, in seconds that the link takes for it at its usual rate.
MAX_WINDOW_S = 0.12
#: Seconds after which a part is late and the window shrinks.
LATE_AFTER_S = 0.25
#: Factor of the window after a late part.
DECREASE_FACTOR = 0.5

#: Tier, order of arrival, bytes, and the future that is done when they may be requested.
_Waiter = tuple[int, int, int, asyncio.Future[None]]


@dataclass(slots=True)
class ReceiveWindow:
    """A window with additive increase and multiplicative decrease, as in congestion control.

    ``limit_bytes`` is the window: the bytes that may be in flight at once, between one part and
    ``max_bytes``. ``in_flight_bytes`` are those that are in flight. One transfer is always
    allowed, whatever its size.
    """

    max_bytes: float
    limit_bytes: float = field(init=False)
    in_flight_bytes: int = 0
    shrunk_at: float = float('-inf')
    order: itertools.count[int] = field(default_factory=itertools.count)
    waiting: list[_Waiter] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start with the largest window, of one part at least."""
        self.max_bytes = max(self.max_bytes, PART_BYTES)
        self.limit_bytes = self.max_bytes

    @classmethod
    def of_link(cls, mbit_s: float) -> ReceiveWindow:
        """Return the window of a link.

        :param mbit_s: its usual rate, in megabits a second.
        :return: the window.
        """
        return cls(bytes_per_s(mbit_s) * MAX_WINDOW_S)

    @asynccontextmanager
    async def receive(self, size: int, tier: Tier) -> AsyncGenerator[None, None]:
        """Wait until a transfer fits in the window, and adjust the window to its duration.

        :param size: bytes of the transfer.
        :param tier: the priority; the lowest tier is served first.
        :yield: while the bytes are in flight.
        """
        await self.acquire(size, tier)
        clock = asyncio.get_running_loop().time
        started_at = clock()
        try:
            yield
        finally:
            self.release(size, started_at, clock())

    async def acquire(self, size: int, tier: Tier) -> None:
        """Wait until a transfer fits in the window, and count its bytes as in flight.

        :param size: bytes of the transfer.
        :param tier: the priority; the lowest tier is served first.
        """
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (tier, next(self.order), size, waiter))
        self.admit()
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.in_flight_bytes -= size
                self.admit()
            raise

    def admit(self) -> None:
        """Start waiting transfers, in their order, as long as they fit in the window."""
        while self.waiting:
            _, _, size, waiter = self.waiting[0]
            if not waiter.done() and not self.has_capacity(size):
                return
            heapq.heappop(self.waiting)
            if not waiter.done():
                self.in_flight_bytes += size
                waiter.set_result(None)

    def has_capacity(self, size: int) -> bool:
        """Return whether a transfer fits in the window.

        :param size: bytes of the transfer.
        :return: whether it may start now.
        """
        return not self.in_flight_bytes or self.in_flight_bytes + size <= self.limit_bytes

    def release(self, size: int, started_at: float, now: float) -> None:
        """Record that a transfer has ended, and adjust the window to its duration.

        :param size: bytes of the transfer.
        :param started_at: when its bytes were requested, in seconds.
        :param now: current time in seconds.
        """
        self.in_flight_bytes -= size
        if now - started_at <= LATE_AFTER_S:
            self.limit_bytes = min(
                self.max_bytes, self.limit_bytes + PART_BYTES * size / self.limit_bytes
            )
        elif started_at >= self.shrunk_at:
            # Late transfers that started before the last decrease say nothing about the new window.
            self.limit_bytes = max(PART_BYTES, self.limit_bytes * DECREASE_FACTOR)
            self.shrunk_at = now
        self.admit()


__all__ = (
    'PART_BYTES',
    'ReceiveWindow',
)
