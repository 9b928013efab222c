"""Runs a role of the own interface."""

from __future__ import annotations

import asyncio
import logging
import sys
from contextlib import ExitStack
from typing import TYPE_CHECKING

from cassiahitch.cli.exit_codes import ExitCode
from cassiahitch.cli.role_runner import RoleProcess, run_until_stopped
from cassiahitch.metrics.logs import configure_logs

if TYPE_CHECKING:
    from cassiahitch.settings.models import AgentSettings, EntrySettings


def run_role(process: RoleProcess, settings: EntrySettings | AgentSettings) -> int:
    """Run a role until it ends, with logs that hide the key of the system.

    :param process: the role.
    :param settings: its settings.
    :return: the exit code.
    """
    key = settings.system_key.get_secret_value().decode(errors='replace')
    with ExitStack() as stack:
        handler = configure_logs(settings.log_level, (key,), sys.stderr)
        stack.callback(logging.getLogger().removeHandler, handler)
        asyncio.run(run_until_stopped(process, settings.name))
    return ExitCode.fine


__all__ = ('run_role',)
