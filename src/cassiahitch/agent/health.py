"""Counts crashes of the backend server and notices when it serves again."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from cassiahitch.errors import PlatformError
from cassiahitch.wire.messages import CachedPrefix

if TYPE_CHECKING:
    from cassiahitch.engine.api import Engine

#: Seconds between looks at a backend server that is down.
PROBE_S = 0.1
#: Seconds between looks at the cache events of a model engine.
CACHE_POLL_S = 0.5
#: Cache events sent with one heartbeat.
CACHE_EVENTS = 16


class BackendHealth:
    """Whether the backend server is up, how often it crashed, and what it caches."""

    def __init__(self, engine: Engine) -> None:
        """Create it for a backend server that is up.

        :param engine: the backend server.
        """
        self.engine = engine
        self.crashes = 0
        self.up = asyncio.Event()
        self.up.set()
        self.cache_sequence = 0
        self.cache_events: tuple[CachedPrefix, ...] = ()

    @property
    def down(self) -> bool:
        """Whether the backend server crashed and was not seen up again."""
        return not self.up.is_set()

    def note_crash(self) -> None:
        """Count a crash, once until the backend server is up again."""
        if not self.down:
            self.up.clear()
            self.crashes += 1

    async def wait_until_up(self, limit_s: float) -> None:
        """Wait for a backend server that crashed.

        :param limit_s: seconds after which the wait ends anyway.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self.up.wait()

    async def work(self) -> None:
        """Look whether the backend server is up again, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_S)
            if self.down:
                with suppress(PlatformError):
                    await self.engine.state()
                    self.up.set()

    async def watch_cache(self) -> None:
        """Read the cache events of the engine until cancelled."""
        while True:
            await asyncio.sleep(CACHE_POLL_S)
            with suppress(PlatformError):
                found = await self.engine.cache_events(self.cache_sequence)
                self.cache_events = tuple(
                    CachedPrefix(event.sequence, event.prefix, event.cached)
                    for event in found[-CACHE_EVENTS:]
                )
                self.cache_sequence = max(
                    (event.sequence for event in found), default=self.cache_sequence
                )


__all__ = ('BackendHealth',)
