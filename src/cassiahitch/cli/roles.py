"""Commands that run a process of the system."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from contextlib import ExitStack
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from cassiahitch.agent.process import AgentProcess
from cassiahitch.cli.exits import ExitCode
from cassiahitch.cli.rendering import print_line
from cassiahitch.codes import Code
from cassiahitch.entry.process import EntryProcess
from cassiahitch.errors import CassiahitchError
from cassiahitch.metrics.logs import configure_logs
from cassiahitch.settings.loader import load_settings
from cassiahitch.settings.models import Role

if TYPE_CHECKING:
    from cassiahitch.settings.models import CommonSettings

LOGGER = logging.getLogger(__name__)
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class RoleProcess(Protocol):
    """A process that a command runs until it is told to stop."""

    async def start(self) -> None:
        """Open the sockets and start the tasks."""

    async def stop(self) -> None:
        """Leave without cutting a request and close everything."""


def entry(settings: Path, *, check: bool = False) -> int:
    """Serve callers and operators until SIGTERM.

    :param settings: settings in YAML.
    :param check: only validate the settings.
    :return: the exit code.
    """
    loaded = load_settings(settings, Role.entry)
    if check:
        return _say_valid(settings, loaded)
    return _run_role(loaded, EntryProcess(loaded))


def agent(settings: Path, *, check: bool = False) -> int:
    """Serve the backend server of a host until SIGTERM.

    :param settings: settings in YAML.
    :param check: only validate the settings.
    :return: the exit code.
    """
    loaded = load_settings(settings, Role.agent)
    if check:
        return _say_valid(settings, loaded)
    return _run_role(loaded, AgentProcess(loaded))


def _say_valid(path: Path, settings: CommonSettings) -> int:
    print_line(f'{path}: the settings of {settings.name} are valid')
    return ExitCode.fine


def _run_role(settings: CommonSettings, process: RoleProcess) -> int:
    secret = settings.system_key.get_secret_value().decode('ascii', 'replace')
    with ExitStack() as stack:
        handler = configure_logs(settings.log_level, (secret,), sys.stderr)
        stack.callback(logging.getLogger().removeHandler, handler)
        asyncio.run(_serve(settings, process))
    return ExitCode.fine


async def _serve(settings: CommonSettings, process: RoleProcess) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    try:
        await process.start()
    except OSError as error:
        detail = f'cannot listen on {settings.address}: {error.strerror}'
        raise CassiahitchError(Code.address_in_use, detail) from None
    LOGGER.info('started', extra={'process_name': settings.name})
    await stopping.wait()
    LOGGER.info('leaving', extra={'process_name': settings.name})
    await process.stop()
    LOGGER.info('stopped', extra={'process_name': settings.name})


__all__ = (
    'agent',
    'entry',
)
