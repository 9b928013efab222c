"""Entry point of ``python -m cassiahitch``."""

from __future__ import annotations

import sys

from cassiahitch.run import run

if __name__ == '__main__':
    sys.exit(run())
