"""Tests of what a role imports at its start.

After a loss of power all hosts start at the same time, so that needless imports slow every start.
"""

from __future__ import annotations

import subprocess  # noqa: S404 (runs this interpreter)
import sys

import pytest

from cassiahitch.cli.command_index import MODULES, load_command

#: Packages that the direct path does not use.
UNUSED_PACKAGES = (
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


def imported_modules(command: str) -> frozenset[str]:
    completed = subprocess.run(
        (sys.executable, '-c', SCRIPT, command), check=True, capture_output=True, text=True
    )
    return frozenset(completed.stdout.split())


@pytest.mark.parametrize('command', ['direct-entry', 'direct-agent'])
def test_role_imports_nothing_that_it_does_not_run(command: str) -> None:
    modules = imported_modules(command)
    assert not modules.intersection(UNUSED_PACKAGES)
    other = {'direct-entry': 'cassiahitch.direct.agent', 'direct-agent': 'cassiahitch.direct.entry'}
    assert other[command] not in modules


@pytest.mark.parametrize('command', MODULES)
def test_each_command_is_where_the_index_says(command: str) -> None:
    assert load_command(command).__name__ == command.replace('-', '_')
