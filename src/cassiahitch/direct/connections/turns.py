"""Lets work that takes long be done in turns, so that other tasks run between two of them.

Load pattern: many clients send headers of very many fields and are closed while these wait to be
parsed. What waits for a connection that has been closed is dropped at once: new clients come faster
than turns do.
"""

from __future__ import annotations

import asyncio


class Turns:
    """Gives turns to those that wait, in the order in which they came."""

    def __init__(self) -> None:
        """Create the queue, which is empty."""
        self.waiting: dict[asyncio.Future[None], None] = {}
        self._task: asyncio.Task[None] | None = None

    def wait(self) -> asyncio.Future[None]:
        """Wait for a turn.

        :return: done when the work may be done, at once after it is awaited; to be cancelled or
            failed with :meth:`drop` if there is none any more.
        """
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting[turn] = None
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        return turn

    def drop(self, turn: asyncio.Future[None], error: Exception) -> None:
        """End the wait for a turn.

        :param turn: the turn.
        :param error: raised to the task that awaits it.
        """
        self.waiting.pop(turn, None)
        if not turn.done():
            turn.set_exception(error)

    async def _run(self) -> None:
        while self.waiting:
            # The work of the previous turn is done, and other tasks have run since.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            turn = next(iter(self.waiting), None)
            if turn is not None:
                self._give(turn)
        self._task = None

    def _give(self, turn: asyncio.Future[None]) -> None:
        self.waiting.pop(turn)
        if not turn.done():
            turn.set_result(None)


__all__ = ('Turns',)
