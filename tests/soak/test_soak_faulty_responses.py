"""The soak's faulty responses: endless, stuck and duplicated ones."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import h11
import pytest

from cassiahitch.platform import names
from cassiahitch.soak.faulty_responses import (
    is_head_endless,
    write_duplicate,
    write_endless,
    write_trickle,
)
from cassiahitch.standins.responses import ResponseWriter

LOOPBACK = '127.0.0.1'
HEAD = {names.ATTEMPT_ID: 's1'}
REQUEST = h11.Request(method='GET', target='/', headers=[('Host', 'x')])
WriteResponse = Callable[[ResponseWriter], Awaitable[bool]]


async def read_for(write_response: WriteResponse, seconds: float) -> tuple[bytes, bool]:
    """Read a response for some seconds; return the bytes and whether the connection is reusable."""
    outcome: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        machine = h11.Connection(h11.SERVER)
        client = h11.Connection(h11.CLIENT)
        machine.receive_data(client.send(REQUEST) or b'')
        client.send(h11.EndOfMessage())
        machine.next_event()
        machine.next_event()
        try:
            outcome.set_result(await write_response(ResponseWriter(machine, writer)))
        except ConnectionError:
            outcome.set_result(False)
        writer.close()

    server = await asyncio.start_server(serve, LOOPBACK, 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    received = b''
    try:
        async with asyncio.timeout(seconds):
            while chunk := await reader.read(65_536):
                received += chunk
    except TimeoutError:
        writer.transport.abort()
    async with asyncio.timeout(5):
        reusable = await outcome
    writer.close()
    server.close()
    return received, reusable


@pytest.mark.parametrize('in_head', [True, False])
def test_endless_response_continues_until_the_peer_closes(in_head: bool) -> None:
    async def write_response(response: ResponseWriter) -> bool:
        return await write_endless(response, HEAD, in_head=in_head)

    received, reusable = asyncio.run(read_for(write_response, 0.3))
    assert (len(received) > 100_000, b'\r\n\r\n' in received, reusable) == (
        True,
        not in_head,
        False,
    )


def test_stuck_response_continues_byte_by_byte() -> None:
    async def write_response(response: ResponseWriter) -> bool:
        response.send_head(200, {**HEAD, 'Content-Length': '300'})
        return await write_trickle(response, b'y' * 300)

    received, _ = asyncio.run(read_for(write_response, 1.0))
    assert 102 <= received.partition(b'\r\n\r\n')[2].count(b'y') <= 105


def test_duplicate_is_a_complete_response_with_the_same_id() -> None:
    async def write_response(response: ResponseWriter) -> bool:
        await response.send_response(200, HEAD, b'body')
        return await write_duplicate(response, HEAD, b'body')

    received, reusable = asyncio.run(read_for(write_response, 1.0))
    copies = received.split(b'HTTP/1.1 200')[1:]
    assert [copy.endswith(b'\r\n\r\nbody') for copy in copies] == [True, True]
    assert all(f'{names.ATTEMPT_ID}: s1'.encode() in copy for copy in copies)
    assert reusable


def test_half_of_the_endless_answers_have_no_head() -> None:
    ids = [f's{number}' for number in range(10)]
    assert sum(is_head_endless({names.ATTEMPT_ID: attempt_id}) for attempt_id in ids) == 5
