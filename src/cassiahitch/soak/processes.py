"""Processes of the system that a soak starts, signals and ends."""

from __future__ import annotations

import asyncio
import signal
import sys
from asyncio.subprocess import Process
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from cassiahitch.soak.records import ProcessEnd, Record

#: Seconds after the grace period at which a process that is still running is killed.
KILL_SLACK_S = 0.5
#: Part of the log line by which a process reports that it handles signals.
STARTED_MESSAGE = b'"message": "started"'
LOG_POLL_INTERVAL_S = 0.05


@dataclass
class RunningProcess:
    """An entry or agent with its settings file and its log, which may be restarted.

    ``asked`` is when it received SIGTERM. ``restart_lock`` is held while it is stopped and started
    again.
    """

    name: str
    role: str
    folder: Path
    settings: dict[str, Any]
    record: Record
    process: Process | None = None
    asked: float | None = None
    killed: bool = False
    starts: int = 0
    watcher: asyncio.Task[None] | None = None
    restart_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def is_running(self) -> bool:
        """Whether the process runs and has not received SIGTERM."""
        return self.process is not None and self.process.returncode is None and not self.asked

    def write_settings(self) -> None:
        """Write the settings file of the process."""
        (self.folder / f'{self.name}.yaml').write_text(yaml.safe_dump(self.settings))

    async def start(self) -> None:
        """Start the process and wait until it handles signals."""
        self.write_settings()
        self.starts += 1
        self.asked = None
        self.killed = False
        with ExitStack() as stack:
            log = stack.enter_context((self.folder / f'{self.name}.log').open('ab'))
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'cassiahitch',
                self.role,
                str(self.folder / f'{self.name}.yaml'),
                stdout=log,
                stderr=log,
            )
        self.watcher = asyncio.create_task(self.record_end(self.process))
        await self.wait_until_started(self.process)

    async def wait_until_started(self, process: Process) -> None:
        """Wait until the log shows that the process handles signals, or until its end.

        :param process: the process.
        """
        log = self.folder / f'{self.name}.log'
        while process.returncode is None and log.read_bytes().count(STARTED_MESSAGE) < self.starts:
            await asyncio.sleep(LOG_POLL_INTERVAL_S)

    async def record_end(self, process: Process) -> None:
        """Wait for the end of the process and record it, unless the soak killed the process.

        :param process: the process.
        """
        status = await process.wait()
        if not self.killed:
            now = asyncio.get_running_loop().time()
            self.record.ends.append(ProcessEnd(self.name, self.asked, now, status))

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs.

        :param number: the signal.
        """
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL if the process still runs after the grace period."""
        if self.process is None or self.process.returncode is not None:
            return
        self.asked = asyncio.get_running_loop().time()
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(self.record.bounds.grace_s + KILL_SLACK_S):
                await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
        await self.wait_until_recorded()

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.killed = True
        self.send_signal(signal.SIGKILL)
        await self.wait_until_recorded()

    async def wait_until_recorded(self) -> None:
        """Wait until the end of the process is recorded."""
        if self.watcher is not None:
            await self.watcher


__all__ = ('RunningProcess',)
