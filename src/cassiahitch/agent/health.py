"""Health of the backend server: its crashes, its recovery and its cache events."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from cassiahitch.errors import PlatformError
from cassiahitch.wire.messages import CachedPrefix

if TYPE_CHECKING:
    from cassiahitch.engine.api import Engine

#: Seconds between probes of a backend server that is down.
PROBE_INTERVAL_S = 0.1
#: Seconds between reads of the cache events of a model engine.
CACHE_POLL_INTERVAL_S = 0.5
#: Maximum number of cache events sent with one heartbeat.
MAX_CACHE_EVENTS = 16


class BackendHealth:
    """Tracks whether the backend server is up, its number of crashes and its cached prefixes."""

    def __init__(self, engine: Engine) -> None:
        """Create the health of a backend server that is up.

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
        """Whether the backend server crashed and has not responded to a probe since."""
        return not self.up.is_set()

    def record_crash(self) -> None:
        """Record a crash, unless the backend server is already down."""
        if not self.down:
            self.up.clear()
            self.crashes += 1

    async def wait_until_up(self, timeout_s: float) -> None:
        """Wait until the backend server is up, or until the timeout.

        :param timeout_s: timeout in seconds.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.up.wait()

    async def work(self) -> None:
        """Probe the backend server while it is down, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if self.down:
                with suppress(PlatformError):
                    await self.engine.state()
                    self.up.set()

    async def poll_cache_events(self) -> None:
        """Poll the cache events of the engine until cancelled."""
        while True:
            await asyncio.sleep(CACHE_POLL_INTERVAL_S)
            with suppress(PlatformError):
                events = await self.engine.cache_events(self.cache_sequence)
                self.cache_events = tuple(
                    CachedPrefix(event.sequence, event.prefix, event.cached)
                    for event in events[-MAX_CACHE_EVENTS:]
                )
                self.cache_sequence = max(
                    (event.sequence for event in events), default=self.cache_sequence
                )


__all__ = ('BackendHealth',)
