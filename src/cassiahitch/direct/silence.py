"""How long the silence of a backend server is borne."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

#: Seconds between two looks whether a silent backend server can be left.
LOOK_AGAIN_S = 0.2


class Silence:
    """Ends a wait once the silence has lasted and there is somewhere else to go.

    While there is nowhere to go, the wait goes on: a late answer is better than none.
    """

    def __init__(self, timer: asyncio.Timeout, leave: Callable[[], bool]) -> None:
        """Create it; nothing is expected yet.

        :param timer: ends the wait.
        :param leave: reserves what is needed to go elsewhere, and tells whether it could.
        """
        self.timer = timer
        self.leave = leave
        self.clock = asyncio.get_running_loop().time
        self.limit_s: float | None = None
        self.since: float = 0
        self.handle: asyncio.TimerHandle | None = None

    def expect(self, limit_s: float | None) -> None:
        """Begin to wait for news from the backend server.

        :param limit_s: seconds of silence that are borne; none if it does not matter.
        """
        self.limit_s = limit_s
        self.since = self.clock()
        if limit_s is not None and self.handle is None:
            self._look_at(self.since + limit_s)

    def stop(self) -> None:
        """Expect nothing any more."""
        if self.handle is not None:
            self.handle.cancel()

    def look(self) -> None:
        """Leave the backend server if it has been silent for too long and that is possible."""
        self.handle = None
        if self.limit_s is None:
            return
        now = self.clock()
        due = self.since + self.limit_s
        if now < due:
            self._look_at(due)
        elif self.leave():
            self.timer.reschedule(now)
        else:
            self._look_at(now + LOOK_AGAIN_S)

    def _look_at(self, when: float) -> None:
        self.handle = asyncio.get_running_loop().call_at(when, self.look)


@asynccontextmanager
async def watched(leave: Callable[[], bool]) -> AsyncIterator[Silence]:
    """Watch over the silence of a backend server.

    :param leave: reserves what is needed to go elsewhere, and tells whether it could.
    :yield: the watch.
    :raises TimeoutError: if it is left for its silence.
    """
    async with asyncio.timeout(None) as timer:
        silence = Silence(timer, leave)
        try:
            yield silence
        finally:
            silence.stop()


__all__ = (
    'Silence',
    'watched',
)
