"""Sub-commands of the program."""

from __future__ import annotations

import sys

import defopt

from cassiahitch.cli.command_index import MODULES, load_command


def main(arguments: list[str] | None = None) -> int:
    """Run the sub-command that the command line names.

    :param arguments: the command line, that of the process by default.
    :return: the exit code of the process.
    """
    given = sys.argv[1:] if arguments is None else arguments
    # Only the help and the refusal of an unknown command need all of them.
    names = given[:1] if given and given[0] in MODULES else MODULES
    commands = {name: load_command(name) for name in names}
    return int(defopt.run(commands, argv=given, short={}))


__all__ = ('main',)
