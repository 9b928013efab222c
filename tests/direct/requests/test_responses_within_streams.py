"""Once a stream has begun, its caller gets nothing but further events of it."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import pytest
from direct_callers import CallerResponse, run_site_in_virtual_time, send_request
from scripted_replicas import (
    CHUNKED,
    EVENT_TYPE,
    LAST_CHUNK,
    ONCE_STREAM_PREFIX,
    SEAL,
    Script,
    ScriptedRequest,
    add_once_stream_route,
    chunk,
    event,
    events,
    head,
    response,
    serve_script,
)
from sent_requests import HEAD

from cassiahitch.direct.api import Answered, Call
from cassiahitch.direct.backends.attempt import AttemptSender
from cassiahitch.direct.backends.events import EventSplitter
from cassiahitch.direct.backends.streamstate import StreamState
from cassiahitch.direct.placement.assignments import Assignment
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize

ONE_ENGINE = DirectSiteSize(entries=1, models=1, plain=1)
THREE_ENGINES = DirectSiteSize(entries=1, models=3, plain=1)
MS_PER_S = 1000
DEADLINE_MS = 1600
RESUMABLE_PATH = '/draft/1'
#: Events of a complete stream, and those before it breaks off.
EVENTS = 5
FIRST_EVENTS = 2
TEXT = b'no part of a stream\n\n'
LARGE_TEXT = b'no part of a stream\n\n' * 50_000
#: Status, body and headers of a response.
Reply = tuple[str, bytes, tuple[str, ...]]
#: Responses that do not continue a stream.
OTHER_RESPONSES: dict[str, Reply] = {
    'failure': ('500 Failed', TEXT, (SEAL,)),
    'unsealed failure': ('500 Failed', TEXT, ()),
    'timeout': ('504 Timeout', TEXT, (SEAL,)),
    'rejection': ('400 Bad Request', TEXT, (SEAL,)),
    'large rejection': ('400 Bad Request', LARGE_TEXT, (SEAL,)),
    'redirect': ('302 Found', TEXT, (SEAL, 'Location: /elsewhere')),
    'large redirect': ('302 Found', LARGE_TEXT, (SEAL,)),
    'no content': ('204 No Content', b'', (SEAL,)),
    'other success': ('201 Created', TEXT, (SEAL, EVENT_TYPE)),
    'other type': ('200 OK', TEXT, (SEAL, 'Content-Type: text/plain')),
    'unsealed success': ('200 OK', TEXT, (EVENT_TYPE,)),
    'encoded success': ('200 OK', TEXT, (SEAL, EVENT_TYPE, 'Content-Encoding: gzip')),
    'promise without a header': ('503 Busy', TEXT, (SEAL,)),
}


def start_stream(request: ScriptedRequest) -> None:
    request.write(head('200 OK', request.attempt_line, SEAL, EVENT_TYPE, CHUNKED))


def write_rest(request: ScriptedRequest, last: int = EVENTS) -> None:
    start_stream(request)
    for number in range(request.last_event_id + 1, last + 1):
        request.write(chunk(event(number)))


def broken_stream_then(*replies: Reply) -> Script:
    """Return a script: a stream that breaks off, the given replies, then the rest of it."""

    async def script(request: ScriptedRequest) -> None:
        if request.sent_count == 1:
            write_rest(request, FIRST_EVENTS)
            await request.writer.drain()
            request.close()
        elif request.sent_count <= len(replies) + 1:
            status, body, headers = replies[request.sent_count - 2]
            request.write(response(status, body, request.attempt_line, *headers))
        else:
            write_rest(request)
            request.write(LAST_CHUNK)

    return script


def raise_unexpected(*_: object) -> bytes:
    raise ValueError


async def allow_attempts(site: DirectSite, count: int) -> None:
    routes = [{**route, 'maxAttempts': count} for route in site.configuration['routes']]
    site.update_configuration(routes=routes)
    await add_once_stream_route(site)


def assert_complete(got: CallerResponse) -> None:
    assert (got.status, got.complete) == (200, True)
    assert got.body == events(1, EVENTS)


def assert_broken_off(got: CallerResponse, event_count: int) -> None:
    assert (got.status, got.complete) == (200, False)
    assert got.body == events(1, event_count)


@pytest.mark.parametrize('kind', OTHER_RESPONSES)
def test_stream_is_broken_off_if_the_next_replica_does_not_continue_it(kind: str) -> None:
    async def body(site: DirectSite) -> None:
        script = broken_stream_then(OTHER_RESPONSES[kind])
        async with serve_script(site.entries[0], script) as server:
            got = await send_request(site.entries[0], RESUMABLE_PATH)
        assert server.sent_counts[got.attempt] == 2
        assert_broken_off(got, FIRST_EVENTS)

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('kind', OTHER_RESPONSES)
def test_stream_is_continued_by_a_further_replica_after_one_that_does_not(kind: str) -> None:
    async def body(site: DirectSite) -> None:
        await allow_attempts(site, 3)
        script = broken_stream_then(OTHER_RESPONSES[kind])
        async with serve_script(site.entries[0], script) as server:
            got = await send_request(site.entries[0], RESUMABLE_PATH)
        assert server.sent_counts[got.attempt] == 3
        assert_complete(got)

    run_site_in_virtual_time(body, THREE_ENGINES)


def test_stream_that_may_not_be_resumed_is_broken_off() -> None:
    async def body(site: DirectSite) -> None:
        await allow_attempts(site, 2)
        script = broken_stream_then()
        async with serve_script(site.entries[0], script) as server:
            got = await send_request(site.entries[0], f'{ONCE_STREAM_PREFIX}1')
        assert server.sent_counts[got.attempt] == 1
        assert_broken_off(got, FIRST_EVENTS)

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('end', ['deadline', 'shutdown', 'internal error'])
def test_stream_gets_no_error_response_at_its_end(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def script(request: ScriptedRequest) -> None:
        write_rest(request, FIRST_EVENTS)
        await asyncio.sleep(DEADLINE_MS / MS_PER_S / 2)
        request.write(chunk(event(FIRST_EVENTS + 1)))
        await asyncio.sleep(DEADLINE_MS / MS_PER_S)

    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        async with serve_script(entry, script):
            request_task = asyncio.create_task(
                send_request(entry, RESUMABLE_PATH, deadline_ms=DEADLINE_MS)
            )
            await asyncio.sleep(DEADLINE_MS / MS_PER_S / 4)
            if end == 'shutdown':
                entry.frontend.closing = True
                entry.frontend.abandon()
            if end == 'internal error':
                monkeypatch.setattr(EventSplitter, 'feed', raise_unexpected)
            got = await request_task
        assert_broken_off(got, FIRST_EVENTS + (end != 'internal error'))

    run_site_in_virtual_time(body, ONE_ENGINE)


def test_second_response_is_not_written_into_a_started_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def start_and_answer(
        _: object, _call: Call, _assignment: Assignment, stream: StreamState, *_others: object
    ) -> Answered:
        await stream.caller.start_response(HTTPStatus.OK, 'OK', ())
        await stream.caller.write_body(event(1))
        return Answered(HEAD, TEXT)

    async def body(site: DirectSite) -> None:
        monkeypatch.setattr(AttemptSender, 'send', start_and_answer)
        got = await send_request(site.entries[0], '/order/1')
        assert_broken_off(got, 1)

    run_site_in_virtual_time(body)
