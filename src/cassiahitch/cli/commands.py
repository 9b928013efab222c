"""Sub-commands of the program."""

from __future__ import annotations

import defopt

from cassiahitch.cli.roles import local


def main(arguments: list[str] | None = None) -> int:
    """Run the sub-command that the command line names.

    :param arguments: the command line, that of the process by default.
    :return: the exit code of the process.
    """
    return int(defopt.run({'local': local}, argv=arguments))


__all__ = ('main',)
