"""Crashes of stand-ins by requests whose prompts have a certain segment."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.api import header
from cassiahitch.platform import names

if TYPE_CHECKING:
    from cassiahitch.standins.backends import BackendStandin


@dataclass(slots=True)
class SegmentCrashes:
    """A segment that crashes each engine which begins to run a request with it.

    The engine is back after ``restart_s`` as a new incarnation, with its weights, and is passed to
    ``register``. ``arrivals`` holds the times of requests with the segment at all engines, and
    ``crashes`` those of the crashes, in seconds of the event loop's clock.
    """

    segment: str
    restart_s: float
    register: Callable[[BackendStandin], None]
    arrivals: list[float] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    restarts: set[asyncio.Task[None]] = field(default_factory=set)

    def is_carried(self, headers: tuple[tuple[str, str], ...]) -> bool:
        """Return whether a request has the segment.

        :param headers: headers of the request.
        :return: whether it is among the segments of its prompt.
        """
        segments = header(headers, names.PROMPT_SEGMENTS).split(',')
        return any(segment.partition(':')[0] == self.segment for segment in segments)

    def record_arrival(self, headers: tuple[tuple[str, str], ...]) -> None:
        """Record a request if it has the segment.

        :param headers: headers of the request.
        """
        if self.is_carried(headers):
            self.arrivals.append(asyncio.get_running_loop().time())

    async def crash(self, backend: BackendStandin) -> None:
        """Crash an engine and schedule its restart.

        :param backend: the engine.
        """
        await self.stop(backend)
        restart = asyncio.create_task(self.restart(backend))
        self.restarts.add(restart)
        restart.add_done_callback(self.restarts.discard)

    async def stop(self, backend: BackendStandin) -> None:
        """End the process of an engine.

        :param backend: the engine.
        """
        self.crashes.append(asyncio.get_running_loop().time())
        await backend.stop()

    async def restart(self, backend: BackendStandin) -> None:
        """Start an engine again after some time.

        :param backend: the engine.
        """
        await asyncio.sleep(self.restart_s)
        backend.started_at_ms += 1
        await backend.start(backend.address, backend.port)
        self.register(backend)


__all__ = ('SegmentCrashes',)
