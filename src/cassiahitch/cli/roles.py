"""Commands that run a role of the system."""

from __future__ import annotations

from pathlib import Path

from cassiahitch.cli.exits import ExitCode
from cassiahitch.cli.rendering import print_line
from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.settings.loader import load_settings
from cassiahitch.settings.models import Role


def entry(settings: Path, *, check: bool = False) -> int:
    """Serve callers and operators.

    :param settings: settings in YAML.
    :param check: only validate the settings.
    :return: the exit code.
    """
    loaded = load_settings(settings, Role.entry)
    if check:
        print_line(f'{settings}: settings of the entry {loaded.name} are valid')
        return ExitCode.fine
    raise CassiahitchError(Code.internal, 'the entry is not there yet')


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
    raise CassiahitchError(Code.internal, 'the agent is not there yet')


def local() -> int:
    """Roll out a model over loopback while callers are served.

    :return: the exit code.
    """
    raise CassiahitchError(Code.internal, 'the local roles are not there yet')


__all__ = (
    'agent',
    'entry',
    'local',
)
