"""Converts the errors that end a command into exit codes."""

from __future__ import annotations

import sys
from collections.abc import Callable

from cassiahitch.cli.exit_codes import exit_code
from cassiahitch.errors import CassiahitchError

#: Exit code that shells report for a process that SIGINT ended.
INTERRUPTED_EXIT_CODE = 130


def run_with_exit_code(command: Callable[[], int]) -> int:
    """Run a command and, if it raises an error, print it to standard error.

    :param command: runs the command and returns its exit code.
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
