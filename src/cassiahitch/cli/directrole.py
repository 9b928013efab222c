"""Runs a role of the direct path."""

from __future__ import annotations

import asyncio
import logging
import sys
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from pathlib import Path
from typing import TypeVar

from cassiahitch.cli.exit_codes import ExitCode
from cassiahitch.cli.printing import print_line
from cassiahitch.metrics.logs import configure_bounded_logs
from cassiahitch.settings.direct import DirectSettings
from cassiahitch.settings.loader import load_model

_Settings = TypeVar('_Settings', bound=DirectSettings)


def run_direct(
    model: type[_Settings],
    path: Path,
    serve: Callable[[_Settings, Path], Coroutine[None, None, None]],
    *,
    check: bool,
) -> int:
    """Load the settings of a role and run it until it ends.

    :param model: what the settings must look like.
    :param path: settings in YAML.
    :param serve: runs the role.
    :param check: only validate the settings.
    :return: the exit code.
    """
    settings = load_model(model, path)
    if check:
        print_line(f'{path}: settings of {settings.name} are valid')
        return ExitCode.fine
    with ExitStack() as stack:
        handler = configure_bounded_logs(settings.log_level, sys.stdout.fileno())
        stack.callback(handler.close)
        stack.callback(logging.getLogger().removeHandler, handler)
        asyncio.run(serve(settings, path))
    return ExitCode.fine


__all__ = ('run_direct',)
