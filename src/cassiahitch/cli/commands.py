"""Sub-commands of the program."""

from __future__ import annotations

import defopt


def local() -> int:
    """Roll out a model over loopback while callers are served.

    :return: the exit code of the process.
    """
    return 0


def main(arguments: list[str] | None = None) -> int:
    """Run the sub-command that the command line names.

    :param arguments: the command line, that of the process by default.
    :return: the exit code of the process.
    """
    return int(defopt.run({'local': local}, argv=arguments))


__all__ = ('main',)
