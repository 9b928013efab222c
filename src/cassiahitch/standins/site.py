"""A complete site on loopback in one process: platform, backend servers, agents and entries."""

from __future__ import annotations

import hashlib
import secrets
import tempfile
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from pydantic import SecretBytes

from cassiahitch.agent.process import AgentProcess
from cassiahitch.entry.process import EntryProcess
from cassiahitch.settings.models import (
    AgentSettings,
    EngineKind,
    EntrySettings,
    PlatformSettings,
    TimeoutSettings,
)
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
from cassiahitch.standins.tables import MemoryTables
from cassiahitch.stores.api import HostRecord
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.weights.manifest import Manifest, build_manifest

if TYPE_CHECKING:
    from cassiahitch.standins.http import StandInServer

LOOPBACK = '127.0.0.1'
#: Rate of the origin's link in bytes per second.
ORIGIN_BYTES_PER_S = 8_000_000
FAILURE_DOMAINS = 3
KEY_BYTES = 32
HEARTBEAT_S = 0.2
SILENT_AFTER_S = 1.5
LEAVE_GRACE_S = 0.5


@dataclass(frozen=True, slots=True)
class SiteSize:
    """Numbers of entries and of hosts with a model engine or a plain service."""

    entries: int = 3
    model_hosts: int = 6
    plain_hosts: int = 1


@dataclass(slots=True)
class Backends:
    """Stand-ins of the backend servers, by host."""

    engines: dict[str, ModelEngineStandin] = field(default_factory=dict)
    sequences: dict[str, SequenceStandin] = field(default_factory=dict)


class Site:
    """Starts all processes and stand-ins, and stops them through one exit stack."""

    def __init__(self, size: SiteSize) -> None:
        """Create a site that is not started.

        :param size: numbers of entries and hosts.
        """
        self.size = size
        self.token = secrets.token_urlsafe(KEY_BYTES)
        self.system_key = secrets.token_hex(KEY_BYTES).encode()
        self.tables = MemoryTables()
        self.objects = MemoryObjects()
        self.hosts = MemoryHosts()
        self.origin = MemoryOrigin(ORIGIN_BYTES_PER_S)
        self.backends = Backends()
        self.entries: list[EntryProcess] = []
        self.agents: dict[str, AgentProcess] = {}
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> Site:
        """Start everything."""
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.platform = self._start_platform()
        for number in range(self.size.entries):
            await self._start_entry(number)
        for number in range(self.size.model_hosts):
            await self.start_model_host(number)
        for number in range(self.size.plain_hosts):
            await self._start_plain_host(number)
        return self

    async def __aexit__(self, *_details: object) -> None:
        """Stop everything."""
        await self.stack.aclose()

    @property
    def urls(self) -> tuple[str, ...]:
        """Base URLs of the entries."""
        return tuple(f'http://{LOOPBACK}:{entry.http_port}' for entry in self.entries)

    def publish(self, origin: str, version: str, weights: bytes, chunk_bytes: int) -> Manifest:
        """Publish a version at the origin of weights.

        :param origin: path of the version at the origin.
        :param version: name of the version.
        :param weights: content of the version.
        :param chunk_bytes: size of a chunk in bytes.
        :return: manifest of the version.
        """
        manifest = build_manifest(version, weights, chunk_bytes)
        starts = range(0, len(weights), chunk_bytes)
        chunks = tuple(weights[start : start + chunk_bytes] for start in starts)
        self.origin.versions[origin] = PublishedVersion(manifest.to_json(), chunks)
        return manifest

    async def start_model_host(self, number: int) -> AgentProcess:
        """Start a model engine and its agent, in a new incarnation if it ran before.

        :param number: index of the host.
        :return: the agent.
        """
        host = f'model-{number}'
        existing_engine = self.backends.engines.get(host)
        engine = existing_engine or ModelEngineStandin(checks_fencing=bool(number % 2))
        self.backends.engines[host] = engine
        server = self._close_at_exit(serve_engine(engine))
        return await self._start_agent(host, number, server.url, EngineKind.model)

    async def _start_plain_host(self, number: int) -> None:
        host = f'plain-{number}'
        sequence = SequenceStandin()
        self.backends.sequences[host] = sequence
        server = self._close_at_exit(serve_sequence(sequence))
        await self._start_agent(host, number, server.url, EngineKind.plain)

    async def _start_agent(
        self,
        host: str,
        number: int,
        engine_url: str,
        kind: EngineKind,
    ) -> AgentProcess:
        settings = AgentSettings.model_validate(
            {
                **self._shared_settings(host, number),
                'engine_url': engine_url,
                'engine_kind': kind,
                'service': 'invoice-number' if kind is EngineKind.plain else '',
                'staging_path': self.folder / host,
            },
        )
        agent = AgentProcess(settings)
        await agent.start()
        self.stack.push_async_callback(agent.kill)
        self.agents[host] = agent
        self.hosts.records[host] = HostRecord(host, LOOPBACK, leaving=False)
        return agent

    async def restart_entry(self, number: int) -> EntryProcess:
        """Start an entry again on the ports that it had before.

        :param number: index of the entry, which must have been stopped or killed.
        :return: the entry, in a new incarnation.
        """
        previous_entry = self.entries[number]
        ports = {'port': previous_entry.node.port, 'http_port': previous_entry.http_port}
        self.entries[number] = await self._create_entry(number, ports)
        return self.entries[number]

    async def _start_entry(self, number: int) -> None:
        self.entries.append(await self._create_entry(number, {}))

    async def _create_entry(self, number: int, ports: dict[str, int]) -> EntryProcess:
        host = f'entry-{number}'
        digest = hashlib.sha256(self.token.encode()).hexdigest()
        settings = EntrySettings.model_validate(
            {
                **self._shared_settings(host, number),
                **ports,
                'operator_token_digests': (digest,),
                'leave_grace_s': LEAVE_GRACE_S,
            },
        )
        entry = EntryProcess(settings)
        await entry.start()
        self.stack.push_async_callback(entry.kill)
        return entry

    def _start_platform(self) -> PlatformSettings:
        return PlatformSettings(
            table_service_url=self._close_at_exit(serve_tables(self.tables)).url,
            object_store_url=self._close_at_exit(serve_objects(self.objects)).url,
            origin_url=self._close_at_exit(serve_origin(self.origin)).url,
            host_list_url=self._close_at_exit(serve_hosts(self.hosts)).url,
        )

    def _close_at_exit(self, server: StandInServer) -> StandInServer:
        self.stack.push_async_callback(server.close)
        return server

    def _shared_settings(self, host: str, number: int) -> dict[str, object]:
        domain = number % FAILURE_DOMAINS
        return {
            'name': host,
            'host': host,
            'region': f'region-{domain}',
            'failure_domain': f'domain-{domain}',
            'address': LOOPBACK,
            'system_key': SecretBytes(self.system_key),
            'entries': tuple(
                Endpoint(LOOPBACK, entry.node.port)
                for entry in self.entries
                if entry.settings.host != host
            ),
            'platform': self.platform,
            'timeouts': TimeoutSettings(heartbeat_s=HEARTBEAT_S, silent_after_s=SILENT_AFTER_S),
        }


__all__ = (
    'Site',
    'SiteSize',
)
