"""Runs a role until a signal or the failure of one of its tasks ends it."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import TYPE_CHECKING, Protocol

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError

if TYPE_CHECKING:
    from cassiahitch.wire.tasks import ProcessTasks

LOGGER = logging.getLogger('cassiahitch')
#: Longest stop of a process that has lost one of its tasks, in seconds.
FAILED_STOP_TIMEOUT_S = 10.0


class RoleProcess(Protocol):
    """A process that starts, runs its tasks and stops gracefully."""

    tasks: ProcessTasks

    async def start(self) -> None:
        """Open the sockets and start the tasks."""

    def ports(self) -> dict[str, int]:
        """Return the ports that are listened on, by the names of their settings."""

    async def stop(self) -> None:
        """Finish what runs and close everything."""

    def reload(self) -> None:
        """Take in that the settings may have changed."""


async def run_until_stopped(process: RoleProcess, name: str) -> None:
    """Start a role, wait for its end and stop it.

    The handlers stay in place while it stops, so a second signal cuts nothing short.

    :param process: the role.
    :param name: its name, for the log.
    :raises CassiahitchError: ``address_in_use``, or ``internal`` if one of its tasks failed.
    """
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    try:
        await process.start()
    except OSError as error:
        raise CassiahitchError(Code.address_in_use, f'cannot listen: {error.strerror}') from None
    LOGGER.info('started', extra={'process_name': name, **process.ports()})
    await _until_ended(ended, process.tasks.failed)
    LOGGER.info('leaving', extra={'process_name': name})
    failed = process.tasks.failed.is_set()
    await _stop(process, FAILED_STOP_TIMEOUT_S if failed else None)
    LOGGER.info('stopped', extra={'process_name': name})
    if failed:
        raise CassiahitchError(Code.internal, 'a task of the process failed; the log says why')


async def _stop(process: RoleProcess, bound_s: float | None) -> None:
    # What was taken is finished also by a process that has lost a task, as far as it can be.
    try:
        async with asyncio.timeout(bound_s):
            await process.stop()
    except TimeoutError:
        LOGGER.warning('stop given up', extra={'bound_s': bound_s})


async def _until_ended(signalled: asyncio.Event, failed: asyncio.Event) -> None:
    waits = {asyncio.create_task(event.wait()) for event in (signalled, failed)}
    _, pending = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in pending:
        wait.cancel()


__all__ = (
    'RoleProcess',
    'run_until_stopped',
)
