"""Command that runs an entry of the own interface."""

from __future__ import annotations

from pathlib import Path

from cassiahitch.cli.exit_codes import ExitCode
from cassiahitch.cli.ownrole import run_role
from cassiahitch.cli.printing import print_line
from cassiahitch.entry.process import EntryProcess
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
    return run_role(EntryProcess(loaded), loaded)


__all__ = ('entry',)
