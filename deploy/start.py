"""Starts a role from a checkout of the sources, with the settings that the platform wrote.

The role is imported without the command line of the program, which costs a host time after each
loss of power. A signal to reload the settings that arrives meanwhile is held until the role has
its handler; the default action would end the process.
"""

from __future__ import annotations

import os
import signal
import sys

#: Environment variable with the path of the settings.
SETTINGS = 'CASSIAHITCH_CONFIG'


def start() -> int:
    """Run the role that the command line names.

    :return: the exit code.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from functools import partial  # noqa: PLC0415 (the signal is held before imports take time)
    from pathlib import Path  # noqa: PLC0415

    sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'src'))
    from cassiahitch.cli.command_index import load_command  # noqa: PLC0415
    from cassiahitch.cli.error_handling import run_with_exit_code  # noqa: PLC0415 (found only now)

    command = load_command(f'direct-{sys.argv[1]}')
    return run_with_exit_code(partial(command, Path(os.environ[SETTINGS])))


if __name__ == '__main__':
    sys.exit(start())
