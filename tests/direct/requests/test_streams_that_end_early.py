"""A stream that ends inside an event has been broken off, however its response is framed."""

from __future__ import annotations

import asyncio
from enum import StrEnum

import pytest
from direct_callers import CallerResponse, run_site_in_virtual_time, send_request
from scripted_replicas import (
    EVENT_TYPE,
    ONCE_STREAM_PREFIX,
    SEAL,
    Framing,
    Script,
    ScriptedRequest,
    add_once_stream_route,
    event,
    events,
    head,
    serve_script,
    write_stream,
)

from cassiahitch.standins.directsite import DirectSite

RESUMABLE_PATH = '/draft/1'
ONCE_PATH = f'{ONCE_STREAM_PREFIX}1'
EVENTS = 4
COMMENT = b': still here\n\n'
#: Longer than an engine may be silent before the stream is resumed elsewhere, in seconds.
STALL_S = 10


class End(StrEnum):
    """How a stream is interrupted."""

    reset = 'reset'
    silence = 'silence'


def shown(framing: Framing) -> Framing:
    """Return a framing that shows the end of a response, the given one if it does."""
    return Framing.chunks if framing is Framing.connection else framing


def events_after(request: ScriptedRequest) -> bytes:
    return events(request.last_event_id + 1, EVENTS)


def cut_first_stream(framing: Framing, body: bytes) -> Script:
    """Return a script: a stream with the given body, and the rest of it when it is sent again."""

    async def script(request: ScriptedRequest) -> None:
        if request.sent_count == 1:
            write_stream(request, body, framing)
        else:
            write_stream(request, events_after(request), shown(framing))

    return script


async def request_stream(site: DirectSite, path: str, script: Script) -> CallerResponse:
    await add_once_stream_route(site)
    async with serve_script(site.entries[0], script):
        return await send_request(site.entries[0], path)


@pytest.mark.parametrize('framing', list(Framing))
@pytest.mark.parametrize('whole_events', [0, 2])
def test_stream_that_ends_inside_an_event_is_resumed(whole_events: int, framing: Framing) -> None:
    async def body(site: DirectSite) -> None:
        cut = events(1, whole_events) + event(whole_events + 1)[:-1]
        got = await request_stream(site, RESUMABLE_PATH, cut_first_stream(framing, cut))
        assert (got.status, got.complete) == (200, True)
        assert got.body == events(1, EVENTS)

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('framing', list(Framing))
@pytest.mark.parametrize('whole_events', [0, 2])
def test_stream_that_ends_inside_an_event_is_not_completed(
    whole_events: int, framing: Framing
) -> None:
    async def body(site: DirectSite) -> None:
        cut = events(1, whole_events) + event(whole_events + 1)[:-1]
        got = await request_stream(site, ONCE_PATH, cut_first_stream(framing, cut))
        if whole_events:
            assert (got.status, got.complete) == (200, False)
            assert got.body == events(1, whole_events)
        else:
            assert (got.status, got.complete) == (502, True)

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('framing', list(Framing))
@pytest.mark.parametrize('path', [RESUMABLE_PATH, ONCE_PATH])
@pytest.mark.parametrize('cut', [1, 2, 3])
def test_stream_that_ends_within_the_line_ends_after_an_event_is_broken_off(
    cut: int, path: str, framing: Framing
) -> None:
    content = events(1, EVENTS).replace(b'\n', b'\r\n')
    kept = events(1, 2).replace(b'\n', b'\r\n')

    async def script(request: ScriptedRequest) -> None:
        if request.sent_count == 1:
            write_stream(request, events(1, 3).replace(b'\n', b'\r\n')[:-cut], framing)
        else:
            rest = events_after(request).replace(b'\n', b'\r\n')
            write_stream(request, rest, shown(framing))

    async def body(site: DirectSite) -> None:
        got = await request_stream(site, path, script)
        expected_body = content if path == RESUMABLE_PATH else kept
        assert (got.status, got.complete) == (200, path == RESUMABLE_PATH)
        assert got.body == expected_body

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('framing', list(Framing))
@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
@pytest.mark.parametrize('rest', [b'', b'\n', b'\r\n'], ids=['end', 'LF', 'CRLF'])
def test_stream_that_ends_after_an_event_is_complete(
    rest: bytes, line_end: bytes, framing: Framing
) -> None:
    async def body(site: DirectSite) -> None:
        content = events(1, EVENTS).replace(b'\n', line_end) + rest
        got = await request_stream(site, ONCE_PATH, cut_first_stream(framing, content))
        assert (got.status, got.body) == (200, content)
        ends_as_replica_did = framing is Framing.connection
        assert (got.complete, got.ended_as_replica_did) == (
            not ends_as_replica_did,
            ends_as_replica_did,
        )

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('blank', [b'\n\r\n', b'\r\n\n', b'\r\r\n', b'\n\r'])
def test_line_ends_of_several_kinds_end_an_event(blank: bytes) -> None:
    async def body(site: DirectSite) -> None:
        content = b'id: 1\ndata: x%b' % blank
        script = cut_first_stream(Framing.chunks, content)
        got = await request_stream(site, RESUMABLE_PATH, script)
        assert (got.status, got.complete, got.body) == (200, True, content)

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('path', [RESUMABLE_PATH, ONCE_PATH])
def test_stream_that_ends_with_its_connection_before_any_event_is_no_answer(path: str) -> None:
    async def body(site: DirectSite) -> None:
        got = await request_stream(site, path, cut_first_stream(Framing.connection, b''))
        if path == ONCE_PATH:
            assert (got.status, got.complete) == (502, True)
        else:
            assert (got.status, got.complete, got.body) == (200, True, events(1, EVENTS))

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('framing', [Framing.chunks, Framing.length])
@pytest.mark.parametrize('path', [RESUMABLE_PATH, ONCE_PATH])
def test_stream_without_events_is_complete_if_its_length_shows_it(
    path: str, framing: Framing
) -> None:
    async def body(site: DirectSite) -> None:
        got = await request_stream(site, path, cut_first_stream(framing, b''))
        assert (got.status, got.complete, got.body) == (200, True, b'')

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('path', [RESUMABLE_PATH, ONCE_PATH])
def test_reset_of_the_connection_is_no_end_of_a_stream(path: str) -> None:
    async def script(request: ScriptedRequest) -> None:
        lines = (request.attempt_line, SEAL, EVENT_TYPE)
        if request.sent_count == 1:
            request.write(head('200 OK', *lines), events(1, 2))
            await request.settle()
            request.reset()
        else:
            write_stream(request, events_after(request), Framing.chunks)

    async def body(site: DirectSite) -> None:
        got = await request_stream(site, path, script)
        expected_events = 2 if path == ONCE_PATH else EVENTS
        assert (got.status, got.complete) == (200, path == RESUMABLE_PATH)
        assert got.body == events(1, expected_events)

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('ends_regularly', [True, False])
@pytest.mark.parametrize('path', ['/lookup/1', '/order/1'])
def test_body_without_a_length_ends_as_it_did_unless_its_connection_is_reset(
    path: str, *, ends_regularly: bool
) -> None:
    async def script(request: ScriptedRequest) -> None:
        request.write(head('200 OK', request.attempt_line, SEAL), b'whole body')
        await request.settle()
        if ends_regularly or request.sent_count > 1:
            request.close()
        else:
            request.reset()

    async def body(site: DirectSite) -> None:
        got = await request_stream(site, path, script)
        if ends_regularly or path == '/lookup/1':
            assert (got.status, got.body) == (200, b'whole body')
            assert got.ended_as_replica_did
        else:
            assert (got.status, got.complete) == (502, True)

    run_site_in_virtual_time(body)


@pytest.mark.parametrize(
    'last_event', [b'data: no id\n\n', b'id:\ndata: no id\n\n'], ids=['no id', 'empty id']
)
@pytest.mark.parametrize('whole_events', [0, 2])
@pytest.mark.parametrize('end', list(End))
def test_stream_is_not_resumed_after_an_event_without_an_id(
    end: End, whole_events: int, last_event: bytes
) -> None:
    content = events(1, whole_events) + last_event

    async def script(request: ScriptedRequest) -> None:
        if request.sent_count > 1:
            write_stream(request, events_after(request), Framing.chunks)
            return
        request.write(head('200 OK', request.attempt_line, SEAL, EVENT_TYPE), content)
        await request.settle()
        if end is End.reset:
            request.reset()
        else:
            await asyncio.sleep(STALL_S)

    async def body(site: DirectSite) -> None:
        got = await request_stream(site, RESUMABLE_PATH, script)
        assert (got.status, got.complete, got.body) == (200, False, content)

    run_site_in_virtual_time(body)


def test_comment_without_an_id_does_not_prevent_that_a_stream_is_resumed() -> None:
    async def body(site: DirectSite) -> None:
        content = events(1, 2) + COMMENT
        script = cut_first_stream(Framing.chunks, content + event(3)[:-1])
        got = await request_stream(site, RESUMABLE_PATH, script)
        assert (got.status, got.complete) == (200, True)
        assert got.body == content + event(3) + event(4)

    run_site_in_virtual_time(body)
