"""Backend servers of the soak go wrong in the ways that their faults name."""

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
from cassiahitch.standins.backends import ResponseWriter

LOOPBACK = '127.0.0.1'
HEAD = {names.ATTEMPT_ID: 's1'}
REQUEST = h11.Request(method='GET', target='/', headers=[('Host', 'x')])
Play = Callable[[ResponseWriter], Awaitable[bool]]


async def read_some(play: Play, seconds: float) -> tuple[bytes, bool]:
    """Read for some seconds, close, and return the bytes and what the play returned."""
    ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        machine = h11.Connection(h11.SERVER)
        client = h11.Connection(h11.CLIENT)
        machine.receive_data(client.send(REQUEST) or b'')
        client.send(h11.EndOfMessage())
        machine.next_event()
        machine.next_event()
        try:
            ended.set_result(await play(ResponseWriter(machine, writer)))
        except ConnectionError:
            ended.set_result(False)
        writer.close()

    server = await asyncio.start_server(serve, LOOPBACK, 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    got = b''
    try:
        async with asyncio.timeout(seconds):
            while part := await reader.read(65_536):
                got += part
    except TimeoutError:
        writer.transport.abort()
    async with asyncio.timeout(5):
        goes_on = await ended
    writer.close()
    server.close()
    return got, goes_on


@pytest.mark.parametrize('in_head', [True, False])
def test_bytes_without_end_come_until_the_peer_closes(in_head: bool) -> None:
    async def play(response: ResponseWriter) -> bool:
        return await write_endless(response, HEAD, in_head=in_head)

    got, goes_on = asyncio.run(read_some(play, 0.3))
    assert (len(got) > 100_000, b'\r\n\r\n' in got, goes_on) == (True, not in_head, False)


def test_stuck_answer_goes_on_byte_by_byte() -> None:
    async def play(response: ResponseWriter) -> bool:
        response.send_head(200, {**HEAD, 'Content-Length': '300'})
        return await write_trickle(response, b'y' * 300)

    got, _ = asyncio.run(read_some(play, 1.0))
    assert 102 <= got.partition(b'\r\n\r\n')[2].count(b'y') <= 105


def test_second_copy_is_a_whole_answer_with_the_own_id() -> None:
    async def play(response: ResponseWriter) -> bool:
        await response.send_response(200, HEAD, b'body')
        return await write_duplicate(response, HEAD, b'body')

    got, goes_on = asyncio.run(read_some(play, 1.0))
    answers = got.split(b'HTTP/1.1 200')[1:]
    assert [one.endswith(b'\r\n\r\nbody') for one in answers] == [True, True]
    assert all(f'{names.ATTEMPT_ID}: s1'.encode() in one for one in answers)
    assert goes_on


def test_half_of_the_endless_answers_have_no_head() -> None:
    ids = [f's{number}' for number in range(10)]
    assert sum(is_head_endless({names.ATTEMPT_ID: one}) for one in ids) == 5
