"""Runs the tasks of a process and notices one that fails."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterable
    from contextlib import AsyncExitStack

LOGGER = logging.getLogger('cassiahitch')


class ProcessTasks:
    """The tasks that a process needs for as long as it runs.

    A process that has lost one of them would go on half alive, so ``failed`` asks its owner
    to end it.
    """

    def __init__(self) -> None:
        """Create it without tasks."""
        self.failed = asyncio.Event()

    def start(self, works: Iterable[Coroutine[None, None, None]], stack: AsyncExitStack) -> None:
        """Start tasks.

        :param works: what they run until they are cancelled.
        :param stack: cancels them when it closes.
        """
        for work in works:
            task = asyncio.create_task(work)
            task.add_done_callback(self._note_end)
            stack.callback(task.cancel)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            LOGGER.critical('a task of the process failed', exc_info=error)
            self.failed.set()


__all__ = ('ProcessTasks',)
