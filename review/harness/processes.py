"""Starts the project's own programs as separate processes, signals them and ends them."""

from __future__ import annotations

import os
import signal
import subprocess
from pathlib import Path
from typing import Any

from deployfile import ROOT, command, render

#: Seconds that a process has to end after SIGKILL.
KILL_TIMEOUT_S = 5


class Program:
    """One entry or agent of the system."""

    def __init__(self, role: str, name: str, folder: Path, fields: dict[str, Any]) -> None:
        """Write the settings file of the process; it does not start yet."""
        self.role = role
        self.name = name
        self.folder = folder
        self.settings = folder / f'{name}.yaml'
        self.settings.write_text(render(role, {**fields, 'node': name}))
        self.log = folder / f'{name}.log'
        self.process: subprocess.Popen[bytes] | None = None
        self.is_stopped = False

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        passed = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        environment = {
            **passed,
            'CASSIAHITCH_CONFIG': str(self.settings),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                command(self.role), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            if number in {signal.SIGSTOP, signal.SIGCONT}:
                self.is_stopped = number is signal.SIGSTOP

    def end(self) -> None:
        """End the process at once."""
        if self.process is None:
            return
        if self.is_stopped:
            self.send(signal.SIGCONT)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(KILL_TIMEOUT_S)

    def log_text(self) -> str:
        """Return what the process has logged so far."""
        return self.log.read_text(errors='replace') if self.log.exists() else ''
