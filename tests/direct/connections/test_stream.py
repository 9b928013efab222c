"""Tests that closing a connection is bounded work, whatever it has sent.

They guard against a process that hangs: a close that asked for room, and so closed connections.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from contextlib import closing
from dataclasses import dataclass, field

import pytest
from tornado.web import Application, RequestHandler

from cassiahitch.direct.connections.budget import (
    CloseReason,
    ConnectionBudget,
    ConnectionLimits,
    Holding,
)
from cassiahitch.direct.connections.guard import ConnectionGuard
from cassiahitch.direct.connections.server import GuardedServer
from cassiahitch.direct.connections.turns import Turns
from cassiahitch.metrics.registry import Metrics
from cassiahitch.standins.networks import loopback_address
from cassiahitch.util.listening import bound_port, listen

#: A header with more objects than the process may hold, whatever else it holds.
LIMITS = ConnectionLimits(total_bytes=400_000, max_connections=100, header_bytes=16_384)
FIELDS = 4000
ORDINARY = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
#: Clients that together hold far more than the limits, each with a header that is parsed in turn.
CROWD = 20
FIELDS_IN_TURN = 200
TIMEOUT_S = 5
MAX_SEARCHES = 100


class OkHandler(RequestHandler):
    """Responds to every request."""

    def get(self) -> None:
        self.finish('ok')


@dataclass
class CountingBudget(ConnectionBudget):
    """Counts the searches for connections to close, and how often each is chosen."""

    searches: int = 0
    chosen: Counter[Holding] = field(default_factory=Counter)

    def excess(self, now: float) -> list[tuple[Holding, CloseReason]]:
        self.searches += 1
        # A close that causes another one ends here, so that the test fails instead of hanging.
        found = super().excess(now) if self.searches <= MAX_SEARCHES else []
        self.chosen.update(holding for holding, _ in found)
        return found


class HeldTurns(Turns):
    """Turns that are never given, as at a process whose other work takes all of its time."""

    async def _run(self) -> None:
        """Give no turn."""


def ignore(message: str, **fields: object) -> None:
    """Log nothing."""


def head(fields: int, end: bytes) -> bytes:
    return b''.join((b'GET /nowhere HTTP/1.1\r\n', b'a:\r\n' * fields, end))


async def read_all(port: int, data: bytes) -> bytes:
    """Send bytes, and return what is received until the connection ends."""
    reader, writer = await asyncio.open_connection(loopback_address(0, 0), port)
    with closing(writer):
        writer.write(data)
        try:
            return await reader.read()
        except ConnectionError:
            return b''


@pytest.mark.parametrize('clients', [1, 20])
@pytest.mark.parametrize('end', [b'\r\n', b''])
def test_header_without_room_closes_each_connection_once(clients: int, end: bytes) -> None:
    async def body() -> None:
        guard = ConnectionGuard(lambda: LIMITS, Metrics('entry'), ignore, random.Random(1))
        budget = CountingBudget(LIMITS)
        guard.budget = budget
        server = GuardedServer(Application([('/', OkHandler)]), guard=guard)
        listener = listen(loopback_address(0, 0), 0)
        server.add_sockets([listener])
        port = bound_port(listener)
        crowd = [asyncio.create_task(read_all(port, head(FIELDS, end))) for _ in range(clients)]
        async with asyncio.timeout(TIMEOUT_S):
            if end:
                await asyncio.gather(*crowd)
            response = await read_response(port)
        assert response.startswith(b'HTTP/1.1 200')
        assert all(count == 1 for count in budget.chosen.values())
        assert budget.searches <= 2 * clients + 2
        for task in crowd:
            task.cancel()
        server.stop()
        await server.close_all_connections()
        assert not budget.holdings

    asyncio.run(body())


def test_header_of_a_closed_connection_is_not_kept_for_its_turn() -> None:
    """Guards against memory of closed connections, which no limit on open ones bounds."""

    async def body() -> None:
        guard = ConnectionGuard(lambda: LIMITS, Metrics('entry'), ignore, random.Random(1))
        guard.turns = HeldTurns()
        server = GuardedServer(Application([('/', OkHandler)]), guard=guard)
        listener = listen(loopback_address(0, 0), 0)
        server.add_sockets([listener])
        data = head(FIELDS_IN_TURN, b'\r\n')
        crowd = [asyncio.create_task(read_all(bound_port(listener), data)) for _ in range(CROWD)]
        async with asyncio.timeout(TIMEOUT_S):
            while not guard.turns.waiting:
                await asyncio.sleep(0)
            # The limits leave room for few of them.
            while len(guard.budget.holdings) + sum(task.done() for task in crowd) < CROWD:
                await asyncio.sleep(0)
            assert len(guard.turns.waiting) <= len(guard.budget.holdings)
            for stream in tuple(guard.streams.values()):
                stream.cut()
            while asyncio.all_tasks() != {asyncio.current_task()}:
                await asyncio.sleep(0)
        assert not guard.turns.waiting
        server.stop()

    asyncio.run(body())


async def read_response(port: int) -> bytes:
    reader, writer = await asyncio.open_connection(loopback_address(0, 0), port)
    with closing(writer):
        writer.write(ORDINARY)
        return await reader.readuntil(b'ok')
