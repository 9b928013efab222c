"""Names of the sub-commands and where they stand; a command is imported when it is needed."""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from types import MappingProxyType
from typing import cast

Command = Callable[..., int]

#: Module of each command below this package; the function has the name of the command.
MODULES = MappingProxyType(
    {
        'entry': 'entry',
        'agent': 'agent',
        'local': 'local',
        'direct-entry': 'directentry',
        'direct-agent': 'directagent',
        'apply': 'operators',
        'get': 'operators',
        'delete': 'operators',
        'watch': 'operators',
        'status': 'operators',
        'drain': 'operators',
        'timeline': 'observing',
        'metrics': 'observing',
        'explain': 'explaining',
        'bench': 'benches',
        'soak': 'soaking',
    }
)


def load_command(name: str) -> Command:
    """Import a command.

    :param name: its name.
    :return: the function that runs it.
    """
    module = import_module(f'cassiahitch.cli.{MODULES[name]}')
    return cast('Command', getattr(module, name.replace('-', '_')))


__all__ = (
    'MODULES',
    'Command',
    'load_command',
)
