"""Once a stream has begun, its caller gets nothing but further events of it."""

from __future__ import annotations

import pytest
from direct_callers import CallerResponse, run_site_in_virtual_time, send_request
from scripted_replicas import (
    CHUNKED,
    LAST_CHUNK,
    SEAL,
    Script,
    ScriptedRequest,
    chunk,
    event,
    head,
    response,
    serve_script,
)

from cassiahitch.standins.directsite import DirectSite

RESUMABLE_PATH = '/draft/1'
EVENT_TYPE = 'Content-Type: text/event-stream'
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


def assert_broken_off(got: CallerResponse, events: int) -> None:
    assert (got.status, got.complete) == (200, False)
    assert got.body == b''.join(event(number) for number in range(1, events + 1))


@pytest.mark.parametrize('kind', OTHER_RESPONSES)
def test_stream_is_broken_off_if_the_next_replica_does_not_continue_it(kind: str) -> None:
    async def body(site: DirectSite) -> None:
        script = broken_stream_then(OTHER_RESPONSES[kind])
        async with serve_script(site.entries[0], script) as server:
            got = await send_request(site.entries[0], RESUMABLE_PATH)
        assert server.sent_counts[got.attempt] == 2
        assert_broken_off(got, FIRST_EVENTS)

    run_site_in_virtual_time(body)
