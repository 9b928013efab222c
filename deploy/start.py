"""Starts a role from a checkout of the sources, with the settings that the platform wrote.

The role is imported without the command line of the program, which costs a host time after each
loss of power.
"""

from __future__ import annotations

import os
import sys
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
#: Environment variable with the path of the settings.
SETTINGS = 'CASSIAHITCH_CONFIG'


def start() -> int:
    """Run the role that the command line names.

    :return: the exit code.
    """
    sys.path.insert(0, str(ROOT / 'src'))
    from cassiahitch.cli.command_index import load_command  # noqa: PLC0415
    from cassiahitch.cli.error_handling import run_with_exit_code  # noqa: PLC0415 (found only now)

    command = load_command(f'direct-{sys.argv[1]}')
    return run_with_exit_code(partial(command, Path(os.environ[SETTINGS])))


if __name__ == '__main__':
    sys.exit(start())
