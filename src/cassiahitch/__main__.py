"""Entry point of ``python -m cassiahitch``."""

from __future__ import annotations

import signal
import sys

#: Commands that run a role, which has a handler for the signal to reload its settings.
ROLES = frozenset(('direct-agent', 'direct-entry'))


def start() -> int:
    """Run the command on the command line.

    A signal to reload the settings that arrives during the imports of a role is held until the role
    has its handler; the default action would end the process.

    :return: the exit code.
    """
    if ROLES.intersection(sys.argv[1:2]):
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from cassiahitch.run import run  # noqa: PLC0415 (the signal is held before imports take time)

    return run()


if __name__ == '__main__':
    sys.exit(start())
