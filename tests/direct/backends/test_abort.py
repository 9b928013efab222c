"""Tests that a cancelled request is not sent to its end."""

from __future__ import annotations

import asyncio
import random
import socket
from typing import Any

from cassiahitch.direct.api import CallerRequest, Headers
from cassiahitch.direct.backends.attempt import AttemptSender
from cassiahitch.direct.backends.exchange import Exchange
from cassiahitch.direct.backends.pool import ConnectionPool
from cassiahitch.direct.backends.replicasignals import ReplicaSignals
from cassiahitch.direct.backends.stalls import StallDetector
from cassiahitch.direct.placement.availability import ReplicaAvailability
from cassiahitch.direct.state.ratelimits import RateLimitRegistry
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.platform.requests import PlatformRequests
from cassiahitch.util.endpoints import Endpoint

#: More than the socket buffers of the backend server hold, less than those of both ends together.
BODY_BYTES = 1_000_000
BUFFER_BYTES = 8192
ADDRESS = '127.0.0.1'
HEADERS: Headers = (('Host', 'menus.example'), ('X-Cassiahitch-Attempt-Id', 'a1'))
REQUEST = CallerRequest('POST', '/order/1', 'menus.example', HEADERS, b'x' * BODY_BYTES, 'a1')


def make_unread_server() -> socket.socket:
    """Return a listening socket with a small receive buffer that nothing reads from."""
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    server.bind((ADDRESS, 0))
    server.listen()
    server.setblocking(False)
    return server


async def read_all(connection: socket.socket) -> int:
    """Return how many bytes are received until the end or a reset."""
    loop = asyncio.get_running_loop()
    size = 0
    while True:
        try:
            data = await loop.sock_recv(connection, 65_536)
        except ConnectionResetError:
            return size
        if not data:
            return size
        size += len(data)


async def no_alternative() -> bool:
    return False


def test_rest_of_a_cancelled_request_is_not_sent() -> None:
    async def body() -> int:
        nothing: Any = None
        pool = ConnectionPool()
        signals = ReplicaSignals(
            ReplicaAvailability(random.Random(1)), pool, nothing, 1, RateLimitRegistry()
        )
        attempts = AttemptSender(
            pool, PlatformRequests(), nothing, nothing, signals, nothing, nothing, nothing
        )
        with make_unread_server() as server:
            endpoint = Endpoint(ADDRESS, server.getsockname()[1])
            replica = Replica('r1', 'desk', endpoint, 'north-1', 4)
            connection = await pool.acquire(replica, 9, at_most_once=False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(server)
            exchange = Exchange(connection, attempts.codec, StallDetector(no_alternative))
            sending = asyncio.create_task(exchange.send(REQUEST, REQUEST.headers))
            await asyncio.sleep(0.2)
            assert exchange.written is not None
            assert exchange.written.done()
            sending.cancel()
            attempts.release(connection, exchange)
            await asyncio.sleep(0.1)
            with accepted:
                return await read_all(accepted)

    assert asyncio.run(body()) < BODY_BYTES / 2
