"""Crowds of misbehaving clients, and the process that they are sent to."""

from __future__ import annotations

import asyncio
import fcntl
import os
import signal
import socket
import sys
from asyncio.subprocess import DEVNULL, Process
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import yaml
from direct_callers import send_request

from cassiahitch.settings.direct import DirectEntrySettings
from cassiahitch.standins.directsite import (
    CALLERS_PORT,
    DIRECTORY_PORT,
    READINESS_PORT,
    DirectSite,
)
from cassiahitch.util.endpoints import Endpoint

#: Memory of the host of a process under test, in MiB.
MEMORY_MIB = 128
#: Descriptors that a process under test may have open.
MAX_DESCRIPTORS = 1000
#: Receive buffer of a client, in bytes, so that the kernel holds few of the unread bytes.
RECEIVE_BUFFER_BYTES = 4096
#: Segment size of a client, in bytes, as on an Ethernet: the kernel's send buffers depend on it.
SEGMENT_BYTES = 1400
#: Clients that connect at a time.
CONNECTING_AT_ONCE = 100
#: Seconds for which a crowd sends at most; clients that are not read from stop sending then.
CROWD_S = 8.0
#: Seconds after which a process counts as hanging.
HANG_S = 12.0
#: Seconds between two counts of the open descriptors.
MEASURE_INTERVAL_S = 0.02
#: Bytes of a kibibyte.
KIB = 1024


@contextmanager
def alone() -> Iterator[None]:
    """Let one crowd test run at a time on this machine, by a lock on this file."""
    with Path(__file__).open('rb') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@dataclass(frozen=True)
class Crowd:
    """Clients that each send the same bytes and then stay connected without reading.

    ``turn_s`` is the time for which a client delays those after it, so that responses are complete
    and their backend servers are free again. Without ``small_buffers``, the kernel holds megabytes
    of unread responses, so that many requests of a connection are served.
    """

    clients: int
    head: bytes
    rest: bytes = b''
    repeats: int = 1
    turn_s: float = 0
    small_buffers: bool = True

    @property
    def sent(self) -> bytes:
        return self.head + self.rest * self.repeats


@dataclass
class Measured:
    """What was measured at a process while a crowd was connected."""

    idle_mib: float = 0
    peak_mib: float = 0
    descriptors: int = 0
    status: int = 0
    running: bool = False

    def __str__(self) -> str:
        return (
            f'memory {self.idle_mib:.0f} MiB idle, {self.peak_mib:.0f} MiB at most; '
            f'{self.descriptors} descriptors; status {self.status}; running {self.running}'
        )

    def check(self) -> None:
        """Check the bounds that the settings of the process set."""
        print(self)  # noqa: T201, WPS421 (shown if the check fails)
        assert self.running, str(self)
        assert self.peak_mib <= MEMORY_MIB, str(self)
        assert self.descriptors <= MAX_DESCRIPTORS, str(self)
        assert self.status == 200, str(self)


@dataclass
class Watched:
    """A process under test, whose peak memory and descriptors are sampled."""

    process: Process
    measured: Measured = field(default_factory=Measured)

    async def sample(self) -> None:
        while self.process.returncode is None:
            with suppress(FileNotFoundError):
                descriptors = len(os.listdir(f'/proc/{self.process.pid}/fd'))
                self.measured.descriptors = max(self.measured.descriptors, descriptors)
            await asyncio.sleep(MEASURE_INTERVAL_S)

    def memory_mib(self, name: str) -> float:
        status = Path(f'/proc/{self.process.pid}/status').read_text(encoding='ascii')
        line = next(line for line in status.splitlines() if line.startswith(name))
        return int(line.split()[1]) / KIB

    def finish(self) -> Measured:
        self.measured.running = self.process.returncode is None
        if self.measured.running:
            self.measured.peak_mib = self.memory_mib('VmHWM')
        return self.measured


async def visit(target: Endpoint, crowd: Crowd, sockets: list[socket.socket]) -> None:
    """Connect one client and send its bytes, without reading a response."""
    loop = asyncio.get_running_loop()
    client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sockets.append(client)
    if crowd.small_buffers:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    client.setblocking(False)
    with suppress(OSError):
        await loop.sock_connect(client, (target.address, target.port))
        await loop.sock_sendall(client, crowd.sent)
        await asyncio.sleep(crowd.turn_s)


@asynccontextmanager
async def connected(target: Endpoint, crowd: Crowd) -> AsyncIterator[None]:
    """Keep a crowd connected; those that can't send all their bytes stop half-way."""
    sockets: list[socket.socket] = []
    turns = asyncio.Semaphore(CONNECTING_AT_ONCE)

    async def visit_in_turn() -> None:
        async with turns:
            with suppress(TimeoutError):
                async with asyncio.timeout(CROWD_S / 4):
                    await visit(target, crowd, sockets)

    tasks = [asyncio.create_task(visit_in_turn()) for _ in range(crowd.clients)]
    await asyncio.wait(tasks, timeout=CROWD_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    try:
        yield
    finally:
        for client in sockets:
            client.close()


def entry_settings(site: DirectSite) -> DirectEntrySettings:
    network = site.plain[0].address.rpartition('.')[0]
    address = f'{network}.99'
    return DirectEntrySettings(
        **site.shared_settings('entry-9', address, 'north-1'),
        callers=Endpoint(address, CALLERS_PORT),
        readiness=Endpoint(address, READINESS_PORT),
        directory=Endpoint(address, DIRECTORY_PORT),
        memory_mib=MEMORY_MIB,
        max_descriptors=MAX_DESCRIPTORS,
    )


@asynccontextmanager
async def started(role: str, settings: Any, folder: Path) -> AsyncIterator[Watched]:
    """Run a process of the system until the end of the test."""
    path = folder / f'{role}.yaml'
    path.write_text(yaml.safe_dump(settings.model_dump(mode='json')))
    command = (sys.executable, '-m', 'cassiahitch', role, str(path))
    with (folder / 'lines').open('wb') as lines:
        process = await asyncio.create_subprocess_exec(*command, stdout=lines, stderr=DEVNULL)
    watched = Watched(process)
    async with AsyncExitStack() as stack:
        sampler = asyncio.create_task(watched.sample())
        stack.callback(sampler.cancel)
        stack.push_async_callback(process.wait)
        stack.callback(kill, process)
        yield watched


def kill(process: Process) -> None:
    if process.returncode is None:
        process.send_signal(signal.SIGKILL)


async def ask(settings: Any) -> int:
    """Send one ordinary request and return the status of its response, 0 if there is none."""
    entry: Any = SimpleNamespace(settings=settings)
    with suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(HANG_S):
            return (await send_request(entry, '/lookup/1')).status
    return 0


async def ask_path(target: Endpoint, path: str) -> int:
    """Request a path of an HTTP port; return the status of the response, 0 if there is none."""
    with suppress(ConnectionError, TimeoutError, IndexError):
        async with asyncio.timeout(HANG_S):
            reader, writer = await asyncio.open_connection(target.address, target.port)
            writer.write(f'GET {path} HTTP/1.1\r\nHost: {target.address}\r\n\r\n'.encode())
            status = int((await reader.readline()).split()[1])
            writer.close()
            return status
    return 0


async def wait_for_path(target: Endpoint, path: str) -> None:
    while not await ask_path(target, path):
        await asyncio.sleep(0.05)


async def until_answered(settings: Any) -> None:
    while await ask(settings) != 200:
        await asyncio.sleep(0.05)
