"""Tests of HTTP calls whose answers are slow."""

from __future__ import annotations

import asyncio
import time

import pytest

from cassiahitch.stores.http_client import (
    STALL_TIMEOUT_S,
    HttpCall,
    HttpCallError,
    HttpClient,
    HttpResponse,
)

#: Seconds until an answer must have begun.
BEGUN_S = 0.5
PARTS = 8
PART = b'x' * 1000
HEAD = f'HTTP/1.1 200 OK\r\nContent-Length: {PARTS * len(PART)}\r\n\r\n'.encode()


async def answer_slowly(
    parts: int, pause_s: float, transfer_extension_s: float
) -> tuple[HttpResponse | None, int]:
    """Make one call to a server that sends some parts of its answer, with a pause between them.

    :return: the answer, if it came, and how often the server was called.
    """
    calls = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal calls
        calls += 1
        await reader.readuntil(b'\r\n\r\n')
        for index in range(parts):
            head = b'' if index else HEAD
            writer.write(head + PART)
            await writer.drain()
            await asyncio.sleep(pause_s)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    call = HttpCall(
        'GET', f'http://127.0.0.1:{port}/', None, BEGUN_S, transfer_extension_s=transfer_extension_s
    )
    try:
        async with HttpClient() as caller, asyncio.timeout(20):
            return await caller.call(call), calls
    except HttpCallError as error:
        assert error.sent
        return None, calls
    finally:
        server.close()


def test_answer_that_makes_progress_is_not_asked_for_again() -> None:
    reply, calls = asyncio.run(answer_slowly(PARTS, 0.15, 15))
    assert reply is not None
    assert len(reply.body) == PARTS * len(PART)
    assert calls == 1


@pytest.mark.parametrize('parts', [0, 3], ids=['has not begun', 'stops midway'])
def test_call_fails_long_before_its_end_if_the_answer(parts: int) -> None:
    async def body() -> None:
        began = asyncio.get_running_loop().time()
        reply, calls = await answer_slowly(parts, 0.01, 15)
        took_s = asyncio.get_running_loop().time() - began
        assert reply is None
        assert BEGUN_S <= took_s < BEGUN_S + 2 * STALL_TIMEOUT_S + 5
        assert calls == 1

    asyncio.run(body())


def test_answer_that_goes_on_for_too_long_fails() -> None:
    reply, _ = asyncio.run(answer_slowly(PARTS, 0.4, 1))
    assert reply is None


def test_process_that_stood_still_takes_the_answer_that_waits_for_it() -> None:
    async def body() -> HttpResponse:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
            await writer.drain()
            # Nothing of this process runs for longer than the answer may take.
            time.sleep(2 * BEGUN_S)  # noqa: ASYNC251
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with server, HttpClient() as caller:
            return await caller.call(HttpCall('GET', f'http://127.0.0.1:{port}/', None, BEGUN_S))

    assert asyncio.run(body()).body == b'ok'


def test_call_that_nobody_waits_for_any_longer_ends() -> None:
    async def body() -> None:
        ended = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b'\r\n\r\n')
            assert not await reader.read()
            ended.set()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with server, HttpClient() as caller:
            call = asyncio.create_task(
                caller.call(HttpCall('GET', f'http://127.0.0.1:{port}/', None, 60))
            )
            await asyncio.sleep(0.1)
            call.cancel()
            async with asyncio.timeout(5):
                await ended.wait()

    asyncio.run(body())
