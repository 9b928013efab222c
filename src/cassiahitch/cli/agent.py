"""Command that runs an agent of the own interface."""

from __future__ import annotations

from pathlib import Path

from cassiahitch.agent.process import AgentProcess
from cassiahitch.cli.exit_codes import ExitCode
from cassiahitch.cli.ownrole import run_role
from cassiahitch.cli.printing import print_line
from cassiahitch.settings.loader import load_settings
from cassiahitch.settings.models import Role


def agent(settings: Path, *, check: bool = False) -> int:
    """Serve the backend server of a host.

    :param settings: settings in YAML.
    :param check: only validate the settings.
    :return: the exit code.
    """
    loaded = load_settings(settings, Role.agent)
    if check:
        print_line(f'{settings}: settings of the agent {loaded.name} are valid')
        return ExitCode.fine
    return run_role(AgentProcess(loaded), loaded)


__all__ = ('agent',)
