"""Entry point of the command line: runs a command and converts errors to exit codes."""

from __future__ import annotations

from functools import partial

from cassiahitch.cli.commands import main
from cassiahitch.cli.error_handling import run_with_exit_code


def run(arguments: list[str] | None = None) -> int:
    """Run the command on the command line.

    :param arguments: arguments of the command line, by default those of the process.
    :return: the exit code of the process.
    """
    return run_with_exit_code(partial(main, arguments))


__all__ = ('run',)
