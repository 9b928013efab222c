"""Parses the command line and runs the sub-command."""

from __future__ import annotations

import sys

import defopt

from cassiahitch.cli.command_index import MODULES, load_command


def main(arguments: list[str] | None = None) -> int:
    """Run the sub-command that the command line names.

    :param arguments: arguments of the command line, by default those of the process.
    :return: the exit code of the process.
    """
    argv = sys.argv[1:] if arguments is None else arguments
    # All commands are imported only for the help and for the error about an unknown command.
    names = argv[:1] if argv and argv[0] in MODULES else MODULES
    commands = {name: load_command(name) for name in names}
    return int(defopt.run(commands, argv=argv, short={}))


__all__ = ('main',)
