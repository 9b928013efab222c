"""The site of a soak: stand-ins in this process, entries and agents as processes of their own."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass, field
from functools import partial
from http import HTTPStatus
from pathlib import Path
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Self

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.platform import names
from cassiahitch.soak.auditedweights import AuditedWeights
from cassiahitch.soak.backend import READ_TOKENS_PER_S, SoakBackend
from cassiahitch.soak.exchange import MODEL
from cassiahitch.soak.plan import Size
from cassiahitch.soak.processes import RunningProcess
from cassiahitch.soak.proxy import FaultyProxy
from cassiahitch.soak.records import Record
from cassiahitch.standins.configurations import (
    FAILURE_DOMAINS,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    RequestLimits,
    initial_configuration,
    with_organisations,
    with_request_limits,
)
from cassiahitch.standins.directsite import (
    CALLERS_PORT,
    DIRECTORY_PORT,
    ENTRY_HOSTS,
    MODEL_HOSTS,
    PEER_PORT,
    PLAIN_HOSTS,
    READINESS_PORT,
    STORE_HOST,
)
from cassiahitch.standins.networks import loopback_address
from cassiahitch.standins.rowstore import RowStore, serve_store
from cassiahitch.standins.weightservice import WeightService, serve_weights
from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpClient
from cassiahitch.util.endpoints import Endpoint

if TYPE_CHECKING:
    from types import TracebackType

READINESS_POLL_INTERVAL_S = 0.1
#: Seconds in which the entries must become ready.
READINESS_TIMEOUT_S = 90
#: Number of organisations, each with one key; all keys but the first may be revoked.
ORGANISATION_COUNT = 6
#: Timeout and target latency of a request, in milliseconds, and its largest body, in bytes.
REQUEST_BOUNDS = RequestLimits(timeout_ms=12_000, objective_ms=1000, body_bytes=1_000_000)
#: Configured rate of all links, in megabits per second.
LINK_MBIT_S = 1000
#: Requests that a backend server runs at a time.
SLOTS = 16
#: Seconds that an engine takes to load weights.
LOAD_S = 0.3
#: Settings of the model engines in the configuration.
ENGINE_SETTINGS = MappingProxyType(
    {
        'slots': SLOTS,
        'passSteps': 1,
        'step_ms': 50.0,
        'read_per_s': READ_TOKENS_PER_S,
        'usual': {'prompt': 495, 'answer': 30},
    }
)


@dataclass
class SoakSite:
    """Starts and stops the stand-ins and processes, and gives access to them for faults.

    ``processes`` and ``backends`` are by name, as are the listed ``states`` of the replicas,
    ``links`` by the name of the process or backend server that they belong to.
    """

    size: Size
    folder: Path
    record: Record
    store: RowStore = field(default_factory=RowStore)
    weights: WeightService = field(init=False)
    configuration: dict[str, Any] = field(default_factory=dict)
    backends: dict[str, SoakBackend] = field(default_factory=dict)
    processes: dict[str, RunningProcess] = field(default_factory=dict)
    links: dict[str, FaultyProxy] = field(default_factory=dict)
    states: dict[str, str] = field(default_factory=dict)
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    def __post_init__(self) -> None:
        """Create the origin of weights."""
        self.weights = WeightService(MODEL, self.size.chunk_bytes)

    async def __aenter__(self) -> Self:
        """Start the stand-ins and the processes, and wait until the entries are ready.

        :return: the site.
        """
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.stack)
            self.http = await stack.enter_async_context(HttpClient())
            store, port = serve_store(self.store, loopback_address(STORE_HOST, 0))
            stack.callback(store.stop)
            self.store_port = port
            self.weights.publish(1, self.size.chunks)
            origin, port = serve_weights(self.weights, loopback_address(STORE_HOST, 0))
            stack.callback(origin.stop)
            address = f'{loopback_address(STORE_HOST, 0)}:{port}'
            self.configure(make_configuration(address, self.size))
            self.stack = stack
            await self.start_all()
            self.stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all processes and stand-ins."""
        await self.stack.aclose()

    async def start_all(self) -> None:
        """Start the backend servers, and then the agents and entries."""
        for number in range(self.size.plain):
            await self.add_backend(
                f'p-{number}', PLAIN_SERVICE, loopback_address(PLAIN_HOSTS, number)
            )
        for number in range(self.size.agents):
            address = loopback_address(MODEL_HOSTS, number)
            await self.add_backend(f'm-{number}', MODEL_SERVICE, address)
            await self.add_process('direct-agent', f'agent-{number}', address, number)
        for number in range(self.size.entries):
            address = loopback_address(ENTRY_HOSTS, number)
            await self.add_process('direct-entry', f'entry-{number}', address, number)
        await self.start_processes()

    async def start_processes(self) -> None:
        """Start the processes and wait until all entries are ready.

        :raises CassiahitchError: ``soak_not_ready`` if an entry is not ready in time.
        """
        await asyncio.gather(*(process.start() for process in self.processes.values()))
        try:
            async with asyncio.timeout(READINESS_TIMEOUT_S):
                for number in range(self.size.entries):
                    await self.wait_until_ready(number)
        except TimeoutError:
            raise CassiahitchError(
                Code.soak_not_ready, f'not all entries became ready within {READINESS_TIMEOUT_S} s'
            ) from None

    async def add_backend(self, name: str, service: str, address: str) -> None:
        """Start a backend server behind a link, and register it.

        :param name: name of the backend server, which is also its first id.
        :param service: name of its service.
        :param address: IP address of the backend server and of its link.
        """
        engine = self.make_engine(name) if service == MODEL_SERVICE else None
        domain = FAILURE_DOMAINS[len(self.backends) % 2]
        backend = SoakBackend(name, service, domain, slots=SLOTS, engine=engine)
        backend.host = name
        # Half of the backend servers name rate limits in responses to callers only.
        backend.reports_limit = len(self.backends) % 2 == 0
        backend.executions = self.record.executions
        backend.crashes = self.record.crashes
        backend.register = partial(self.register, name)
        backend.relist = partial(self.relist, name)
        await backend.start(address)
        self.stack.push_async_callback(backend.stop)
        self.backends[name] = backend
        await self.add_link(name, Endpoint(address, backend.port), address)
        self.register(name)

    def make_engine(self, host: str) -> AuditedWeights:
        """Create the weights of an engine, with version 1 staged and loaded.

        :param host: name of the host.
        :return: the weights.
        """
        self.record.engines.append(host)
        return AuditedWeights(
            MODEL,
            version=1,
            load_s=LOAD_S,
            staged=dict(enumerate(self.weights.chunks[1])),
            service=self.weights,
            host=host,
            loads=self.record.loads,
        )

    async def add_link(self, name: str, target: Endpoint, address: str) -> FaultyProxy:
        """Start the proxy of a link.

        :param name: name of the link.
        :param target: address to forward connections to.
        :param address: IP address to listen on.
        :return: the proxy.
        """
        proxy = FaultyProxy(target)
        await proxy.start(address)
        self.stack.push_async_callback(proxy.stop)
        self.links[name] = proxy
        return proxy

    def register(self, name: str, state: str = 'ready') -> None:
        """Write the store's row of a backend server, with the address of its link.

        :param name: name of the backend server.
        :param state: state to write.
        """
        self.states[name] = state
        backend = self.backends[name]
        row = {**backend.row(state), 'address': f'{backend.address}:{self.links[name].port}'}
        self.store.put(names.REPLICA_TABLE, backend.id, row)

    def relist(self, name: str) -> None:
        """Write the store's row of a backend server again, without changing its state.

        :param name: name of the backend server.
        """
        self.register(name, self.states[name])

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write a configuration to the store, as the operator does.

        :param configuration: JSON values.
        """
        self.configuration = configuration
        self.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, configuration)

    async def add_process(self, role: str, name: str, address: str, number: int) -> None:
        """Add an entry or an agent, with a link of its own to the store, without starting it.

        :param role: subcommand of the program.
        :param name: name of the process.
        :param address: IP address of the process.
        :param number: number of the process among those of its role.
        """
        store = Endpoint(loopback_address(STORE_HOST, 0), self.store_port)
        link = await self.add_link(name, store, loopback_address(STORE_HOST, 0))
        domain = FAILURE_DOMAINS[number % 2]
        settings = {
            'name': name,
            'address': address,
            'region': domain.partition('-')[0],
            'failure_domain': domain,
            'regions': {
                failure_domain: failure_domain.partition('-')[0]
                for failure_domain in FAILURE_DOMAINS
            },
            'peer_port': PEER_PORT,
            'store': f'{loopback_address(STORE_HOST, 0)}:{link.port}',
            'bounds': make_bounds(self.record),
            **(
                self.entry_settings(address)
                if role == 'direct-entry'
                else self.agent_settings(number, address)
            ),
        }
        process = RunningProcess(name, role, self.folder, settings, self.record)
        self.processes[name] = process
        self.stack.push_async_callback(process.kill)

    def entry_settings(self, address: str) -> dict[str, Any]:
        """Return the settings that only entries have.

        :param address: IP address of the entry.
        :return: settings.
        """
        return {
            'callers': f'{address}:{CALLERS_PORT}',
            'readiness': f'{address}:{READINESS_PORT}',
            'directory': f'{address}:{DIRECTORY_PORT}',
            'seeds': [f'{loopback_address(ENTRY_HOSTS, 0)}:{PEER_PORT}'],
        }

    def agent_settings(self, number: int, address: str) -> dict[str, Any]:
        """Return the settings that only agents have.

        :param number: number of the agent.
        :param address: IP address of the agent.
        :return: settings.
        """
        return {
            'engine': f'{address}:{self.links[f"m-{number}"].port}',
            'service': MODEL_SERVICE,
            'region_link_mbit_s': LINK_MBIT_S,
            'link_mbit_s': LINK_MBIT_S,
        }

    async def wait_until_ready(self, number: int) -> None:
        """Wait until an entry is ready.

        :param number: number of the entry.
        """
        address = loopback_address(ENTRY_HOSTS, number)
        url = f'http://{address}:{READINESS_PORT}{names.READY_PATH}'
        while not await self.is_ready(url):
            await asyncio.sleep(READINESS_POLL_INTERVAL_S)

    async def is_ready(self, url: str) -> bool:
        """Query once whether an entry is ready.

        :param url: URL of the readiness check.
        :return: whether the entry reports that it is ready.
        """
        try:
            response = await self.http.call(HttpCall('GET', url, None, 1, False, ()))
        except HttpCallError:
            return False
        return response.status == HTTPStatus.OK

    def pids(self) -> dict[str, int]:
        """Return the ids of the running processes.

        :return: process ids by name.
        """
        processes = {name: managed.process for name, managed in self.processes.items()}
        return {
            name: process.pid
            for name, process in processes.items()
            if process and process.returncode is None
        }

    def directories(self) -> tuple[Endpoint, ...]:
        """Return the addresses of the directories that callers query for entries.

        :return: one address per entry.
        """
        return tuple(
            Endpoint(loopback_address(ENTRY_HOSTS, number), DIRECTORY_PORT)
            for number in range(self.size.entries)
        )


def make_bounds(record: Record) -> dict[str, float]:
    """Return the setting ``bounds`` of the processes.

    :param record: record of the run, with its time limits.
    :return: values of the setting.
    """
    bounds = asdict(record.bounds)
    shared_names = ('drain_s', 'configuration_s', 'revoked_key_s', 'weights_s', 'grace_s')
    return {
        **{name: bounds[name] for name in shared_names},
        'address_lifetime_s': 5,
        'retry_ratio': 0.2,
        'retry_slack': 106,
        'retry_window_s': 10,
    }


def make_configuration(origin: str, size: Size) -> dict[str, Any]:
    """Return the first configuration of a run.

    :param origin: address of the service that holds the weights.
    :param size: size of the run.
    :return: JSON values.
    """
    configuration = with_request_limits(initial_configuration(origin), REQUEST_BOUNDS)
    names_by_key = {
        f'key-{number}': f'organisation-{number}' for number in range(ORGANISATION_COUNT)
    }
    return {
        **with_organisations(configuration, names_by_key),
        'services': [_with_engine_settings(service, size) for service in configuration['services']],
    }


def _with_engine_settings(service: dict[str, Any], size: Size) -> dict[str, Any]:
    if 'engine' not in service:
        return service
    chunks = {'chunkCount': size.chunks, 'chunkBytes': size.chunk_bytes}
    return {**service, 'engine': {**service['engine'], **ENGINE_SETTINGS, **chunks}}


__all__ = ('SoakSite',)
