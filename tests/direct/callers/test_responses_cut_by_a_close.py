"""A response that ends with its connection must not look whole when this process closes early.

They guard against short answers that a stop or a kill of the entry ends like whole ones.
"""

from __future__ import annotations

import asyncio

import pytest
from direct_callers import run_site_in_virtual_time, send_request
from scripted_replicas import (
    CHUNKED,
    EVENT_TYPE,
    ONCE_STREAM_PREFIX,
    SEAL,
    ScriptedRequest,
    add_once_stream_route,
    chunk,
    events,
    head,
    serve_script,
)

from cassiahitch.standins.configurations import CALLER_API_KEY
from cassiahitch.standins.directsite import DirectSite

ONCE_PATH = f'{ONCE_STREAM_PREFIX}1'
LARGE_BODY = bytes(2_000_000)
#: Longer than the test keeps a stream open, in seconds.
STREAM_S = 30
#: Time until the caller has the first events, in seconds.
FIRST_EVENTS_S = 1
OLD_REQUEST = b''.join(
    (
        b'POST /draft/1 HTTP/1.0\r\nHost: menus.example\r\nX-Cassiahitch-Attempt-Id: a\r\n',
        b'X-Cassiahitch-Deadline-Ms: 9000\r\nX-Cassiahitch-Model: m1\r\n',
        b'X-Cassiahitch-Token-Count: 100,30\r\nX-Cassiahitch-Key: ',
        CALLER_API_KEY.encode(),
        b'\r\n\r\n',
    )
)


async def close_connections(site: DirectSite) -> None:
    await asyncio.sleep(FIRST_EVENTS_S)
    await site.entries[0].frontend.server.close_all_connections()


def test_stream_without_chunks_is_reset_by_the_stop_of_the_entry() -> None:
    async def body(site: DirectSite) -> None:
        async def script(request: ScriptedRequest) -> None:
            request.write(head('200 OK', request.attempt_line, SEAL, EVENT_TYPE), events(1, 2))
            await asyncio.sleep(STREAM_S)

        await add_once_stream_route(site)
        async with serve_script(site.entries[0], script):
            closing = asyncio.create_task(close_connections(site))
            got = await send_request(site.entries[0], ONCE_PATH, deadline_ms=9000)
            await closing
        assert (got.status, got.shows_end, got.complete) == (200, False, False)
        assert got.reset

    run_site_in_virtual_time(body)


def test_stream_of_an_old_caller_is_reset_by_the_stop_of_the_entry() -> None:
    async def body(site: DirectSite) -> None:
        async def script(request: ScriptedRequest) -> None:
            lines = (request.attempt_line, SEAL, EVENT_TYPE, CHUNKED)
            request.write(head('200 OK', *lines), chunk(events(1, 2)))
            await asyncio.sleep(STREAM_S)

        callers = site.entries[0].settings.callers
        async with serve_script(site.entries[0], script):
            reader, writer = await asyncio.open_connection(callers.address, callers.port)
            writer.write(OLD_REQUEST)
            closing = asyncio.create_task(close_connections(site))
            with pytest.raises(ConnectionResetError):
                while await reader.read(100):
                    await asyncio.sleep(0)
            await closing
            writer.close()

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('path', ['/order/1', '/lookup/1'])
def test_large_body_without_a_length_reaches_its_caller_whole(path: str) -> None:
    async def body(site: DirectSite) -> None:
        async def script(request: ScriptedRequest) -> None:
            request.write(head('200 OK', request.attempt_line, SEAL), LARGE_BODY)
            request.close()

        async with serve_script(site.entries[0], script):
            got = await send_request(site.entries[0], path)
        assert (got.status, got.received) == (200, len(LARGE_BODY))
        assert got.ended_as_replica_did

    run_site_in_virtual_time(body)
