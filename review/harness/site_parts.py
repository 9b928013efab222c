"""A small deployment on loopback: stand-ins in this process, the system's programs beside it."""

from __future__ import annotations

import asyncio
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, Self

from client import request
from processes import Program

from cassiahitch.platform import names
from cassiahitch.standins.networks import loopback_address
from cassiahitch.standins.rowstore import RowStore, serve_store

STORE_HOST = 0
PLAIN_HOSTS = 1
MODEL_HOSTS = 2
ENTRY_HOSTS = 3
CALLERS_PORT = 8005
READINESS_PORT = 8002
DIRECTORY_PORT = 8009
CONTROL_PORT = 8000
#: Seconds in which an entry must be ready after its start.
READY_TIMEOUT_S = 30
ZONE = 'west-mids-a'
REGION = 'west-mids'
#: The bounds of the settings on the page on deployment.
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'stableMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configMs': 2000,
    'rollbackSlackMs': 250,
    'outerMs': 5000,
    'strictRevoke': True,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetSlack': 106,
    'recoverS': 12,
    'eventDelayMs': 120,
    'retryAfterS': 0,
    'version_ms': 8000,
    'version_all_ms': 0,
    'ttl_max_s': 5,
}


class NotReady(Exception):
    """The deployment did not start, so the case cannot be judged."""


class Site:
    """Starts the store and the programs, and ends all of them."""

    def __init__(self) -> None:
        """Create a site without processes."""
        self.store = RowStore()
        self.store_port = 0
        self.stack = AsyncExitStack()
        self.programs: list[Program] = []
        self.folder = Path()

    async def __aenter__(self) -> Self:
        """Start the store."""
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        server, self.store_port = serve_store(self.store, loopback_address(STORE_HOST, 0))
        self.stack.callback(server.stop)
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes and stand-ins."""
        for program in self.programs:
            program.end()
        await self.stack.aclose()

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write a configuration, as the operator does; the store acknowledges it at once."""
        self.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, configuration)

    def declare_version(self, model: str, version: int) -> None:
        """Declare new weights, as the operator does."""
        document = {'model': model, 'version': version}
        self.store.put(names.OPERATOR_TABLE, f'{names.VERSION_PREFIX}{model}', document)

    def add_entry(self, number: int) -> Program:
        """Write the settings of an entry."""
        address = entry_address(number)
        fields = {
            **self.shared_fields(address),
            'listen': {
                'front': f'{address}:{CALLERS_PORT}',
                'ready': f'{address}:{READINESS_PORT}',
                'directory': f'{address}:{DIRECTORY_PORT}',
                'control': f'{address}:{CONTROL_PORT}',
            },
            'seeds': [f'{entry_address(0)}:{CONTROL_PORT}'],
            'limits': {'cpuShare': 0.537, 'cores': 2, 'memoryMb': 300, 'linkMbps': 1000.0},
        }
        return self.add('entry', f'entry-{number}', fields)

    def add_agent(self, number: int, address: str, engine_port: int, service: str) -> Program:
        """Write the settings of an agent."""
        fields = {
            **self.shared_fields(address),
            'app': f'{address}:{engine_port}',
            'service': service,
            'limits': {'cpuShare': 0.645, 'cores': 2, 'memoryMb': 168, 'linkMbps': 4.7},
        }
        return self.add('agent', f'agent-{number}', fields)

    def add(self, role: str, name: str, fields: dict[str, Any]) -> Program:
        """Add a program."""
        program = Program(role, name, self.folder, fields)
        self.programs.append(program)
        return program

    def shared_fields(self, address: str) -> dict[str, Any]:
        """Return the fields of the platform's settings that all machines share."""
        return {
            'ip': address,
            'zone': ZONE,
            'region': REGION,
            'zones': {ZONE: REGION},
            'portRange': [7700, 7715],
            'platform': {'address': f'{loopback_address(STORE_HOST, 0)}:{self.store_port}'},
            'bounds': BOUNDS,
        }

    async def wait_until_ready(self, number: int) -> None:
        """Wait until an entry answers the platform's check with 200."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while True:
                    address = (entry_address(number), READINESS_PORT)
                    headers = [('Host', 'ready')]
                    answer = await request(address, 'GET', names.READY_PATH, headers)
                    if answer.status == 200:
                        return
                    await asyncio.sleep(0.1)
        except TimeoutError:
            logs = ''.join(program.log_text()[-2000:] for program in self.programs)
            raise NotReady(f'entry {number} is not ready\n{logs}') from None


def entry_address(number: int) -> str:
    """Return the address of an entry."""
    return loopback_address(ENTRY_HOSTS, number)


def front(number: int) -> tuple[str, int]:
    """Return the address at which an entry takes requests."""
    return entry_address(number), CALLERS_PORT
