"""Tests that single requests inside the limits are served, and that slow ones are closed.

They guard against limits that ordinary callers meet, and against refusals of requests that ran.
"""

from __future__ import annotations

import asyncio
import logging

import pytest
from direct_callers import run, run_count, run_site_in_virtual_time, wait_until
from slow_callers import connect

from cassiahitch.codes import Code
from cassiahitch.direct.connections.guard import MAX_PIPELINED_REQUESTS
from cassiahitch.metrics.names import CounterName
from cassiahitch.standins.configurations import CALLER_API_KEY
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize

ONE_OF_EACH = DirectSiteSize(entries=1, models=1, plain=1)
#: Callers that send requests ahead, more than the entry opens connections to backend servers.
PIPELINING_CALLERS = 60
#: Seconds after which the first requests of such callers have ended.
PIPELINED_S = 2.0
#: Seconds between two counts of the requests under way, and the number of counts.
PIPELINED_SAMPLE_S = 0.1
PIPELINED_SAMPLES = 20
HEAD = f'Host: menus.example\r\nX-Cassiahitch-Key: {CALLER_API_KEY}\r\n'


def request(path: str, attempt: str, fields: str = '', method: str = 'POST') -> bytes:
    identity = f'X-Cassiahitch-Attempt-Id: {attempt}\r\n'
    return f'{method} {path} HTTP/1.1\r\n{HEAD}{identity}{fields}\r\n'.encode()


async def send(site: DirectSite, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    callers = site.entries[0].settings.callers
    reader, writer = await asyncio.open_connection(callers.address, callers.port)
    writer.write(data)
    return reader, writer


async def read_status(reader: asyncio.StreamReader) -> int:
    head = await reader.readuntil(b'\r\n\r\n')
    fields = head.decode().lower().split('\r\n')
    length = next(line for line in fields if line.startswith('content-length:'))
    await reader.readexactly(int(length.partition(':')[2]))
    return int(fields[0].split()[1])


def test_body_in_chunks_of_one_byte_is_served_and_the_connection_reused() -> None:
    async def body(site: DirectSite) -> None:
        chunked = request('/order/1', 'k1', 'Transfer-Encoding: chunked\r\n')
        chunks = b'1\r\nx\r\n' * 90_000
        reader, writer = await send(site, b''.join((chunked, chunks, b'0\r\n\r\n')))
        assert await read_status(reader) == 200
        writer.write(request('/lookup/1', 'k2', method='GET'))
        assert await read_status(reader) == 200
        writer.close()
        assert run_count(site.plain) == 2

    run(body, ONE_OF_EACH)


@pytest.mark.parametrize('digits', [19, 5000])
def test_stated_length_of_many_digits_is_refused(digits: int) -> None:
    """Guards against an exception of the conversion, which would end without a response."""

    async def body(site: DirectSite) -> None:
        length = '9' * digits
        reader, writer = await send(
            site, request('/order/1', 'k1', f'Content-Length: {length}\r\n')
        )
        assert await read_status(reader) in {400, 413}
        writer.close()
        assert run_count(site.plain) == 0

    run(body, ONE_OF_EACH)


def test_chunked_body_at_a_port_that_is_not_for_callers_is_limited() -> None:
    """Guards against chunked bodies that only the memory of all connections would limit."""

    async def body(site: DirectSite) -> None:
        readiness = site.entries[0].settings.readiness
        reader, writer = await asyncio.open_connection(readiness.address, readiness.port)
        writer.write(b'GET /unknown HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n')
        writer.write(b'8000\r\n%b\r\n' % (b'x' * 0x8000) * 3)
        assert b' 400 ' in await reader.readline()
        writer.close()

    run(body, ONE_OF_EACH)


def test_chunked_body_waits_for_continue() -> None:
    async def body(site: DirectSite) -> None:
        fields = 'Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n'
        reader, writer = await send(site, request('/order/1', 'k1', fields))
        assert (await reader.readuntil(b'\r\n\r\n')).startswith(b'HTTP/1.1 100 ')
        writer.write(b'2\r\nxx\r\n0\r\n\r\n')
        assert await read_status(reader) == 200
        writer.close()

    run(body, ONE_OF_EACH)


def test_chunked_body_that_ends_with_its_connection_is_not_run() -> None:
    async def body(site: DirectSite) -> None:
        chunked = request('/order/1', 'k1', 'Transfer-Encoding: chunked\r\n')
        _, writer = await send(site, chunked)
        writer.write(b'2\r\nxx\r\n')
        frontend = site.entries[0].frontend
        await wait_until(lambda: frontend.body_bytes == 2)
        writer.close()
        await wait_until(lambda: not frontend.open)
        await asyncio.sleep(0.1)
        assert not run_count(site.plain)
        assert not frontend.guard.budget.used_bytes

    run(body, ONE_OF_EACH)


def test_invalid_chunks_are_refused() -> None:
    async def body(site: DirectSite) -> None:
        chunked = request('/order/1', 'k1', 'Transfer-Encoding: chunked\r\n')
        reader, writer = await send(site, chunked)
        writer.write(b'zz\r\n')
        assert await read_status(reader) == 400
        writer.close()
        assert not run_count(site.plain)

    run(body, ONE_OF_EACH)


def test_header_of_legal_size_with_very_many_fields_is_served() -> None:
    async def body(site: DirectSite) -> None:
        fields = 'a:\r\n' * 4000
        reader, writer = await send(site, request('/lookup/1', 'k1', fields, 'GET'))
        assert await read_status(reader) == 200
        writer.close()

    run(body, ONE_OF_EACH)


def test_header_with_too_many_fields_is_refused_and_its_body_not_taken_for_a_request() -> None:
    async def body(site: DirectSite) -> None:
        budget = site.entries[0].frontend.guard.budget
        await wait_until(lambda: budget.limits.header_bytes == 16_384)
        hidden = request('/lookup/1', 'k2', method='GET')
        many = 'a:\r\n' * 9000
        fields = f'{many}Content-Length: {len(hidden)}\r\n'
        reader, writer = await send(site, request('/order/1', 'k1', fields) + hidden)
        assert await read_status(reader) == 431
        assert not await reader.read()
        writer.close()
        assert not run_count(site.plain)

    run(body, ONE_OF_EACH)


def test_pipelined_requests_are_all_served_in_order() -> None:
    async def body(site: DirectSite) -> None:
        data = b''.join(request('/lookup/1', f'k{number}', method='GET') for number in range(4))
        reader, writer = await send(site, data)
        assert {await read_status(reader) for _ in range(4)} == {200}
        writer.close()

    run(body, ONE_OF_EACH)


def test_many_callers_that_pipeline_take_few_connections_to_backend_servers() -> None:
    async def body(site: DirectSite) -> None:
        for backend in site.plain:
            backend.pause_s = 1
        path = '/lookup/1'
        data = b''.join(request(path, f'k{number}', method='GET') for number in range(20))
        crowd = [await send(site, data) for _ in range(PIPELINING_CALLERS)]
        # The first requests have ended by then, and those behind them have been delayed.
        await asyncio.sleep(PIPELINED_S)
        pool = site.entries[0].parts.runner.attempts.pool
        for _ in range(PIPELINED_SAMPLES):
            await asyncio.sleep(PIPELINED_SAMPLE_S)
            running = pool.open_counts.total() - sum(map(len, pool.idle.values()))
            assert 0 < running <= MAX_PIPELINED_REQUESTS
        for _, writer in crowd:
            writer.close()

    run_site_in_virtual_time(body, ONE_OF_EACH)


def test_pipelined_requests_whose_callers_left_do_not_run_and_make_room_for_others() -> None:
    async def body(site: DirectSite) -> None:
        data = request('/lookup/1', 'k1', method='GET') + request('/lookup/1', 'k2', method='GET')
        site.plain[0].pause_s = PIPELINED_S / 2
        crowd = [await send(site, data) for _ in range(2 * MAX_PIPELINED_REQUESTS)]
        await asyncio.sleep(PIPELINED_S)
        for _, writer in crowd:
            writer.close()
        await asyncio.sleep(PIPELINED_S)
        assert run_count(site.plain, 'k2') <= MAX_PIPELINED_REQUESTS
        site.plain[0].pause_s = 0
        reader, _ = await send(site, data)
        async with asyncio.timeout(PIPELINED_S):
            assert {await read_status(reader) for _ in range(2)} == {200}

    run_site_in_virtual_time(body, ONE_OF_EACH)


def test_header_that_stays_unfinished_is_closed_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        limits = {**site.configuration['limits'], 'headerTimeoutMs': 100}
        site.update_configuration(limits=limits)
        guard = entry.frontend.guard
        await wait_until(lambda: guard.budget.limits.header_s < 1)
        idle = await connect(entry)
        reader, writer = await send(site, b'GET / HTTP/1.1\r\nHost: a')
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()
        await idle.send('/lookup/1')
        assert (await idle.read_response()).status == 200
        counters = entry.parts.telemetry.metrics.snapshot().counters
        closed = [
            count for series, count in counters.items() if CounterName.connections_closed in series
        ]
        assert closed == [1]
        await wait_until(lambda: 'closed connections' in caplog.messages)

    caplog.set_level(logging.INFO)
    run(body, ONE_OF_EACH)


def test_large_body_is_refused_while_requests_being_served_use_the_memory() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        site.plain[0].pause_s = 1
        guard = entry.frontend.guard
        guard.find_limits = lambda: type(guard.budget.limits)(260_000, 100)
        await wait_until(lambda: guard.budget.limits.total_bytes == 260_000)
        head = request('/order/1', 'k1', 'Content-Length: 90000\r\n')
        first, writer = await send(site, head + bytes(90_000))
        await wait_until(lambda: run_count(site.plain, 'k1') == 1)
        late = await connect(entry)
        await late.send('/order/1', body=bytes(90_000))
        got = await late.read_response()
        assert (got.status, got.code) == (503, Code.overloaded)
        assert await read_status(first) == 200
        writer.close()
        assert run_count(site.plain) == 1

    run(body, ONE_OF_EACH)
