"""Tests of the HTTP client with servers whose responses are slow."""

from __future__ import annotations

import asyncio
import time
from contextlib import closing

import pytest

from cassiahitch.stores.http_client import (
    STALL_TIMEOUT_S,
    HttpCall,
    HttpCallError,
    HttpClient,
    HttpResponse,
)

#: Timeout of the calls, within which a response has to begin, in seconds.
TIMEOUT_S = 0.5
PARTS = 8
PART = b'x' * 1000
HEAD = f'HTTP/1.1 200 OK\r\nContent-Length: {PARTS * len(PART)}\r\n\r\n'.encode()


async def call_slow_server(
    parts: int, pause_s: float, transfer_extension_s: float
) -> tuple[HttpResponse | None, int]:
    """Make one call to a server that sends some parts of its response, with pauses between them.

    :param parts: number of parts that the server sends; the complete response has ``PARTS``.
    :param pause_s: pause after each part, in seconds.
    :param transfer_extension_s: seconds that the transfer may take in addition to the timeout.
    :return: the response, or ``None`` if the call failed, and how often the server was called.
    """
    calls = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal calls
        calls += 1
        with closing(writer):
            await reader.readuntil(b'\r\n\r\n')
            for index in range(parts):
                head = b'' if index else HEAD
                writer.write(head + PART)
                await writer.drain()
                await asyncio.sleep(pause_s)
            await reader.read()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    call = HttpCall(
        'GET',
        f'http://127.0.0.1:{port}/',
        None,
        TIMEOUT_S,
        transfer_extension_s=transfer_extension_s,
    )
    try:
        async with HttpClient() as client, asyncio.timeout(20):
            return await client.call(call), calls
    except HttpCallError as error:
        assert error.sent
        return None, calls
    finally:
        server.close()


def test_slow_response_without_stall_is_received_with_one_call() -> None:
    response, calls = asyncio.run(call_slow_server(PARTS, 0.15, 15))
    assert response is not None
    assert len(response.body) == PARTS * len(PART)
    assert calls == 1


@pytest.mark.parametrize('parts', [0, 3], ids=['has not begun', 'stops midway'])
def test_call_fails_early_if_the_response(parts: int) -> None:
    async def body() -> None:
        started_at = asyncio.get_running_loop().time()
        response, calls = await call_slow_server(parts, 0.01, 15)
        elapsed_s = asyncio.get_running_loop().time() - started_at
        assert response is None
        assert TIMEOUT_S <= elapsed_s < TIMEOUT_S + 2 * STALL_TIMEOUT_S + 5
        assert calls == 1

    asyncio.run(body())


def test_response_that_exceeds_its_deadline_fails() -> None:
    response, _ = asyncio.run(call_slow_server(PARTS, 0.4, 1))
    assert response is None


def test_paused_process_receives_the_response_that_waits_in_its_socket() -> None:
    async def body() -> HttpResponse:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with closing(writer):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
                await writer.drain()
                # Blocks the event loop for longer than the timeout of the call.
                time.sleep(2 * TIMEOUT_S)  # noqa: ASYNC251

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with server, HttpClient() as client:
            return await client.call(HttpCall('GET', f'http://127.0.0.1:{port}/', None, TIMEOUT_S))

    assert asyncio.run(body()).body == b'ok'


def test_cancelled_call_closes_its_connection() -> None:
    async def body() -> None:
        closed = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with closing(writer):
                await reader.readuntil(b'\r\n\r\n')
                assert not await reader.read()
                closed.set()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with server, HttpClient() as client:
            call = asyncio.create_task(
                client.call(HttpCall('GET', f'http://127.0.0.1:{port}/', None, 60))
            )
            await asyncio.sleep(0.1)
            call.cancel()
            async with asyncio.timeout(5):
                await closed.wait()

    asyncio.run(body())
