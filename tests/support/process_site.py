"""A site whose entries and agents are separate processes, with stand-ins in the test process."""

from __future__ import annotations

import asyncio
import hashlib
import json
import secrets
import signal
import sys
import tempfile
from asyncio.subprocess import DEVNULL, PIPE, Process
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING, Any, Self

import yaml

from cassiahitch.standins.engines import (
    ModelEngineStandin,
    SequenceStandin,
    serve_engine,
    serve_sequence,
)
from cassiahitch.standins.origin import MemoryOrigin, PublishedVersion, serve_origin
from cassiahitch.standins.platform import (
    MemoryHosts,
    MemoryObjects,
    serve_hosts,
    serve_objects,
    serve_tables,
)
from cassiahitch.standins.scenario import OperatorClient
from cassiahitch.standins.tables import MemoryTables
from cassiahitch.stores.http_client import HttpCall, HttpClient, HttpResponse
from cassiahitch.weights.manifest import build_manifest

if TYPE_CHECKING:
    from collections.abc import Callable

    from cassiahitch.standins.http import StandInServer

LOOPBACK = '127.0.0.1'
TOKEN = 'operator-token-of-the-test'
SECRET = 'key-of-the-chop-house'
WEIGHTS = bytes(range(256)) * 512
CHUNK_BYTES = 16_384
TIMEOUT_S = 30


def sha256(text: str) -> str:
    """Return a hexadecimal digest."""
    return hashlib.sha256(text.encode()).hexdigest()


class RunningProcess:
    """An entry or agent process, and the settings that restart it on the same ports."""

    def __init__(self, role: str, path: Path, settings: dict[str, Any]) -> None:
        self.role = role
        self.path = path
        self.settings = settings
        self.process: Process | None = None

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        self.path.write_text(yaml.safe_dump(self.settings))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'cassiahitch',
            self.role,
            str(self.path),
            stdout=DEVNULL,
            stderr=PIPE,
        )
        assert self.process.stderr is not None
        started = json.loads(await self.process.stderr.readline())
        ports = {name: started[name] for name in ('port', 'http_port') if name in started}
        self.settings.update(ports)

    async def end(self, number: signal.Signals) -> int:
        """Send a signal, wait for the process to end and return its exit code."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)
        return await self.process.wait()


class ProcessSite:
    """Stand-ins in the test process; entries and agents in processes of their own."""

    def __init__(self) -> None:
        self.tables = MemoryTables()
        self.origin = MemoryOrigin(50_000_000)
        self.engines: dict[str, ModelEngineStandin] = {}
        self.sequence = SequenceStandin()
        self.agent_url = ''
        self.entries: list[RunningProcess] = []
        self.agents: dict[str, RunningProcess] = {}
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        (self.folder / 'system.key').write_text(secrets.token_hex())
        self.caller = await self.stack.enter_async_context(HttpClient())
        self.platform = {
            'table_service_url': self.close_at_exit(serve_tables(self.tables)).url,
            'object_store_url': self.close_at_exit(serve_objects(MemoryObjects())).url,
            'origin_url': self.close_at_exit(serve_origin(self.origin)).url,
            'host_list_url': self.close_at_exit(serve_hosts(MemoryHosts())).url,
        }
        return self

    async def __aexit__(self, *_details: object) -> None:
        for process in (*self.entries, *self.agents.values()):
            await process.end(signal.SIGKILL)
        await self.stack.aclose()

    async def start(self, entries: int, models: int) -> None:
        """Start entries, model engines with their agents, and the agent of the sequence service."""
        for number in range(entries):
            extra = {'operator_token_digests': [sha256(TOKEN)], 'leave_grace_s': 0.5}
            entry = self.prepare('entry', f'entry-{number}', number, extra)
            await entry.start()
            self.entries.append(entry)
        await asyncio.gather(*(self.start_model(number) for number in range(models)))
        self.agent_url = self.close_at_exit(serve_sequence(self.sequence)).url
        url = self.agent_url
        await self.start_agent('plain', 0, url, {'engine_kind': 'plain', 'service': 'numbers'})

    async def start_model(self, number: int) -> None:
        """Start an engine and its agent."""
        engine = ModelEngineStandin()
        self.engines[f'model-{number}'] = engine
        await self.start_agent(
            f'model-{number}', number, self.close_at_exit(serve_engine(engine)).url, {}
        )

    async def start_agent(self, host: str, number: int, url: str, extra: dict[str, Any]) -> None:
        """Start an agent."""
        extra = {**extra, 'engine_url': url, 'staging_path': str(self.folder / f'{host}.staging')}
        self.agents[host] = self.prepare('agent', host, number, extra)
        await self.agents[host].start()

    def prepare(self, role: str, host: str, number: int, extra: dict[str, Any]) -> RunningProcess:
        """Return a process that has not been started."""
        settings = {
            'name': host,
            'host': host,
            'region': f'region-{number % 3}',
            'failure_domain': f'domain-{number % 3}',
            'address': LOOPBACK,
            'system_key_file': 'system.key',
            'entries': [f'{LOOPBACK}:{entry.settings["port"]}' for entry in self.entries],
            'platform': self.platform,
            'timeouts': {'heartbeat_s': 0.1, 'silent_after_s': 1},
            **extra,
        }
        return RunningProcess(role, self.folder / f'{host}.yaml', settings)

    def close_at_exit(self, server: StandInServer) -> StandInServer:
        """Close a server when the site ends, and return it."""
        self.stack.push_async_callback(server.close)
        return server

    def publish(self, version: str) -> str:
        """Publish weights and return their digest."""
        weights = WEIGHTS + version.encode()
        manifest = build_manifest(version, weights, CHUNK_BYTES)
        starts = range(0, len(weights), CHUNK_BYTES)
        chunks = tuple(weights[start : start + CHUNK_BYTES] for start in starts)
        self.origin.versions[version] = PublishedVersion(manifest.to_json(), chunks)
        return manifest.digest

    def url(self, entry: int) -> str:
        """Return the base URL of an entry."""
        return f'http://{LOOPBACK}:{self.entries[entry].settings["http_port"]}'

    def operator(self, entry: int = 0) -> OperatorClient:
        """Return a client of the operators' API of an entry."""
        return OperatorClient(self.caller, self.url(entry), TOKEN)

    async def declare(self, replicas: int) -> str:
        """Declare services and a deployment; return the digest of the model."""
        digest = self.publish('v1')
        model = {'kind': 'Model', 'name': 'menus', 'version': 'v1', 'origin': 'v1'}
        for resource in (
            {'kind': 'Organisation', 'name': 'chop-house', 'key_digests': [sha256(SECRET)]},
            {'kind': 'Service', 'name': 'draft', 'type': 'model', 'idempotent': True},
            {'kind': 'Service', 'name': 'numbers', 'type': 'plain', 'idempotent': False},
            {**model, 'manifest': digest},
            {
                'kind': 'Deployment',
                'name': 'draft',
                'service': 'draft',
                'model': 'menus',
                'replicas': replicas,
            },
        ):
            await self.operator().create(resource)
        return digest

    async def serving(self, digest: str, entry: int = 0) -> int:
        """Return how many nodes serve a version according to the status of an entry."""
        status = await self.operator(entry).status()
        return sum(node['loaded'] == digest for node in status['nodes'])

    async def ask(self, service: str, body: str, entry: int = 0, **headers: str) -> dict[str, Any]:
        """Send a request and return the JSON response."""
        return dict((await self.ask_raw(service, body, entry, **headers)).json())

    async def ask_raw(
        self, service: str, body: str, entry: int = 0, **headers: str
    ) -> HttpResponse:
        """Send a request and return the raw response."""
        header_pairs = ((name.replace('_', '-'), text) for name, text in headers.items())
        authorisation = ('Authorization', f'Bearer {SECRET}')
        url = f'{self.url(entry)}/v1/services/{service}/requests'
        call = HttpCall(
            'POST', url, body.encode(), 30, repeatable=False, headers=(*header_pairs, authorisation)
        )
        return await self.caller.call(call)


async def until(check: Callable[[], Any]) -> None:
    """Wait until a condition holds; the timeout only ends a test that hangs."""
    async with asyncio.timeout(TIMEOUT_S):
        while not await check():
            await asyncio.sleep(0.02)
