"""Samples of what the engine has loaded, shared by all requests that end together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.engine.api import Engine, EngineState


class StateSampler:
    """Asks the engine at most once at a time; a caller gets an answer to a later question."""

    def __init__(self, engine: Engine) -> None:
        """Create a sampler.

        :param engine: the engine of the host.
        """
        self.engine = engine
        self.latest: EngineState | None = None
        self.lock = asyncio.Lock()
        self.queued: asyncio.Task[EngineState] | None = None

    async def known(self) -> EngineState:
        """Return the latest sample.

        The load epoch rises with every load, so an unchanged epoch between this sample and a
        later one proves that nothing was loaded between them, however old this one is.

        :return: the state.
        :raises PlatformError: if there is none yet and the engine does not answer.
        """
        if self.latest is None:
            return await self.sample()
        return self.latest

    async def sample(self) -> EngineState:
        """Return the state as of a moment after the call.

        :return: the state.
        :raises PlatformError: ``engine_unavailable`` or ``engine_answer_corrupt``.
        """
        if self.queued is None:
            self.queued = asyncio.create_task(self._ask())
            self.queued.add_done_callback(_retrieve)
        return await asyncio.shield(self.queued)

    async def _ask(self) -> EngineState:
        async with self.lock:
            self.queued = None
            self.latest = await self.engine.state()
            return self.latest


def _retrieve(task: asyncio.Task[EngineState]) -> None:
    """Take the failure of a question whose callers have all left."""
    if not task.cancelled():
        task.exception()


__all__ = ('StateSampler',)
