"""What the start of a role imports: all hosts start together after a loss of power."""

from __future__ import annotations

import subprocess  # noqa: S404 (runs this interpreter)
import sys

import pytest

from cassiahitch.cli.command_index import MODULES, load_command

#: What the direct path does not run.
NEEDLESS = (
    'cassiahitch.agent',
    'cassiahitch.bench',
    'cassiahitch.controllers',
    'cassiahitch.entry',
    'cassiahitch.ledger',
    'cassiahitch.limits',
    'cassiahitch.members',
    'cassiahitch.soak',
    'cassiahitch.standins',
    'cassiahitch.timeline',
    'defopt',
    'docutils',
    'matplotlib',
    'rich',
)
SCRIPT = """
import sys
from cassiahitch.cli.command_index import load_command

load_command(sys.argv[1])
print(*sys.modules)
"""


def imported(command: str) -> frozenset[str]:
    done = subprocess.run(
        (sys.executable, '-c', SCRIPT, command), check=True, capture_output=True, text=True
    )
    return frozenset(done.stdout.split())


@pytest.mark.parametrize('command', ['direct-entry', 'direct-agent'])
def test_role_imports_nothing_that_it_does_not_run(command: str) -> None:
    modules = imported(command)
    assert not modules.intersection(NEEDLESS)
    other = {'direct-entry': 'cassiahitch.direct.agent', 'direct-agent': 'cassiahitch.direct.entry'}
    assert other[command] not in modules


@pytest.mark.parametrize('command', MODULES)
def test_each_command_is_where_the_index_says(command: str) -> None:
    assert load_command(command).__name__ == command.replace('-', '_')
