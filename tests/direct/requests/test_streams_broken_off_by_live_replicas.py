"""A replica that goes on serving may break a stream off right after an event.

They guard against streams that are framed as complete and are not, and against sound ones that are
taken for broken off: only a shown end of the rest proves that a stream is whole, and services that
never show an end are known by that.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum

import pytest
from direct_callers import CallerResponse, run_site_in_virtual_time, send_request
from scripted_replicas import (
    EVENT_TYPE,
    ONCE_STREAM_PREFIX,
    SEAL,
    Framing,
    ScriptedRequest,
    add_once_stream_route,
    events,
    head,
    serve_script,
    write_stream,
)

from cassiahitch.direct.backends.endhistory import MIN_EMPTY_RESTS, MIN_OBSERVATION_S, SUSPICION_S
from cassiahitch.standins.directsite import DirectSite

RESUMABLE_PATH = '/draft/1'
ONCE_PATH = f'{ONCE_STREAM_PREFIX}1'
EVENTS = 4
KEPT = 2
#: Streams of the same entry that show their end, so that each replica has sent one.
FRAMED_REQUESTS = 8
#: Longer than the entry waits for the rest of a stream that may be complete, in seconds.
SILENCE_S = 5


class Rest(StrEnum):
    """What another replica responds when it is asked for the rest of a stream."""

    events = 'events'
    part = 'part'
    chunks = 'chunks'
    connection = 'connection'
    error = 'error'
    silence = 'silence'


async def write_rest(request: ScriptedRequest, rest: Rest) -> None:
    """Respond to a request for the events after the last one of a stream."""
    lines = (request.attempt_line, SEAL, EVENT_TYPE)
    further = events(request.last_event_id + 1, EVENTS)
    match rest:
        case Rest.events:
            write_stream(request, further, Framing.chunks)
        case Rest.part:
            request.write(head('200 OK', *lines), further[:5])
            await request.settle()
            request.reset()
        case Rest.chunks:
            write_stream(request, b'', Framing.chunks)
        case Rest.connection:
            write_stream(request, b'', Framing.connection)
        case Rest.error:
            request.write(head('404 Not Found', *lines, 'Content-Length: 0'))
        case Rest.silence:
            await asyncio.sleep(SILENCE_S)


def request_streams(path: str, rest: Rest) -> tuple[CallerResponse, int]:
    """Return a stream that ends with its connection after an event, and how often it was sent.

    The replicas have sent streams with chunks before.
    """
    results: list[tuple[CallerResponse, int]] = []

    async def body(site: DirectSite) -> None:
        is_framed = True
        sent = 0

        async def script(request: ScriptedRequest) -> None:
            nonlocal sent
            if is_framed:
                write_stream(request, events(1, EVENTS), Framing.chunks)
                return
            sent += 1
            if sent == 1:
                write_stream(request, events(1, KEPT), Framing.connection)
            else:
                await write_rest(request, rest)

        await add_once_stream_route(site)
        async with serve_script(site.entries[0], script):
            requests = (send_request(site.entries[0], path) for _ in range(FRAMED_REQUESTS))
            await asyncio.gather(*requests)
            is_framed = False
            results.append((await send_request(site.entries[0], path), sent))

    run_site_in_virtual_time(body)
    return results[0]


def test_stream_that_a_live_replica_breaks_off_after_an_event_is_resumed() -> None:
    got, sent = request_streams(RESUMABLE_PATH, Rest.events)
    assert (got.status, got.complete, got.body) == (200, True, events(1, EVENTS))
    assert sent == 2


def test_stream_whose_rest_breaks_off_within_its_first_event_is_not_completed() -> None:
    got, _ = request_streams(RESUMABLE_PATH, Rest.part)
    assert (got.status, got.complete, got.body) == (200, False, events(1, KEPT))


def test_stream_without_a_rest_is_complete_if_its_end_is_shown() -> None:
    got, sent = request_streams(RESUMABLE_PATH, Rest.chunks)
    assert (got.status, got.complete, got.body) == (200, True, events(1, KEPT))
    assert sent == 2


@pytest.mark.parametrize('rest', [Rest.connection, Rest.error, Rest.silence])
def test_stream_whose_end_no_replica_shows_is_not_completed(rest: Rest) -> None:
    got, sent = request_streams(RESUMABLE_PATH, rest)
    assert (got.status, got.complete, got.body) == (200, False, events(1, KEPT))
    assert got.shows_end
    assert sent == 2


def test_stream_that_may_not_be_resumed_ends_as_that_of_its_replica() -> None:
    got, sent = request_streams(ONCE_PATH, Rest.events)
    assert (got.status, got.body) == (200, events(1, KEPT))
    assert got.ended_as_replica_did
    assert sent == 1


@dataclass
class UnframedReplicas:
    """Replicas that never show the end of a stream; ``cut`` is what they send of the next one."""

    sent: int = 0
    cut: bytes = b''

    async def respond(self, request: ScriptedRequest) -> None:
        self.sent += 1
        body = self.cut or events(request.last_event_id + 1, EVENTS)
        self.cut = b''
        write_stream(request, body, Framing.connection)


async def observe(site: DirectSite) -> list[CallerResponse]:
    """Send requests until the entry knows that no replica shows the end of a stream."""
    got = [await send_request(site.entries[0], RESUMABLE_PATH) for _ in range(MIN_EMPTY_RESTS)]
    await asyncio.sleep(MIN_OBSERVATION_S)
    return got


def run_unframed(steps: list[bytes]) -> tuple[list[CallerResponse], list[int]]:
    """Return the streams after the observation, and how often each was sent.

    :param steps: what the replicas send of each stream first; all of it if empty.
    """
    results: list[CallerResponse] = []
    sent: list[int] = []

    async def body(site: DirectSite) -> None:
        replicas = UnframedReplicas()
        async with serve_script(site.entries[0], replicas.respond):
            for got in await observe(site):
                assert (got.complete, got.body) == (False, events(1, EVENTS))
            for cut in steps:
                before = replicas.sent
                replicas.cut = cut
                results.append(await send_request(site.entries[0], RESUMABLE_PATH))
                sent.append(replicas.sent - before)

    run_site_in_virtual_time(body)
    return results, sent


def test_service_that_never_shows_an_end_is_asked_no_more_after_a_while() -> None:
    got, sent = run_unframed([b'', b''])
    assert sent == [1, 1]
    assert all(stream.ended_as_replica_did for stream in got)
    assert {stream.body for stream in got} == {events(1, EVENTS)}


def test_service_that_broke_off_a_stream_is_asked_again() -> None:
    got, sent = run_unframed([events(1, 2)[:-1], b''])
    assert sent == [2, 2]
    assert not any(stream.complete or stream.ended_as_replica_did for stream in got)


def test_body_of_a_replica_that_broke_others_off_is_no_answer() -> None:
    results: list[CallerResponse] = []

    async def body(site: DirectSite) -> None:
        async def script(request: ScriptedRequest) -> None:
            request.write(head('200 OK', request.attempt_line, SEAL), b'body')
            if breaks_off:
                await request.settle()
                request.reset()
            else:
                request.close()

        async with serve_script(site.entries[0], script):
            breaks_off = True
            for _ in range(FRAMED_REQUESTS):
                await send_request(site.entries[0], '/order/1')
            breaks_off = False
            results.append(await send_request(site.entries[0], '/order/1'))
            await asyncio.sleep(SUSPICION_S)
            results.append(await send_request(site.entries[0], '/order/1'))

    run_site_in_virtual_time(body)
    suspected, trusted = results
    assert (suspected.status, suspected.complete) == (502, True)
    assert (trusted.status, trusted.body, trusted.ended_as_replica_did) == (200, b'body', True)
