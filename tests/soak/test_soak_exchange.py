"""Callers of the soak tell an early end from bytes that are no answer."""

from __future__ import annotations

import asyncio

import pytest

from cassiahitch.soak.exchange import CallerBehaviour, CallerExchange, connect
from cassiahitch.soak.records import Attempt, RequestKind
from cassiahitch.util.endpoints import Endpoint

LOOPBACK = '127.0.0.1'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'
FAILURE = b'HTTP/1.1 502 Bad Gateway\r\nContent-Length: 5\r\n\r\nab'


async def ask(answer: bytes) -> Attempt:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, LOOPBACK, 0)
    now = asyncio.get_running_loop().time()
    attempt = Attempt(
        id='s1',
        request=1,
        kind=RequestKind.lookup,
        entry='entry-0',
        key='key-0',
        target='/lookup/s1',
        digest='d',
        size=0,
        began=now,
        deadline=now + 10,
    )
    endpoint = Endpoint(LOOPBACK, server.sockets[0].getsockname()[1])
    connection = await connect(endpoint, CallerBehaviour())
    await CallerExchange(connection, attempt, CallerBehaviour()).run(b'')
    connection.close()
    server.close()
    return attempt


@pytest.mark.parametrize(
    'answer',
    [
        pytest.param(b'', id='closed'),
        pytest.param(ANSWER[:20], id='within-the-header'),
        pytest.param(FAILURE, id='within-the-body'),
    ],
)
def test_early_end_is_not_whole_and_not_wrong(answer: bytes) -> None:
    attempt = asyncio.run(ask(answer))
    assert (attempt.whole, attempt.wrong, attempt.left) == (False, '', False)


def test_bytes_that_are_no_answer_are_wrong() -> None:
    assert 'no answer of the protocol' in asyncio.run(ask(b'\x00nonsense\r\n\r\n')).wrong


def test_success_without_a_signature_is_wrong() -> None:
    assert 'no signature' in asyncio.run(ask(ANSWER)).wrong
