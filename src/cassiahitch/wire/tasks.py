"""Background tasks of a process, with detection of failed ones."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterable
    from contextlib import AsyncExitStack

LOGGER = logging.getLogger('cassiahitch')


class ProcessTasks:
    """Tasks that a process needs for as long as it runs.

    The event ``failed`` is set if one of them fails. The owner must then stop the process, which
    would otherwise go on running without that task.
    """

    def __init__(self) -> None:
        """Create the set without tasks."""
        self.failed = asyncio.Event()

    def start(
        self, coroutines: Iterable[Coroutine[None, None, None]], stack: AsyncExitStack
    ) -> None:
        """Start tasks.

        :param coroutines: what the tasks run until they are cancelled.
        :param stack: exit stack that cancels the tasks when it closes.
        """
        for coroutine in coroutines:
            task = asyncio.create_task(coroutine)
            task.add_done_callback(self._record_end)
            stack.callback(task.cancel)

    def _record_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            LOGGER.critical('a task of the process failed', exc_info=error)
            self.failed.set()


__all__ = ('ProcessTasks',)
