"""A stream without a length or chunks that a live replica breaks off must not look complete.

They guard against short streams with a proper end: no evidence of the end is no evidence that the
stream is whole, also where the question for the rest fails or can not be asked.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum

import pytest
from direct_callers import CallerResponse, run_site_in_virtual_time, send_request
from scripted_replicas import (
    EVENT_TYPE,
    NOT_RUN,
    SEAL,
    Framing,
    ScriptedRequest,
    events,
    head,
    serve_script,
    write_stream,
)

from cassiahitch.standins.directsite import DirectSite

PATH = '/draft/1'
EVENTS = 6
KEPT = 2
WHOLE = events(1, EVENTS)
#: Whole streams before the one that is broken off, so that each replica has sent some.
EARLIER_REQUESTS = 8
AT_ONCE = 40
#: Longer than a caller of the test waits, in seconds.
SILENCE_S = 10


class History(StrEnum):
    """The streams that the entry has seen before."""

    none = 'none'
    framed = 'framed'
    unframed = 'unframed'


class Rest(StrEnum):
    """What another replica responds when it is asked for the rest of a stream."""

    part = 'part'
    connection = 'connection'
    error = 'error'
    refusal = 'refusal'
    silence = 'silence'
    reset = 'reset'


def lines(request: ScriptedRequest) -> tuple[str, ...]:
    return (request.attempt_line, SEAL, EVENT_TYPE)


async def write_rest(request: ScriptedRequest, rest: Rest) -> None:
    """Respond to a request for the events after the last one of a stream, and prove nothing."""
    match rest:
        case Rest.part:
            write_stream(request, events(request.last_event_id + 1, 4), Framing.connection)
        case Rest.connection:
            write_stream(request, b'', Framing.connection)
        case Rest.error:
            request.write(head('500 Internal Server Error', *lines(request), 'Content-Length: 0'))
        case Rest.refusal:
            refused = ('503 Service Unavailable', *lines(request), NOT_RUN, 'Content-Length: 0')
            request.write(head(*refused))
        case Rest.silence:
            await asyncio.sleep(SILENCE_S)
        case Rest.reset:
            request.reset()


def write_whole(request: ScriptedRequest, framing: Framing) -> None:
    """Send all events after those that the caller has."""
    write_stream(request, events(request.last_event_id + 1, EVENTS), framing)


def break_off(request: ScriptedRequest) -> None:
    write_stream(request, events(1, KEPT), Framing.connection)


def request_streams(history: History, rest: Rest | None, count: int = 1) -> list[CallerResponse]:
    """Return streams that live replicas break off after an event.

    The next send of each gets its whole rest if ``rest`` is none.
    """
    got: list[CallerResponse] = []

    async def body(site: DirectSite) -> None:
        is_earlier = True

        async def script(request: ScriptedRequest) -> None:
            if is_earlier:
                is_framed = history is History.framed
                write_whole(request, Framing.chunks if is_framed else Framing.connection)
            elif request.sent_count == 1:
                break_off(request)
            elif rest is None:
                write_whole(request, Framing.chunks)
            else:
                await write_rest(request, rest)

        async with serve_script(site.entries[0], script):
            if history is not History.none:
                for _ in range(EARLIER_REQUESTS):
                    await send_request(site.entries[0], PATH)
            is_earlier = False
            requests = (send_request(site.entries[0], PATH) for _ in range(count))
            got.extend(await asyncio.gather(*requests))

    run_site_in_virtual_time(body)
    return got


def is_short_but_complete(got: CallerResponse) -> bool:
    """Return whether a caller takes a short stream for a whole one."""
    looks_whole = got.complete or (got.status == 200 and got.ended_as_replica_did)
    return looks_whole and got.body != WHOLE


@pytest.mark.parametrize('history', History)
@pytest.mark.parametrize('rest', Rest)
def test_stream_whose_rest_is_not_shown_is_not_completed(history: History, rest: Rest) -> None:
    got = request_streams(history, rest)[0]
    assert WHOLE.startswith(got.body)
    assert not is_short_but_complete(got)


@pytest.mark.parametrize('history', History)
def test_stream_whose_rest_is_shown_is_whole(history: History) -> None:
    got = request_streams(history, None)[0]
    assert (got.status, got.complete, got.body) == (200, True, WHOLE)


@pytest.mark.parametrize('history', History)
@pytest.mark.parametrize('rest', Rest)
def test_streams_broken_off_at_once_are_not_completed(history: History, rest: Rest) -> None:
    got = request_streams(history, rest, AT_ONCE)
    assert len(got) == AT_ONCE
    assert not any(is_short_but_complete(stream) for stream in got)


def test_stream_that_can_not_be_asked_on_is_not_completed() -> None:
    results: list[CallerResponse] = []

    async def body(site: DirectSite) -> None:
        async def script(request: ScriptedRequest) -> None:
            break_off(request)

        async with serve_script(site.entries[0], script):
            budget = site.entries[0].parts.runner.budget
            budget.ratio = 0
            budget.slack = 0
            results.append(await send_request(site.entries[0], PATH))

    run_site_in_virtual_time(body)
    assert not is_short_but_complete(results[0])
    assert results[0].body == events(1, KEPT)


def test_sound_streams_beside_broken_off_ones_are_whole() -> None:
    results: list[CallerResponse] = []

    async def body(site: DirectSite) -> None:
        sent: set[str] = set()

        async def script(request: ScriptedRequest) -> None:
            sent.add(request.attempt)
            is_broken_off = int(request.attempt[1:]) % 2 == 1
            if request.sent_count > 1:
                write_whole(request, Framing.chunks)
            elif is_broken_off:
                break_off(request)
            else:
                write_whole(request, Framing.connection)

        async with serve_script(site.entries[0], script):
            requests = (send_request(site.entries[0], PATH) for _ in range(AT_ONCE))
            results.extend(await asyncio.gather(*requests))

    run_site_in_virtual_time(body)
    assert not any(is_short_but_complete(got) for got in results)
    whole = [got for got in results if got.complete and got.status == 200]
    assert whole
    assert {got.body for got in whole} == {WHOLE}
