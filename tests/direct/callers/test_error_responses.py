"""Failures outside an attempt get an error response with a code, and are logged."""

from __future__ import annotations

import asyncio
import json

import pytest
from direct_callers import run, send_request, wait_until
from slow_callers import SlowCaller, connect

from cassiahitch.codes import Code
from cassiahitch.direct.callers.exchange import CallerExchange
from cassiahitch.direct.callers.limits import MAX_BODY_BYTES, MAX_HEADER_BYTES
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize

ONE_OF_EACH = DirectSiteSize(entries=1, models=1, plain=1)


async def fail_before_response(caller: CallerExchange) -> None:
    raise ValueError(caller.incoming.target)


async def fail_within_response(caller: CallerExchange) -> None:
    await caller.start_response(200, 'OK', ())
    await caller.write_body(b'id: 1\n\n')
    raise ValueError(caller.incoming.target)


def log_records(caplog: pytest.LogCaptureFixture, message: str) -> list[dict[str, object]]:
    return [vars(record) for record in caplog.records if record.getMessage() == message]


def test_internal_error_gets_a_response_and_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        serve = entry.frontend.serve
        entry.frontend.serve = fail_before_response
        caller = await connect(entry)
        await caller.send('/lookup/1')
        got = await caller.read_response()
        assert (got.status, got.complete, got.code) == (500, True, Code.internal)
        record = log_records(caplog, 'request failed inside').pop()
        assert (record['error'], record['request']) == ('ValueError', got.attempt)
        entry.frontend.serve = serve
        assert (await send_request(entry, '/lookup/1')).status == 200

    run(body, ONE_OF_EACH)


def test_internal_error_within_a_stream_cuts_it_off_and_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(site: DirectSite) -> None:
        site.entries[0].frontend.serve = fail_within_response
        caller = await connect(site.entries[0])
        await caller.send('/lookup/1')
        got = await caller.read_response()
        assert (got.status, got.complete) == (200, False)
        records = log_records(caplog, 'request failed inside')
        assert [record['error'] for record in records] == ['ValueError']

    run(body, ONE_OF_EACH)


def test_error_response_to_a_head_request_is_complete() -> None:
    async def body(site: DirectSite) -> None:
        caller = await connect(site.entries[0])
        await caller.send('/elsewhere/1', method='HEAD')
        got = await caller.read_response()
        assert (got.status, got.complete, got.body) == (404, True, b'')

    run(body, ONE_OF_EACH)


async def check_refused(site: DirectSite, caller: SlowCaller, **expected: object) -> None:
    got = await caller.read_response()
    document = json.loads(got.body)
    summary = {'status': got.status, 'complete': got.complete, 'code': document['code']}
    assert summary == {'complete': True, **expected}
    assert document['ran'] == 'no'
    assert got.headers['connection'] == 'close'
    assert (await send_request(site.entries[0], '/lookup/1')).status == 200


def test_too_large_header_gets_an_error_response(caplog: pytest.LogCaptureFixture) -> None:
    async def body(site: DirectSite) -> None:
        caller = await connect(site.entries[0])
        await caller.send(f'/lookup/1?{"x" * MAX_HEADER_BYTES}')
        await check_refused(site, caller, status=431, code=Code.header_too_large)
        record = log_records(caplog, 'request failed').pop()
        assert (record['code'], record['request']) == (Code.header_too_large, caller.got.attempt)

    run(body, ONE_OF_EACH)


def test_too_large_content_length_gets_an_error_response_before_the_body(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(site: DirectSite) -> None:
        caller = await connect(site.entries[0])
        await caller.send('/order/1', body=b'x' * (MAX_BODY_BYTES + 1))
        await check_refused(site, caller, status=413, code=Code.body_too_large)
        record = log_records(caplog, 'request failed').pop()
        assert (record['code'], record['request']) == (Code.body_too_large, caller.got.attempt)

    run(body, ONE_OF_EACH)


def test_too_large_chunked_body_gets_an_error_response_while_it_is_sent() -> None:
    async def body(site: DirectSite) -> None:
        site.entries[0].frontend.max_body_bytes = 1000
        caller = await connect(site.entries[0])
        await caller.send('/order/1', method='POST', body=b'x' * 4000, chunked=True)
        await check_refused(site, caller, status=413, code=Code.body_too_large)

    run(body, ONE_OF_EACH)


def test_bodies_beyond_the_total_buffer_are_refused_until_others_are_discarded() -> None:
    # Only the size of each single body used to be limited, and a host of an entry may have just
    # 200 MB of memory.
    async def body(site: DirectSite) -> None:
        frontend = site.entries[0].frontend
        frontend.request_buffer_bytes = 60_000
        slow = await connect(site.entries[0])
        await slow.send('/order/1', body=bytes(100_000))
        await wait_until(lambda: frontend.body_bytes == 50_000)
        caller = await send_complete(site, bytes(90_000))
        await check_refused(site, caller, status=503, code=Code.overloaded)
        assert (await (await send_complete(site, bytes(30_000))).read_response()).status == 200
        slow.writer.close()
        await wait_until(lambda: not frontend.body_bytes)
        assert (await (await send_complete(site, bytes(90_000))).read_response()).status == 200
        assert not frontend.body_bytes

    run(body, ONE_OF_EACH)


async def send_complete(site: DirectSite, content: bytes) -> SlowCaller:
    caller = await connect(site.entries[0])
    await caller.send('/order/1', body=content)
    caller.send_second_half(content)
    return caller


def test_caller_that_expects_to_continue_gets_the_refusal_only() -> None:
    async def body(site: DirectSite) -> None:
        callers = site.entries[0].settings.callers
        reader, writer = await asyncio.open_connection(callers.address, callers.port)
        writer.write(
            b'POST /order/1 HTTP/1.1\r\nHost: menus.example\r\nX-Cassiahitch-Attempt-Id: e1\r\n'
            b'Expect: 100-continue\r\nContent-Length: 99999999999\r\n\r\n'
        )
        response = await reader.read()
        assert response.startswith(b'HTTP/1.1 413 ')
        assert response.count(b'HTTP/1.1') == 1
        writer.close()

    run(body, ONE_OF_EACH)


@pytest.mark.parametrize(
    'data',
    [
        b'no protocol at all\r\n\r\n',
        b'GET / HTTP/1.1\r\nbroken header\r\n\r\n',
        b'POST /order/1 HTTP/1.1\r\nHost: a\r\nContent-Length: many\r\n\r\n',
        b'POST /order/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
    ],
)
def test_malformed_request_gets_an_error_code(
    caplog: pytest.LogCaptureFixture, data: bytes
) -> None:
    async def body(site: DirectSite) -> None:
        callers = site.entries[0].settings.callers
        reader, writer = await asyncio.open_connection(callers.address, callers.port)
        writer.write(data)
        head, _, document = (await reader.read()).partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 400 Bad Request\r\n')
        assert f'Content-Length: {len(document)}'.encode() in head
        assert json.loads(document)['code'] == Code.bad_request
        assert log_records(caplog, 'request failed').pop()['code'] == Code.bad_request
        writer.close()

    run(body, ONE_OF_EACH)
