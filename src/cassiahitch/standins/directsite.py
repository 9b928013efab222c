"""A site of the direct path in one process: entries, agents and stand-ins on loopback."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Self

from cassiahitch.direct.agent import DirectAgent
from cassiahitch.direct.entry import DirectEntry
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.platform import names
from cassiahitch.platform.adapter import Platform
from cassiahitch.settings.direct import BoundSettings, DirectAgentSettings, DirectEntrySettings
from cassiahitch.standins.backends import BackendStandin
from cassiahitch.standins.configurations import (
    CHUNK_BYTES,
    CHUNK_COUNT,
    FAILURE_DOMAINS,
    MODEL,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    initial_configuration,
)
from cassiahitch.standins.engineweights import EngineWeights
from cassiahitch.standins.networks import loopback_address
from cassiahitch.standins.rowstore import RowStore, serve_store
from cassiahitch.standins.weightservice import WeightService, serve_weights
from cassiahitch.stores.http_client import HttpClient
from cassiahitch.util.endpoints import Endpoint

if TYPE_CHECKING:
    from types import TracebackType

STORE_HOST = 0
PLAIN_HOSTS = 1
MODEL_HOSTS = 2
ENTRY_HOSTS = 3
CALLERS_PORT = 8005
READINESS_PORT = 8002
DIRECTORY_PORT = 8009
PEER_PORT = 7700
POLL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class DirectSiteSize:
    """Numbers of entries and replicas of a site; ``link_mbit_s`` is the rate of each host link."""

    entries: int = 2
    models: int = 3
    plain: int = 2
    link_mbit_s: float = 1000


@dataclass(slots=True)
class DirectSite:
    """Starts and stops the entries, the agents and the stand-ins of a site.

    The random decisions of the entries follow from ``seed``, unless it is None.
    """

    size: DirectSiteSize = field(default_factory=DirectSiteSize)
    bounds: dict[str, float] = field(default_factory=dict)
    store: RowStore = field(default_factory=RowStore)
    weights: WeightService = field(default_factory=lambda: WeightService(MODEL, CHUNK_BYTES))
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)
    entries: list[DirectEntry] = field(default_factory=list)
    agents: list[DirectAgent] = field(default_factory=list)
    models: list[BackendStandin] = field(default_factory=list)
    plain: list[BackendStandin] = field(default_factory=list)
    store_port: int = 0
    configuration: dict[str, Any] = field(default_factory=dict)
    seed: int | None = None

    async def __aenter__(self) -> Self:
        """Start the stand-ins, the entries and the agents.

        :return: the site.
        """
        server, port = serve_store(self.store, loopback_address(STORE_HOST, 0))
        self.store_port = port
        self.stack.callback(server.stop)
        self.weights.publish(1, CHUNK_COUNT)
        origin, origin_port = serve_weights(self.weights, loopback_address(STORE_HOST, 0))
        self.stack.callback(origin.stop)
        self.configure(initial_configuration(f'{loopback_address(STORE_HOST, 0)}:{origin_port}'))
        for number in range(self.size.plain):
            await self.add_plain_replica(number)
        for number in range(self.size.models):
            await self.add_model_replica(number, loaded=True)
        for number in range(self.size.entries):
            await self.add_entry(number)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop everything."""
        for entry in self.entries:
            entry.frontend.server.stop()
            await entry.frontend.server.close_all_connections()
            entry.parts.runner.attempts.pool.close()
        stacks = [process.stack for process in self.entries]
        for stack in (*stacks, *(process.stack for process in self.agents)):
            await stack.aclose()
        for backend in (*self.models, *self.plain):
            await backend.stop()
        await self.stack.aclose()

    def configure(self, configuration: dict[str, Any]) -> None:
        """Store a configuration, as the operator does.

        :param configuration: JSON values.
        """
        self.configuration = configuration
        self.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, configuration)

    def update_configuration(self, **fields: Any) -> None:
        """Store the configuration with changed fields and a higher version.

        :param fields: the changed fields.
        """
        version = self.configuration['version'] + 2
        self.configure({**self.configuration, **fields, 'version': version})

    def publish_version(self, version: int) -> None:
        """Publish a version of the weights at the origin and declare it in the store.

        :param version: the version.
        """
        self.weights.publish(version, CHUNK_COUNT)
        document = {'model': MODEL, 'version': version}
        self.store.put(names.OPERATOR_TABLE, f'{names.VERSION_PREFIX}{MODEL}', document)

    def evacuate(self, failure_domain: str) -> None:
        """Store the row that evacuates a failure domain, as the operator does.

        :param failure_domain: name of the failure domain.
        """
        self.store.put(names.OPERATOR_TABLE, f'{names.EVACUATION_PREFIX}{failure_domain}', {})

    def end_evacuation(self, failure_domain: str) -> None:
        """Remove the row that evacuates a failure domain.

        :param failure_domain: name of the failure domain.
        """
        self.store.remove(names.OPERATOR_TABLE, f'{names.EVACUATION_PREFIX}{failure_domain}')

    def register(self, backend: BackendStandin, state: str = 'ready') -> None:
        """Store the row that registers a backend server.

        :param backend: the backend server.
        :param state: state to register.
        """
        self.store.put(names.REPLICA_TABLE, backend.id, backend.row(state))

    def deregister(self, backend: BackendStandin) -> None:
        """Remove the row that registers a backend server.

        :param backend: the backend server.
        """
        self.store.remove(names.REPLICA_TABLE, backend.id)

    async def add_plain_replica(self, number: int) -> BackendStandin:
        """Start and register a plain replica.

        :param number: index of the replica.
        :return: the replica.
        """
        backend = BackendStandin(f'p-{number}', PLAIN_SERVICE, FAILURE_DOMAINS[number % 2])
        await backend.start(loopback_address(PLAIN_HOSTS, number))
        self.plain.append(backend)
        self.register(backend)
        return backend

    async def add_model_replica(self, number: int, *, loaded: bool) -> BackendStandin:
        """Start and register a model engine, and start its agent.

        :param number: index of the engine.
        :param loaded: whether version 1 is staged and loaded.
        :return: the engine.
        """
        engine = EngineWeights(MODEL)
        if loaded:
            engine.version = 1
            engine.staged = dict(enumerate(self.weights.chunks[1]))
        domain = FAILURE_DOMAINS[number % 2]
        backend = BackendStandin(f'm-{number}', MODEL_SERVICE, domain, engine=engine)
        await backend.start(loopback_address(MODEL_HOSTS, number))
        self.models.append(backend)
        self.register(backend)
        settings = DirectAgentSettings(
            **self.shared_settings(f'agent-{number}', backend.address, domain),
            engine=Endpoint(backend.address, backend.port),
            service=MODEL_SERVICE,
            region_link_mbit_s=self.size.link_mbit_s,
            link_mbit_s=self.size.link_mbit_s,
        )
        self.agents.append(await self.start_agent(settings))
        return backend

    async def start_agent(self, settings: DirectAgentSettings) -> DirectAgent:
        """Start an agent.

        :param settings: settings of the agent.
        :return: the agent.
        """
        caller = await self.stack.enter_async_context(HttpClient())
        agent = DirectAgent(settings, self.platform(caller), caller)
        await agent.start()
        return agent

    async def restart_agent(self, position: int) -> DirectAgent:
        """Stop an agent and start a new one, without its state, in its place.

        :param position: index of the agent.
        :return: the new agent.
        """
        await self.agents[position].stop()
        # The event loop closes its sockets only in the next iteration.
        await asyncio.sleep(POLL_INTERVAL_S)
        agent = await self.start_agent(self.agents[position].settings)
        self.agents[position] = agent
        return agent

    async def add_entry(self, number: int) -> DirectEntry:
        """Start an entry.

        :param number: index of the entry.
        :return: the entry.
        """
        address = loopback_address(ENTRY_HOSTS, number)
        domain = FAILURE_DOMAINS[number % 2]
        settings = DirectEntrySettings(
            **self.shared_settings(f'entry-{number}', address, domain),
            callers=Endpoint(address, CALLERS_PORT),
            readiness=Endpoint(address, READINESS_PORT),
            directory=Endpoint(address, DIRECTORY_PORT),
            seeds=tuple(Endpoint(seed.settings.address, 1) for seed in self.entries[:1]),
        )
        caller = await self.stack.enter_async_context(HttpClient())
        entry = DirectEntry(settings, self.platform(caller), caller)
        if self.seed is not None:
            entry.rng.seed(f'{self.seed} {number}')
        await entry.start()
        self.entries.append(entry)
        return entry

    def shared_settings(self, name: str, address: str, domain: str) -> dict[str, Any]:
        """Return the settings that entries and agents share.

        :param name: name of the process.
        :param address: IP number of the process.
        :param domain: failure domain of the process.
        :return: the settings by name.
        """
        return {
            'name': name,
            'address': address,
            'region': domain.partition('-')[0],
            'failure_domain': domain,
            'regions': {other: other.partition('-')[0] for other in FAILURE_DOMAINS},
            'peer_port': PEER_PORT,
            'store': Endpoint(loopback_address(STORE_HOST, 0), self.store_port),
            'bounds': make_bounds(**self.bounds),
        }

    def platform(self, caller: HttpClient) -> Platform:
        """Return the platform adapter for a process.

        :param caller: HTTP client of the process.
        :return: the adapter.
        """
        return Platform(caller, Endpoint(loopback_address(STORE_HOST, 0), self.store_port))

    async def wait_until_ready(self) -> None:
        """Wait until all entries are ready and have discovered all replicas and entries."""
        while not all(self._is_converged(entry) for entry in self.entries):
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_converged(self, entry: DirectEntry) -> bool:
        entry_state = entry.parts.entry_state
        now = asyncio.get_running_loop().time()
        listed = len(entry_state.replicas.replicas) == len(self.models) + len(self.plain)
        is_ready = entry_state.is_ready(boot_time())
        return is_ready and listed and entry_state.live_entries(now) == len(self.entries)


def make_bounds(**changed: float) -> BoundSettings:
    """Return bounds that are short enough for tests.

    :param changed: bounds that differ from the defaults.
    :return: the bounds.
    """
    bounds = {
        'drain_s': 2,
        'configuration_s': 2,
        'revoked_key_s': 5,
        'weights_s': 8,
        'grace_s': 3,
        'address_lifetime_s': 5,
        'retry_ratio': 0.2,
        'retry_slack': 100,
        'retry_window_s': 10,
        **changed,
    }
    return BoundSettings(**bounds)


__all__ = (
    'DirectSite',
    'DirectSiteSize',
)
