"""Commands that run a role on the users' platform until a signal ends it."""

from __future__ import annotations

import asyncio
import logging
import sys
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from pathlib import Path
from typing import TypeVar

from cassiahitch.cli.exits import ExitCode
from cassiahitch.cli.rendering import print_line
from cassiahitch.cli.roles import serve_until_ended
from cassiahitch.direct.agent import DirectAgent
from cassiahitch.direct.entry import DirectEntry
from cassiahitch.metrics.logs import configure_bounded_logs
from cassiahitch.platform.adapter import Platform
from cassiahitch.settings.direct import DirectAgentSettings, DirectEntrySettings, DirectSettings
from cassiahitch.settings.loader import load_as
from cassiahitch.stores.caller import HttpCaller

_Settings = TypeVar('_Settings', bound=DirectSettings)


def direct_entry(settings: Path, *, check: bool = False) -> int:
    """Serve callers whose requests go to backend servers directly.

    :param settings: settings in YAML.
    :param check: only validate the settings.
    :return: the exit code.
    """
    return _run(DirectEntrySettings, settings, _serve_entry, check=check)


def direct_agent(settings: Path, *, check: bool = False) -> int:
    """Keep the model engine of a host at the declared weights.

    :param settings: settings in YAML.
    :param check: only validate the settings.
    :return: the exit code.
    """
    return _run(DirectAgentSettings, settings, _serve_agent, check=check)


async def _serve_entry(settings: DirectEntrySettings, path: Path) -> None:
    async with HttpCaller() as caller:
        entry = DirectEntry(settings, Platform(caller, settings.store), path)
        await serve_until_ended(entry, settings.name)


async def _serve_agent(settings: DirectAgentSettings, path: Path) -> None:
    async with HttpCaller() as caller:
        agent = DirectAgent(settings, Platform(caller, settings.store), caller, path)
        await serve_until_ended(agent, settings.name)


def _run(
    model: type[_Settings],
    path: Path,
    serve: Callable[[_Settings, Path], Coroutine[None, None, None]],
    *,
    check: bool,
) -> int:
    settings = load_as(model, path)
    if check:
        print_line(f'{path}: settings of {settings.name} are valid')
        return ExitCode.fine
    with ExitStack() as stack:
        handler = configure_bounded_logs(settings.log_level, sys.stdout.fileno())
        stack.callback(handler.close)
        stack.callback(logging.getLogger().removeHandler, handler)
        asyncio.run(serve(settings, path))
    return ExitCode.fine


__all__ = (
    'direct_agent',
    'direct_entry',
)
