"""A refusal of an earlier request that arrives once more says nothing about a later request."""

from __future__ import annotations

import asyncio

import pytest
from direct_callers import CallerResponse, run_site_in_virtual_time, send_request
from scripted_replicas import (
    ATTEMPT_HEADER,
    CHUNKED,
    LAST_CHUNK,
    NOT_RUN,
    ONCE_STREAM_PREFIX,
    SEAL,
    ScriptedRequest,
    add_once_stream_route,
    chunk,
    event,
    head,
    response,
    serve_script,
)

from cassiahitch.direct.entry import DirectEntry
from cassiahitch.standins.directsite import DirectSite

PATHS = ('/lookup/1', '/order/1', '/draft/1', f'{ONCE_STREAM_PREFIX}1')
#: Paths of requests that must not run twice.
ONCE_PATHS = ('/order/1', f'{ONCE_STREAM_PREFIX}1')
REFUSAL_STATUSES = ('503 Busy', '429 Too Many Requests', '421 Misdirected', '400 Bad Request')
#: Time from the refusal of an earlier request to the response, in seconds.
RUN_S = 0.05
REQUESTS = 6


def refusal(status: str, attempt: str = '') -> bytes:
    lines = (f'{ATTEMPT_HEADER}: {attempt}',) if attempt else ()
    return response(status, b'', NOT_RUN, *lines)


def respond(request: ScriptedRequest) -> None:
    content = f'answer to {request.attempt}'.encode()
    if not request.path.startswith('/draft'):
        request.write(response('200 OK', content, request.attempt_line, SEAL))
        return
    request.write(head('200 OK', request.attempt_line, SEAL, CHUNKED))
    request.write(chunk(event(1)), chunk(b'id: 2\ndata: %b\n\n' % content), LAST_CHUNK)


def assert_answered(got: CallerResponse) -> None:
    assert (got.status, got.complete) == (200, True)
    assert f'answer to {got.attempt}'.encode() in got.body


async def send_under_id(entry: DirectEntry, path: str, attempt: str) -> CallerResponse:
    headers = {ATTEMPT_HEADER: attempt.encode()}
    got = await send_request(entry, path, replaced_headers=headers)
    got.attempt = attempt
    return got


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('with_id', [False, True], ids=['without id', 'with its id'])
@pytest.mark.parametrize('status', REFUSAL_STATUSES)
def test_earlier_refusal_on_a_kept_connection_is_not_taken_for_the_next_request(
    status: str, path: str, *, with_id: bool
) -> None:
    async def body(site: DirectSite) -> None:
        repeated = 0

        async def script(request: ScriptedRequest) -> None:
            nonlocal repeated
            if request.earlier:
                repeated += 1
                request.write(refusal(status, request.earlier[-1] if with_id else ''))
                await asyncio.sleep(RUN_S)
            respond(request)

        await add_once_stream_route(site)
        async with serve_script(site.entries[0], script) as server:
            for _ in range(REQUESTS):
                assert_answered(await send_request(site.entries[0], path))
        assert repeated
        assert set(server.sent_counts.values()) == {1}

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('path', PATHS)
def test_earlier_refusal_is_not_taken_for_a_request_sent_again_under_its_id(path: str) -> None:
    async def body(site: DirectSite) -> None:
        refusing = True
        run_count = 0

        async def script(request: ScriptedRequest) -> None:
            nonlocal run_count
            if refusing:
                request.write(refusal('503 Busy', request.attempt))
                return
            run_count += 1
            if request.attempt in request.earlier:
                request.write(refusal('503 Busy', request.attempt))
                await asyncio.sleep(RUN_S)
            respond(request)

        await add_once_stream_route(site)
        async with serve_script(site.entries[0], script):
            refused = await send_under_id(site.entries[0], path, 'again')
            assert refused.status == 503
            refusing = False
            assert_answered(await send_under_id(site.entries[0], path, 'again'))
        assert run_count == 1

    run_site_in_virtual_time(body)


@pytest.mark.parametrize('closes', [False, True], ids=['open', 'closed'])
@pytest.mark.parametrize('path', ONCE_PATHS)
def test_refusal_without_an_id_is_no_promise_on_a_kept_connection(
    path: str, *, closes: bool
) -> None:
    async def body(site: DirectSite) -> None:
        async def script(request: ScriptedRequest) -> None:
            if not request.earlier:
                respond(request)
                return
            request.write(refusal('503 Busy'))
            if closes:
                request.close()

        await add_once_stream_route(site)
        async with serve_script(site.entries[0], script) as server:
            responses = [await send_request(site.entries[0], path) for _ in range(REQUESTS)]
        unknown = 502 if closes else 504
        assert {got.status for got in responses} == {200, unknown}
        assert set(server.sent_counts.values()) == {1}

    run_site_in_virtual_time(body)
