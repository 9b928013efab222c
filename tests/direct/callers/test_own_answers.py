"""Failures beside the path of a request are answered with a numbered code and leave a line."""

from __future__ import annotations

import asyncio
import json

import pytest
from direct_callers import ask, run, until
from slow_callers import SlowCaller, connect

from cassiahitch.codes import Code
from cassiahitch.direct.callers.exchange import CallerExchange
from cassiahitch.direct.callers.limits import MAX_BODY_BYTES, MAX_HEADER_BYTES
from cassiahitch.standins.directsite import DirectSite, DirectSize

ONE = DirectSize(entries=1, models=1, plain=1)


async def fail_at_once(caller: CallerExchange) -> None:
    raise ValueError(caller.incoming.target)


async def fail_halfway(caller: CallerExchange) -> None:
    await caller.start_response(200, 'OK', ())
    await caller.write_body(b'id: 1\n\n')
    raise ValueError(caller.incoming.target)


def lines(caplog: pytest.LogCaptureFixture, message: str) -> list[dict[str, object]]:
    return [vars(one) for one in caplog.records if one.getMessage() == message]


def test_fault_inside_is_answered_and_leaves_a_line(caplog: pytest.LogCaptureFixture) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        serve = entry.frontend.serve
        entry.frontend.serve = fail_at_once
        caller = await connect(entry)
        await caller.send('/lookup/1')
        got = await caller.answer()
        assert (got.status, got.whole, got.code) == (500, True, Code.internal)
        line = lines(caplog, 'request failed inside').pop()
        assert (line['error'], line['request']) == ('ValueError', got.attempt)
        entry.frontend.serve = serve
        assert (await ask(entry, '/lookup/1')).status == 200

    run(body, ONE)


def test_fault_inside_a_stream_does_not_look_whole_and_leaves_a_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(site: DirectSite) -> None:
        site.entries[0].frontend.serve = fail_halfway
        caller = await connect(site.entries[0])
        await caller.send('/lookup/1')
        got = await caller.answer()
        assert (got.status, got.whole) == (200, False)
        found = lines(caplog, 'request failed inside')
        assert [line['error'] for line in found] == ['ValueError']

    run(body, ONE)


def test_failure_of_a_request_without_a_body_in_its_answer_is_whole() -> None:
    async def body(site: DirectSite) -> None:
        caller = await connect(site.entries[0])
        await caller.send('/elsewhere/1', method='HEAD')
        got = await caller.answer()
        assert (got.status, got.whole, got.body) == (404, True, b'')

    run(body, ONE)


async def refused(site: DirectSite, caller: SlowCaller, **expected: object) -> None:
    got = await caller.answer()
    document = json.loads(got.body)
    seen = {'status': got.status, 'whole': got.whole, 'code': document['code']}
    assert seen == {'whole': True, **expected}
    assert document['ran'] == 'no'
    assert got.headers['connection'] == 'close'
    assert (await ask(site.entries[0], '/lookup/1')).status == 200


def test_header_over_the_bound_is_answered(caplog: pytest.LogCaptureFixture) -> None:
    async def body(site: DirectSite) -> None:
        caller = await connect(site.entries[0])
        await caller.send(f'/lookup/1?{"x" * MAX_HEADER_BYTES}')
        await refused(site, caller, status=431, code=Code.header_too_large)
        line = lines(caplog, 'request failed').pop()
        assert (line['code'], line['request']) == (Code.header_too_large, caller.got.attempt)

    run(body, ONE)


def test_body_of_a_length_over_the_bound_is_answered_while_it_is_sent(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(site: DirectSite) -> None:
        caller = await connect(site.entries[0])
        await caller.send('/order/1', body=b'x' * (MAX_BODY_BYTES + 1))
        await refused(site, caller, status=413, code=Code.body_too_large)
        line = lines(caplog, 'request failed').pop()
        assert (line['code'], line['request']) == (Code.body_too_large, caller.got.attempt)

    run(body, ONE)


def test_body_in_chunks_over_the_bound_is_answered_while_it_is_sent() -> None:
    async def body(site: DirectSite) -> None:
        site.entries[0].frontend.max_body_bytes = 1000
        caller = await connect(site.entries[0])
        await caller.send('/order/1', method='POST', body=b'x' * 4000, chunked=True)
        await refused(site, caller, status=413, code=Code.body_too_large)

    run(body, ONE)


def test_bodies_beyond_what_is_held_of_all_are_refused_and_room_comes_back() -> None:
    # Bodies were bounded one by one only, and a host of entries may have 200 MB.
    async def body(site: DirectSite) -> None:
        frontend = site.entries[0].frontend
        frontend.request_buffer_bytes = 60_000
        slow = await connect(site.entries[0])
        await slow.send('/order/1', body=bytes(100_000))
        await until(lambda: frontend.body_bytes == 50_000)
        caller = await send_whole(site, bytes(90_000))
        await refused(site, caller, status=503, code=Code.overloaded)
        assert (await (await send_whole(site, bytes(30_000))).answer()).status == 200
        slow.writer.close()
        await until(lambda: not frontend.body_bytes)
        assert (await (await send_whole(site, bytes(90_000))).answer()).status == 200
        assert not frontend.body_bytes

    run(body, ONE)


async def send_whole(site: DirectSite, content: bytes) -> SlowCaller:
    caller = await connect(site.entries[0])
    await caller.send('/order/1', body=content)
    caller.send_rest(content)
    return caller


def test_caller_that_waits_to_be_told_to_send_its_body_is_only_refused() -> None:
    async def body(site: DirectSite) -> None:
        callers = site.entries[0].settings.callers
        reader, writer = await asyncio.open_connection(callers.address, callers.port)
        writer.write(
            b'POST /order/1 HTTP/1.1\r\nHost: menus.example\r\nX-Cassiahitch-Attempt-Id: e1\r\n'
            b'Expect: 100-continue\r\nContent-Length: 99999999999\r\n\r\n'
        )
        answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 413 ')
        assert answer.count(b'HTTP/1.1') == 1
        writer.close()

    run(body, ONE)


@pytest.mark.parametrize(
    'data',
    [
        b'no protocol at all\r\n\r\n',
        b'GET / HTTP/1.1\r\nbroken header\r\n\r\n',
        b'POST /order/1 HTTP/1.1\r\nHost: a\r\nContent-Length: many\r\n\r\n',
        b'POST /order/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
    ],
)
def test_request_that_breaks_the_protocol_gets_a_numbered_code(
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
        assert lines(caplog, 'request failed').pop()['code'] == Code.bad_request
        writer.close()

    run(body, ONE)
