"""A part of a prompt that crashes each replica which begins to write an answer on it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from engine import ReviewEngine

from cassiahitch.direct.api import header
from cassiahitch.platform import names

if TYPE_CHECKING:
    from cassiahitch.standins.backends import BackendStandin

MS_PER_S = 1000


@dataclass(slots=True)
class PartCrashes:
    """Crashes replicas; each is back after ``restart_s`` as a new incarnation without layers.

    ``arrivals`` holds when requests with the part reached a replica, ``crashes`` the times of the
    crashes, in seconds of the event loop's clock. ``register`` lists a replica that is back.
    """

    part: str
    restart_s: float
    register: Callable[[ReviewEngine], None]
    arrivals: list[float] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def is_carried(self, headers: tuple[tuple[str, str], ...]) -> bool:
        """Return whether the part is in the prompt, and not its last one."""
        *shared, _ = header(headers, names.PROMPT_SEGMENTS).split(',')
        return any(entry.partition(':')[0] == self.part for entry in shared)

    def record_arrival(self, headers: tuple[tuple[str, str], ...]) -> None:
        """Record a request with the part that has reached a replica."""
        if self.is_carried(headers):
            self.arrivals.append(asyncio.get_running_loop().time())

    async def crash(self, replica: BackendStandin) -> None:
        """End the process of a replica because of a request with the part."""
        if isinstance(replica, ReviewEngine):
            self.crashes.append(asyncio.get_running_loop().time())
            await self.end(replica)

    async def end(self, replica: ReviewEngine) -> None:
        """End the process of a replica; its staged pieces stay."""
        if replica.engine is None:
            return
        replica.started_at_ms = max(replica.started_at_ms + 1, int(time.time() * MS_PER_S))
        engine = replica.engine
        engine.version, engine.load_sequence, engine.loading = 0, 0, False
        await replica.stop()
        task = asyncio.create_task(self.restart(replica))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def restart(self, replica: ReviewEngine) -> None:
        """Start a replica again."""
        await asyncio.sleep(self.restart_s)
        await replica.start(replica.address, replica.port)
        self.register(replica)
