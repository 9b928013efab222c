"""Start of the program: runs a command and turns errors into exit codes."""

from __future__ import annotations

import sys

from cassiahitch.cli.commands import main
from cassiahitch.cli.exits import exit_code
from cassiahitch.errors import CassiahitchError

#: Exit code of a process that SIGINT ended, as shells report it.
INTERRUPTED = 130


def run(arguments: list[str] | None = None) -> int:
    """Run the program.

    :param arguments: the command line, that of the process by default.
    :return: the exit code of the process.
    """
    try:
        return main(arguments)
    except CassiahitchError as error:
        sys.stderr.write(f'cassiahitch: {error}\n')
        return exit_code(error)
    except KeyboardInterrupt:
        return INTERRUPTED


__all__ = ('run',)
