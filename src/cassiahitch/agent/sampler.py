"""Samples of the engine state, shared by all requests that end at the same time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.engine.api import Engine, EngineState


class StateSampler:
    """Queries the engine state, with at most one query in progress.

    Callers share the next query, which always starts after their call.
    """

    def __init__(self, engine: Engine) -> None:
        """Create a sampler.

        :param engine: the engine of the host.
        """
        self.engine = engine
        self.last_sample: EngineState | None = None
        self.lock = asyncio.Lock()
        self.pending_sample: asyncio.Task[EngineState] | None = None

    async def latest_state(self) -> EngineState:
        """Return the last sample, or take one if there is none.

        The load epoch increases with every load, so an equal epoch in this sample and a later one
        proves that nothing was loaded in between, however old this sample is.

        :return: the state of the engine.
        :raises PlatformError: if there is no sample yet and the engine does not respond.
        """
        if self.last_sample is None:
            return await self.sample()
        return self.last_sample

    async def sample(self) -> EngineState:
        """Return the state of the engine at some time after the call.

        :return: the state of the engine.
        :raises PlatformError: ``engine_unavailable`` or ``engine_answer_corrupt``.
        """
        if self.pending_sample is None:
            self.pending_sample = asyncio.create_task(self._sample_engine())
            self.pending_sample.add_done_callback(_consume_exception)
        return await asyncio.shield(self.pending_sample)

    async def _sample_engine(self) -> EngineState:
        async with self.lock:
            self.pending_sample = None
            self.last_sample = await self.engine.state()
            return self.last_sample


def _consume_exception(task: asyncio.Task[EngineState]) -> None:
    """Retrieve the exception of a query, so that it is not logged if all callers were cancelled."""
    if not task.cancelled():
        task.exception()


__all__ = ('StateSampler',)
