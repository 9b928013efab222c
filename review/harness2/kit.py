"""Starts the programs of the deploy file on loopback, before stand-ins of the platform."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cassiahitch.standins.networks import loopback_address
from cassiahitch.standins.rowstore import RowStore, serve_store

ROOT = Path(__file__).resolve().parents[2]
STORE_HOST, PLAIN_HOSTS, MODEL_HOSTS, ENTRY_HOSTS = range(4)
CALLERS_PORT, READY_PORT, DIRECTORY_PORT, PEER_PORT = 8005, 8002, 8009, 7700
METRICS_PORT = 9464
READY_TIMEOUT_S = 20.0
HEARTBEAT_S = 1.2
#: Exit code of a case that could not run.
CANNOT_RUN = 2
HOST = 'menus.example'
REGIONS = {'west-a': 'west', 'east-a': 'east'}
#: Bounds of the small sites of the users' pages.
BOUNDS = {
    'drain_s': 2.0,
    'configuration_s': 2.0,
    'revoked_key_s': 5.0,
    'weights_s': 8.0,
    'grace_s': 8,
    'address_lifetime_s': 5,
    'retry_ratio': 0.2,
    'retry_slack': 106.0,
    'retry_window_s': 10,
}
KEY = 'key-of-caterers'
TENANT = 'caterers'


@dataclass
class Program:
    """A program that this test has started."""

    name: str
    role: str
    settings: dict[str, Any]
    process: asyncio.subprocess.Process | None = None
    ends: list[int] = field(default_factory=list)


@dataclass
class Site:
    """The stand-in of the store, the started programs and the record of a run."""

    folder: Path
    trouble: bool
    work: Path
    store: RowStore = field(default_factory=RowStore)
    store_port: int = 0
    programs: dict[str, Program] = field(default_factory=dict)
    lines: list[str] = field(default_factory=list)
    began: float = field(default_factory=time.monotonic)
    configuration: dict[str, Any] = field(default_factory=dict)
    servers: dict[str, dict[str, Any]] = field(default_factory=dict)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    starting: asyncio.Lock = field(default_factory=asyncio.Lock)
    closed: bool = False

    def say(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f'{time.monotonic() - self.began:8.3f} {text}')

    def put(self, table: str, key: str, document: object) -> None:
        """Write a row as the operator or a replica does."""
        self.store.put(table, key, document)

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write the configuration as the operator does."""
        self.configuration = configuration
        self.put('op', 'config', configuration)
        self.say(f'operator: configuration {configuration["version"]} is acknowledged')

    async def heartbeats(self) -> None:
        """Write the rows of the servers again, as they do."""
        sequence = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            sequence += 1
            for key, row in self.servers.items():
                self.put('servers', key, {**row, 'seq': sequence})

    def common(self, name: str, address: str, domain: str) -> dict[str, Any]:
        """Return the settings that the templates of both roles have."""
        return {
            'name': name,
            'address': address,
            'region': REGIONS[domain],
            'failure_domain': domain,
            'regions': REGIONS,
            'peer_port': PEER_PORT,
            'store': f'{loopback_address(STORE_HOST, 0)}:{self.store_port}',
            'metrics_port': METRICS_PORT,
            'memory_mib': 300,
            'max_descriptors': 4100,
            'bounds': BOUNDS,
        }

    def entry(self, number: int, domain: str = 'west-a', **changed: Any) -> Program:
        """Describe an entry, as the template of the deploy file does."""
        address = loopback_address(ENTRY_HOSTS, number)
        settings = {
            'role': 'entry',
            **self.common(f'entry-{number}', address, domain),
            'callers': f'{address}:{CALLERS_PORT}',
            'readiness': f'{address}:{READY_PORT}',
            'directory': f'{address}:{DIRECTORY_PORT}',
            'seeds': [f'{loopback_address(ENTRY_HOSTS, 0)}:8000'],
            'processor_share': 0.537,
            'processors': 2,
            **changed,
        }
        return self.programs.setdefault(
            f'entry-{number}', Program(f'entry-{number}', 'entry', settings)
        )

    def agent(self, number: int, engine: str, service: str, domain: str = 'west-a') -> Program:
        """Describe an agent, as the template of the deploy file does."""
        address = loopback_address(MODEL_HOSTS, number)
        settings = {
            'role': 'agent',
            **self.common(f'agent-{number}', address, domain),
            'memory_mib': 168,
            'engine': engine,
            'service': service,
            'region_link_mbit_s': 13,
            'link_mbit_s': 100,
        }
        return self.programs.setdefault(
            f'agent-{number}', Program(f'agent-{number}', 'agent', settings)
        )

    async def start(self, program: Program) -> None:
        """Start a program with the command of the deploy file, unless the run has ended."""
        async with self.starting:
            if not self.closed:
                await self._start(program)

    async def _start(self, program: Program) -> None:
        path = self.work / f'{program.name}.yaml'
        path.write_text(json.dumps(program.settings))
        log = (self.work / f'{program.name}.log').open('ab')
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', ''),
            'PYTHONPATH': 'target/deps',
            'PYTHONDONTWRITEBYTECODE': '1',
            'CASSIAHITCH_CONFIG': str(path),
        }
        program.process = await asyncio.create_subprocess_exec(
            'python3',
            'deploy/start.py',
            program.role,
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.say(f'{program.name} is started')
        self.tasks.append(asyncio.create_task(self.watch(program, program.process)))

    async def watch(self, program: Program, process: asyncio.subprocess.Process) -> None:
        """Record the end of a program."""
        status = await process.wait()
        program.ends.append(status)
        self.say(f'{program.name} has ended with status {status}')

    def signal(self, program: Program, number: signal.Signals) -> None:
        """Send a signal to a program that this test has started."""
        if program.process is not None and program.process.returncode is None:
            self.say(f'{program.name} gets {number.name}')
            program.process.send_signal(number)

    async def wait_ready(self, program: Program) -> None:
        """Wait until an entry says that it is ready."""
        host, _, port = program.settings['readiness'].rpartition(':')
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            try:
                if (await call(host, int(port), 'GET', '/v1/ready')).status == 200:
                    self.say(f'{program.name} is ready')
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f'{program.name} is not ready after {READY_TIMEOUT_S} s')

    async def close(self) -> None:
        """End all programs that this test has started."""
        async with self.starting:
            self.closed = True
        for task in self.tasks:
            task.cancel()
        for program in self.programs.values():
            process = program.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()


class CannotRun(Exception):
    """The case could not run."""


@dataclass
class Answer:
    """A response as a client has read it; ``complete`` tells whether its end was shown."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    complete: bool = False


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one response."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin1').split('\r\n')
    answer = Answer(status=int(first.split(' ')[1]))
    for line in lines:
        name, colon, text = line.partition(':')
        if colon:
            answer.headers[name.lower()] = text.strip()
    if 'content-length' in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers['content-length']))
        answer.complete = True
    elif answer.headers.get('transfer-encoding', '').lower() == 'chunked':
        while size := int((await reader.readuntil(b'\r\n')).split(b';')[0], 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b'\r\n')
        answer.complete = True
    else:
        answer.body = await reader.read()
        answer.complete = True
    return answer


def request_bytes(method: str, path: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {path} HTTP/1.1', *(f'{name}: {text}' for name, text in headers.items())]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin1') + body


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = 8.0,
) -> Answer:
    """Send one request on a new connection and read the response."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(request_bytes(method, path, {'Host': HOST, **(headers or {})}, body))
            return await read_answer(reader)
        finally:
            writer.transport.abort()


@dataclass
class PlainServer:
    """A sound replica of a plain service: it runs ``slots`` requests and queues a few more."""

    id: str
    address: str
    service: str = 'desk'
    zone: str = 'west-a'
    slots: int = 6
    queue: int = 24
    work_s: float = 0.045
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    port: int = 0
    present: int = 0
    runs: dict[str, int] = field(default_factory=dict)

    async def start(self) -> None:
        """Listen on a free port."""
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.accept, self.address, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self, state: str = 'ready') -> dict[str, Any]:
        """Return the row with which it registers itself."""
        return {
            'service': self.service,
            'address': f'{self.address}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'coldMs': 0,
            'seq': 0,
            'born': self.born_ms,
        }

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while True:
                await self.serve_one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one request."""
        headers, _ = await read_request(reader)
        attempt = headers.get('x-cassiahitch-attempt-id', '')
        if headers.get('x-cassiahitch-expect-instance', self.id) != self.id:
            writer.write(plain_answer('421 Misdirected Request', attempt, refused=True))
        elif self.present >= self.slots + self.queue:
            writer.write(plain_answer('503 Service Unavailable', attempt, refused=True))
        else:
            self.present += 1
            async with self.free:
                self.runs[attempt] = self.runs.get(attempt, 0) + 1
                await asyncio.sleep(self.work_s)
            self.present -= 1
            writer.write(plain_answer('200 OK', attempt, body=f'done {attempt}'.encode()))
        await writer.drain()


async def read_request(reader: asyncio.StreamReader) -> tuple[dict[str, str], bytes]:
    """Read one request that has a length or no body."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin1').split('\r\n')
    headers = {':line': first}
    for line in lines:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.lower()] = text.strip()
    return headers, await reader.readexactly(int(headers.get('content-length', '0')))


def plain_answer(status: str, attempt: str, *, body: bytes = b'', refused: bool = False) -> bytes:
    """Return the bytes of an answer of a plain replica."""
    mark = 'X-Cassiahitch-Not-Executed: 1' if refused else 'X-Cassiahitch-Response-Seal: s.1'
    lines = (
        f'HTTP/1.1 {status}',
        f'X-Cassiahitch-Attempt-Id: {attempt}',
        mark,
        f'Content-Length: {len(body)}',
    )
    return '\r\n'.join((*lines, '', '')).encode() + body


def plain_configuration(version: int = 1, body_bytes: int = 4_194_304) -> dict[str, Any]:
    """Return the configuration of a small site with a plain service."""
    shared = {
        'host': HOST,
        'timeoutMs': 4000,
        'targetLatencyMs': 400,
        'priority': 1,
        'service': 'desk',
        'maxAttempts': 2,
    }
    return {
        'version': version,
        'routes': [
            {**shared, 'name': 'lookup', 'prefix': '/lookup/', 'kind': 'idempotent'},
            {**shared, 'name': 'order', 'prefix': '/order/', 'kind': 'non_idempotent'},
        ],
        'services': [{'name': 'desk', 'maxConnections': 110}],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': body_bytes,
            'idleTimeoutMs': 15_000,
            'headerTimeoutMs': 10_000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [KEY]}],
    }


def run_case(folder: Path, case: Any, limit_s: float = 110.0) -> int:
    """Run a case; 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    return asyncio.run(_run(folder, case, limit_s))


async def _run(folder: Path, case: Any, limit_s: float) -> int:
    trouble = os.environ.get('TROUBLE', '1') != '0'
    work = Path(tempfile.mkdtemp(prefix='cassiahitch-review-'))
    site = Site(folder, trouble, work)
    server, site.store_port = serve_store(site.store, loopback_address(STORE_HOST, 0))
    status = CANNOT_RUN
    own = asyncio.current_task()
    if own is not None:
        # A run that is ended from outside ends its programs as well.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, own.cancel)
    try:
        async with asyncio.timeout(limit_s):
            status = 1 if await case(site) else 0
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        site.say(f'the case could not run: {error!r}')
    finally:
        await site.close()
        server.stop()
        site.say(f'exit code {status}')
        record = ROOT / os.environ.get('RECORD', str(folder / 'record.txt'))
        record.write_text('\n'.join(site.lines) + '\n')
        if os.environ.get('KEEP'):
            print(work, file=sys.stderr)
        else:
            shutil.rmtree(work, ignore_errors=True)
    return status
