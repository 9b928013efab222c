"""Lets a suspected request run on the backend server only while nothing else runs."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class RunGate:
    """Runs share the backend server; one that is to run alone excludes all others."""

    def __init__(self) -> None:
        """Create a gate with nothing running."""
        self.running = 0
        self.alone_waiting = 0
        self.alone_running = False
        self.changed = asyncio.Condition()

    @asynccontextmanager
    async def enter(self, *, alone: bool) -> AsyncIterator[None]:
        """Wait until a run may start, and hold others off while it is to run alone.

        :param alone: whether it is to run alone.
        :yield: while it runs.
        """
        async with self.changed:
            await self._wait(alone=alone)
            self.running += 1
            self.alone_running = alone
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._leave)
            yield

    async def _leave(self) -> None:
        async with self.changed:
            self.running -= 1
            self.alone_running = False
            self.changed.notify_all()

    async def _wait(self, *, alone: bool) -> None:
        if not alone:
            await self.changed.wait_for(self._is_shared)
            return
        with ExitStack() as stack:
            self.alone_waiting += 1
            stack.callback(self._end_wait)
            await self.changed.wait_for(self._is_free)

    def _end_wait(self) -> None:
        self.alone_waiting -= 1

    def _is_free(self) -> bool:
        return not self.running

    def _is_shared(self) -> bool:
        return not self.alone_running and not self.alone_waiting


__all__ = ('RunGate',)
