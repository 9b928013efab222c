"""Runs a role until it receives a signal or one of its tasks fails."""

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
#: Seconds that a process one of whose tasks failed has to stop.
FAILED_STOP_TIMEOUT_S = 10.0


class RoleProcess(Protocol):
    """A process that starts, runs its tasks and stops gracefully."""

    tasks: ProcessTasks

    async def start(self) -> None:
        """Open the sockets and start the tasks."""

    def ports(self) -> dict[str, int]:
        """Return the listening ports by the names of their settings."""

    async def stop(self) -> None:
        """Finish the running requests and close all sockets."""

    def reload(self) -> None:
        """Reload the settings, which may have changed."""


async def run_until_stopped(process: RoleProcess, name: str) -> None:
    """Start a role, wait for a signal or a failed task, and stop the role.

    The signal handlers stay installed during the stop, so a second signal does not cut it short.
    A signal to reload that was held during the start of the process is delivered now.

    :param process: the process of the role.
    :param name: the name of the process, for the log.
    :raises CassiahitchError: ``address_in_use`` if the process cannot listen, or ``internal`` if
        one of its tasks failed.
    """
    signalled = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signalled.set)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        await process.start()
    except OSError as error:
        raise CassiahitchError(Code.address_in_use, f'cannot listen: {error.strerror}') from None
    LOGGER.info('started', extra={'process_name': name, **process.ports()})
    await _wait_for_either(signalled, process.tasks.failed)
    LOGGER.info('leaving', extra={'process_name': name})
    failed = process.tasks.failed.is_set()
    await _stop(process, FAILED_STOP_TIMEOUT_S if failed else None)
    LOGGER.info('stopped', extra={'process_name': name})
    if failed:
        raise CassiahitchError(Code.internal, 'a task of the process failed; see the log')


async def _stop(process: RoleProcess, timeout_s: float | None) -> None:
    # A process with a failed task still finishes its accepted requests, as far as it can.
    try:
        async with asyncio.timeout(timeout_s):
            await process.stop()
    except TimeoutError:
        LOGGER.warning('stop given up', extra={'bound_s': timeout_s})


async def _wait_for_either(signalled: asyncio.Event, failed: asyncio.Event) -> None:
    waits = {asyncio.create_task(event.wait()) for event in (signalled, failed)}
    _, pending = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in pending:
        wait.cancel()


__all__ = (
    'RoleProcess',
    'run_until_stopped',
)
