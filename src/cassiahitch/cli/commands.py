"""Sub-commands of the program."""

from __future__ import annotations

import defopt

from cassiahitch.cli.benches import bench
from cassiahitch.cli.direct import direct_agent, direct_entry
from cassiahitch.cli.explaining import explain
from cassiahitch.cli.local import local
from cassiahitch.cli.observing import metrics, timeline
from cassiahitch.cli.operators import apply, delete, drain, get, status, watch
from cassiahitch.cli.roles import agent, entry
from cassiahitch.cli.soaking import soak

ROLES = (entry, agent, local, direct_entry, direct_agent)
OPERATORS = (apply, get, delete, watch, status, drain, timeline, metrics, explain)


def main(arguments: list[str] | None = None) -> int:
    """Run the sub-command that the command line names.

    :param arguments: the command line, that of the process by default.
    :return: the exit code of the process.
    """
    commands = {
        command.__name__.replace('_', '-'): command for command in (*ROLES, *OPERATORS, bench, soak)
    }
    return int(defopt.run(commands, argv=arguments, short={}))


__all__ = ('main',)
