"""Starts a role from a checkout of the sources, with the settings that the platform wrote."""

from __future__ import annotations

import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
#: Environment variable with the path of the settings.
SETTINGS = 'CASSIAHITCH_CONFIG'


def start() -> int:
    """Run the role that the command line names.

    :return: the exit code.
    """
    sys.path.insert(0, str(ROOT / 'src'))
    from cassiahitch.run import run  # noqa: PLC0415 (found only now)

    return run([f'direct-{sys.argv[1]}', os.environ[SETTINGS]])


if __name__ == '__main__':
    sys.exit(start())
