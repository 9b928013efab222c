"""Turns what ends a command into an exit code."""

from __future__ import annotations

import sys
from collections.abc import Callable

from cassiahitch.cli.exit_codes import exit_code
from cassiahitch.errors import CassiahitchError

#: Exit code of a process that SIGINT ended, as shells report it.
INTERRUPTED_EXIT_CODE = 130


def run_with_exit_code(command: Callable[[], int]) -> int:
    """Run a command and print the error that ended it, if there is one.

    :param command: the command.
    :return: the exit code of the process.
    """
    try:
        return command()
    except CassiahitchError as error:
        sys.stderr.write(f'cassiahitch: {error}\n')
        return exit_code(error)
    except KeyboardInterrupt:
        return INTERRUPTED_EXIT_CODE


__all__ = ('run_with_exit_code',)
