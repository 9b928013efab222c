"""Processes of the system that a soak starts, signals and ends, by their ids."""

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

#: Seconds after the grace period at which a process is killed that has not ended.
KILL_SLACK_S = 0.5
#: What the log of a process says once it takes signals in.
STARTED = b'"message": "started"'
POLL_S = 0.05


@dataclass
class RunningProcess:
    """A process with its settings file and its log; it may be started again."""

    name: str
    role: str
    folder: Path
    settings: dict[str, Any]
    record: Record
    process: Process | None = None
    asked: float | None = None
    killed: bool = False
    starts: int = 0
    watching: asyncio.Task[None] | None = None
    restart_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def is_running(self) -> bool:
        """Whether it runs and was not told to end."""
        return self.process is not None and self.process.returncode is None and not self.asked

    def write_settings(self) -> None:
        """Write the settings file."""
        (self.folder / f'{self.name}.yaml').write_text(yaml.safe_dump(self.settings))

    async def start(self) -> None:
        """Start it."""
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
        self.watching = asyncio.create_task(self.watch(self.process))
        await self.wait_until_started(self.process)

    async def wait_until_started(self, process: Process) -> None:
        """Wait until it says that it has started, so that it takes signals in.

        :param process: the process.
        """
        log = self.folder / f'{self.name}.log'
        while process.returncode is None and log.read_bytes().count(STARTED) < self.starts:
            await asyncio.sleep(POLL_S)

    async def watch(self, process: Process) -> None:
        """Note how it ends, unless the soak killed it.

        :param process: the process.
        """
        status = await process.wait()
        if not self.killed:
            now = asyncio.get_running_loop().time()
            self.record.ends.append(ProcessEnd(self.name, self.asked, now, status))

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs.

        :param number: the signal.
        """
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def terminate(self) -> None:
        """Tell it to end, and kill it after the grace period."""
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
        """Kill it and wait for its end."""
        self.killed = True
        self.send_signal(signal.SIGKILL)
        await self.wait_until_recorded()

    async def wait_until_recorded(self) -> None:
        """Wait until its end is noted."""
        if self.watching is not None:
            await self.watching


__all__ = ('RunningProcess',)
