"""Gate for runs on the backend server, which runs a suspected request exclusively."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class RunGate:
    """Lock that admits either any number of shared runs or a single exclusive one.

    Waiting exclusive runs have precedence over new shared ones.
    """

    def __init__(self) -> None:
        """Create a gate without runs."""
        self.running = 0
        self.exclusive_waiting = 0
        self.exclusive_running = False
        self.changed = asyncio.Condition()

    @asynccontextmanager
    async def enter(self, *, exclusive: bool) -> AsyncIterator[None]:
        """Wait until a run may start, and register it until the context exits.

        :param exclusive: whether no other run may overlap this one.
        :yield: once the run may start.
        """
        async with self.changed:
            await self._wait_for_turn(exclusive=exclusive)
            self.running += 1
            self.exclusive_running = exclusive
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._exit)
            yield

    async def _exit(self) -> None:
        async with self.changed:
            self.running -= 1
            self.exclusive_running = False
            self.changed.notify_all()

    async def _wait_for_turn(self, *, exclusive: bool) -> None:
        if not exclusive:
            await self.changed.wait_for(self._admits_shared)
            return
        with ExitStack() as stack:
            self.exclusive_waiting += 1
            stack.callback(self._end_wait)
            await self.changed.wait_for(self._is_idle)

    def _end_wait(self) -> None:
        self.exclusive_waiting -= 1

    def _is_idle(self) -> bool:
        return not self.running

    def _admits_shared(self) -> bool:
        return not self.exclusive_running and not self.exclusive_waiting


__all__ = ('RunGate',)
