"""Tests of one request and its response on a connection, against a scripted TCP peer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import replace

import pytest

from cassiahitch.direct.api import CallerRequest, Headers, ResponseHead
from cassiahitch.direct.backends.connection import (
    MAX_REFUSALS,
    BackendConnection,
    ConnectFailed,
    connect,
)
from cassiahitch.direct.backends.exchange import Exchange, ResponseLost
from cassiahitch.direct.backends.pool import ConnectionPool
from cassiahitch.direct.backends.stalls import StallDetector
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.platform.requests import PlatformRequests
from cassiahitch.standins.responses import reset
from cassiahitch.util.endpoints import Endpoint

ADDRESS = '127.0.0.1'
CODEC = PlatformRequests()
SEALED = b'X-Cassiahitch-Attempt-Id: a1\r\nX-Cassiahitch-Response-Seal: s\r\n'
COMPLETE = b'HTTP/1.1 200 OK\r\n%bContent-Length: 4\r\n\r\nfine' % SEALED
OTHER_REQUEST = (
    b'HTTP/1.1 200 OK\r\nX-Cassiahitch-Attempt-Id: zz\r\nX-Cassiahitch-Response-Seal: s\r\n'
    b'Content-Length: 2\r\n\r\nno'
)
UNFRAMED = b'HTTP/1.1 200 OK\r\n%b\r\nfine' % SEALED
REFUSED = b'HTTP/1.1 503 Busy\r\nX-Cassiahitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
#: Longer than the buffers between both ends of a connection.
LONG_BODY_BYTES = 16_000_000

Peer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Body = Callable[[Replica], Awaitable[None]]


def request() -> CallerRequest:
    headers: Headers = (('Host', 'menus.example'), ('X-Cassiahitch-Attempt-Id', 'a1'))
    return CallerRequest('POST', '/order/1', 'menus.example', headers, b'body', 'a1')


def serve(peer: Peer, body: Body) -> None:
    writers = ExitStack()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.callback(writer.close)
        await peer(reader, writer)

    async def run_server() -> None:
        server = await asyncio.start_server(accept, ADDRESS, 0)
        port = server.sockets[0].getsockname()[1]
        with writers:
            async with server:
                replica = Replica('r1', 'desk', Endpoint(ADDRESS, port), 'north-1', 4)
                await body(replica)

    asyncio.run(run_server())


def responding_peer(*responses: bytes, close: bool = False) -> Peer:
    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for response in responses:
            await reader.readuntil(b'body')
            writer.write(response)
            await writer.drain()
        if close:
            writer.close()

    return peer


async def no_alternative() -> bool:
    return False


async def run_exchange(connection: BackendConnection) -> tuple[ResponseHead, bytes, Exchange]:
    exchange = Exchange(connection, CODEC, StallDetector(no_alternative))
    head = await exchange.send(request(), request().headers)
    return head, await exchange.body(), exchange


def test_complete_response_leaves_the_connection_reusable() -> None:
    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        for _ in range(2):
            head, content, exchange = await run_exchange(connection)
            assert (head.status, content, head.sealed) == (200, b'fine', True)
            assert exchange.reusable
        connection.close()

    serve(responding_peer(COMPLETE, COMPLETE), body)


def test_response_to_another_request_is_skipped() -> None:
    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        head, content, _ = await run_exchange(connection)
        assert (head.attempt_id, content) == ('a1', b'fine')
        connection.close()

    serve(responding_peer(OTHER_REQUEST + COMPLETE), body)


def test_response_to_another_request_alone_is_a_lost_response() -> None:
    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        with pytest.raises(ResponseLost):
            await run_exchange(connection)
        connection.close()

    serve(responding_peer(OTHER_REQUEST, close=True), body)


def test_bytes_after_the_response_make_the_connection_unusable() -> None:
    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        _, content, exchange = await run_exchange(connection)
        assert (content, exchange.reusable) == (b'fine', False)
        connection.close()

    serve(responding_peer(COMPLETE + COMPLETE), body)


def test_response_without_a_length_ends_with_its_connection() -> None:
    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        _, content, exchange = await run_exchange(connection)
        assert (content, exchange.reusable) == (b'fine', False)
        connection.close()

    serve(responding_peer(UNFRAMED, close=True), body)


@pytest.mark.parametrize('response', [UNFRAMED, COMPLETE[:-2], COMPLETE[:30], b''])
def test_reset_before_the_end_is_a_lost_response(response: bytes) -> None:
    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'body')
        writer.write(response)
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)

    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        with pytest.raises(ResponseLost):
            await run_exchange(connection)
        connection.close()

    serve(peer, body)


@pytest.mark.parametrize('response', [b'no protocol at all\r\n\r\n', b'HTTP/1.1 2x0 OK\r\n\r\n'])
def test_invalid_http_is_a_lost_response(response: bytes) -> None:
    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        with pytest.raises(ResponseLost):
            await run_exchange(connection)
        connection.close()

    serve(responding_peer(response, close=True), body)


def test_refusal_without_an_id_says_that_the_request_did_not_run() -> None:
    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        head, _, _ = await run_exchange(connection)
        assert head.not_run
        connection.close()

    serve(responding_peer(REFUSED), body)


@pytest.mark.parametrize('kept', [False, True], ids=['new connection', 'kept connection'])
def test_refusal_before_a_long_body_is_read_is_taken_only_on_a_new_connection(
    *, kept: bool
) -> None:
    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if kept:
            await reader.readuntil(b'body')
            writer.write(COMPLETE)
        await reader.readuntil(b'xxxx')
        writer.write(REFUSED)
        await asyncio.sleep(0.05)
        await reader.readexactly(LONG_BODY_BYTES - len(b'xxxx'))
        writer.write(COMPLETE)

    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        if kept:
            await run_exchange(connection)
        exchange = Exchange(connection, CODEC, StallDetector(no_alternative))
        long_request = replace(request(), body=b'x' * LONG_BODY_BYTES)
        head = await exchange.send(long_request, request().headers)
        content = await exchange.body()
        own_content = b'fine' if kept else b''
        assert (head.not_run, content, exchange.reusable) == (not kept, own_content, kept)
        connection.close()

    serve(peer, body)


def test_connection_after_many_refusals_is_not_used_again() -> None:
    refusal = REFUSED.replace(b'\r\n', b'\r\n%b' % SEALED, 1)

    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        for number in range(MAX_REFUSALS):
            assert connection.can_reuse()
            exchange = Exchange(connection, CODEC, StallDetector(no_alternative))
            await exchange.send(replace(request(), attempt_id=f'a{number}'), request().headers)
            await exchange.body()
        assert not connection.can_reuse()
        connection.close()

    refusals = (refusal.replace(b': a1', b': a%d' % number) for number in range(MAX_REFUSALS))
    serve(responding_peer(*refusals), body)


def test_refused_connection_is_reported_as_refused() -> None:
    async def body(replica: Replica) -> None:
        unreachable = Replica('r2', 'desk', Endpoint(ADDRESS, 1), 'north-1', 4)
        with pytest.raises(ConnectFailed) as caught:
            await connect(unreachable, 1)
        assert caught.value.refused

    serve(responding_peer(), body)


def test_idle_connection_with_stray_bytes_is_not_used_again() -> None:
    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'body')
        writer.write(COMPLETE)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(COMPLETE)
        await reader.read()

    async def body(replica: Replica) -> None:
        pool = ConnectionPool()
        first = await pool.acquire(replica, 4, at_most_once=True)
        _, _, exchange = await run_exchange(first)
        pool.release(first, reusable=exchange.reusable, idle_timeout_s=5)
        await asyncio.sleep(0.1)
        second = await pool.acquire(replica, 4, at_most_once=True)
        assert second is not first
        pool.discard(second)
        assert not pool.open_counts

    serve(peer, body)


def test_connections_to_a_replica_are_bounded() -> None:
    async def body(replica: Replica) -> None:
        pool = ConnectionPool()
        kept = [await pool.acquire(replica, 2, at_most_once=False) for _ in range(2)]
        with pytest.raises(ConnectFailed):
            await pool.acquire(replica, 2, at_most_once=False)
        pool.release(kept[0], reusable=True, idle_timeout_s=None)
        assert await pool.acquire(replica, 2, at_most_once=False) is kept[0]
        for connection in kept:
            pool.discard(connection)

    serve(responding_peer(), body)
