"""Tests of one request and its answer on a connection, against a raw peer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from cassiahitch.direct.api import CallerRequest, Headers, ResponseHead
from cassiahitch.direct.backends.connection import BackendConnection, ConnectFailed, connect
from cassiahitch.direct.backends.exchange import Exchange, ResponseLost
from cassiahitch.direct.backends.pool import ConnectionPool
from cassiahitch.direct.backends.stalls import StallDetector
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.platform.requests import PlatformRequests
from cassiahitch.standins.backends import reset
from cassiahitch.util.endpoints import Endpoint

ADDRESS = '127.0.0.1'
CODEC = PlatformRequests()
SEALED = b'X-Cassiahitch-Attempt-Id: a1\r\nX-Cassiahitch-Response-Seal: s\r\n'
WHOLE = b'HTTP/1.1 200 OK\r\n%bContent-Length: 4\r\n\r\nfine' % SEALED
FOREIGN = (
    b'HTTP/1.1 200 OK\r\nX-Cassiahitch-Attempt-Id: zz\r\nX-Cassiahitch-Response-Seal: s\r\n'
    b'Content-Length: 2\r\n\r\nno'
)
UNFRAMED = b'HTTP/1.1 200 OK\r\n%b\r\nfine' % SEALED
REFUSED = b'HTTP/1.1 503 Busy\r\nX-Cassiahitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'

Peer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Body = Callable[[Replica], Awaitable[None]]


def request() -> CallerRequest:
    headers: Headers = (('Host', 'menus.example'), ('X-Cassiahitch-Attempt-Id', 'a1'))
    return CallerRequest('POST', '/order/1', 'menus.example', headers, b'body', 'a1')


def serve(peer: Peer, body: Body) -> None:
    async def whole() -> None:
        server = await asyncio.start_server(peer, ADDRESS, 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            replica = Replica('r1', 'desk', Endpoint(ADDRESS, port), 'north-1', 4)
            await body(replica)

    asyncio.run(whole())


def answering(*answers: bytes, close: bool = False) -> Peer:
    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for answer in answers:
            await reader.readuntil(b'body')
            writer.write(answer)
            await writer.drain()
        if close:
            writer.close()

    return peer


async def stay() -> bool:
    return False


async def exchange(connection: BackendConnection) -> tuple[ResponseHead, bytes, Exchange]:
    one = Exchange(connection, CODEC, StallDetector(stay))
    head = await one.send(request(), request().headers)
    return head, await one.body(), one


def test_whole_answer_leaves_the_connection_reusable() -> None:
    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        for _ in range(2):
            head, content, one = await exchange(connection)
            assert (head.status, content, head.sealed) == (200, b'fine', True)
            assert one.reusable
        connection.close()

    serve(answering(WHOLE, WHOLE), body)


def test_answer_of_another_request_is_passed_over() -> None:
    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        head, content, _ = await exchange(connection)
        assert (head.attempt_id, content) == ('a1', b'fine')
        connection.close()

    serve(answering(FOREIGN + WHOLE), body)


def test_only_an_answer_of_another_request_is_no_answer() -> None:
    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        with pytest.raises(ResponseLost):
            await exchange(connection)
        connection.close()

    serve(answering(FOREIGN, close=True), body)


def test_bytes_after_the_answer_make_the_connection_unusable() -> None:
    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        _, content, one = await exchange(connection)
        assert (content, one.reusable) == (b'fine', False)
        connection.close()

    serve(answering(WHOLE + WHOLE), body)


def test_answer_without_a_length_ends_with_its_connection() -> None:
    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        _, content, one = await exchange(connection)
        assert (content, one.reusable) == (b'fine', False)
        connection.close()

    serve(answering(UNFRAMED, close=True), body)


@pytest.mark.parametrize('answer', [UNFRAMED, WHOLE[:-2], WHOLE[:30], b''])
def test_reset_is_no_end_of_an_answer(answer: bytes) -> None:
    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'body')
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)

    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        with pytest.raises(ResponseLost):
            await exchange(connection)
        connection.close()

    serve(peer, body)


@pytest.mark.parametrize('answer', [b'no protocol at all\r\n\r\n', b'HTTP/1.1 2x0 OK\r\n\r\n'])
def test_bytes_that_are_no_answer_are_a_lost_answer(answer: bytes) -> None:
    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        with pytest.raises(ResponseLost):
            await exchange(connection)
        connection.close()

    serve(answering(answer, close=True), body)


def test_refusal_without_an_id_says_that_the_request_did_not_run() -> None:
    async def body(replica: Replica) -> None:
        connection = await connect(replica, 1)
        head, _, _ = await exchange(connection)
        assert head.not_run
        connection.close()

    serve(answering(REFUSED), body)


def test_refused_connection_tells_that_nothing_was_sent() -> None:
    async def body(replica: Replica) -> None:
        gone = Replica('r2', 'desk', Endpoint(ADDRESS, 1), 'north-1', 4)
        with pytest.raises(ConnectFailed) as caught:
            await connect(gone, 1)
        assert caught.value.refused

    serve(answering(), body)


def test_kept_connection_with_stray_bytes_is_not_used_again() -> None:
    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'body')
        writer.write(WHOLE)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(WHOLE)
        await reader.read()

    async def body(replica: Replica) -> None:
        pool = ConnectionPool()
        first = await pool.acquire(replica, 4, non_idempotent=True)
        _, _, one = await exchange(first)
        pool.release(first, reusable=one.reusable, idle_timeout_s=5)
        await asyncio.sleep(0.1)
        second = await pool.acquire(replica, 4, non_idempotent=True)
        assert second is not first
        pool.discard(second)
        assert not pool.open_counts

    serve(peer, body)


def test_connections_to_a_replica_are_bounded() -> None:
    async def body(replica: Replica) -> None:
        pool = ConnectionPool()
        kept = [await pool.acquire(replica, 2, non_idempotent=False) for _ in range(2)]
        with pytest.raises(ConnectFailed):
            await pool.acquire(replica, 2, non_idempotent=False)
        pool.release(kept[0], reusable=True, idle_timeout_s=None)
        assert await pool.acquire(replica, 2, non_idempotent=False) is kept[0]
        for connection in kept:
            pool.discard(connection)

    serve(answering(), body)
