"""Endless responses of backend servers exhaust no memory and do not delay error responses."""

from __future__ import annotations

import asyncio

import pytest
from direct_callers import (
    SMALL_SITE,
    CallerResponse,
    run,
    run_site_in_virtual_time,
    send_request,
)
from endless import EndlessPart, release_free_memory, resident_bytes, serve_endless

from cassiahitch.codes import Code
from cassiahitch.standins.directsite import DirectSite

#: Number of concurrent requests.
REQUESTS = 6
#: Bytes that all of them may add to the memory of the process, of which the stand-in and callers,
#: which drop what they receive, have only their socket buffers.
MAX_ADDED_BYTES = 48 * 1024 * 1024
DEADLINE_MS = 700
#: Deadline of requests whose endless response is forwarded, in which more comes than may be kept.
FORWARDED_DEADLINE_MS = 1500
SAMPLE_S = 0.02
#: Kinds that are forwarded in parts, since they may be the start of a valid response.
FORWARDED = {EndlessPart.unframed_body, EndlessPart.chunked_body, EndlessPart.event}


async def sample_memory(samples: list[int]) -> None:
    while True:
        samples.append(resident_bytes())
        await asyncio.sleep(SAMPLE_S)


@pytest.mark.parametrize('path', ['/lookup/1', '/order/1', '/draft/1'])
@pytest.mark.parametrize('kind', list(EndlessPart))
def test_endless_bytes_do_not_fill_the_memory(kind: EndlessPart, path: str) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        deadline_ms = FORWARDED_DEADLINE_MS if kind in FORWARDED else DEADLINE_MS
        release_free_memory()
        bytes_before = resident_bytes()
        samples: list[int] = []
        sampling = asyncio.create_task(sample_memory(samples))
        async with serve_endless(entry, kind) as server:
            requests = (
                send_request(entry, path, deadline_ms=deadline_ms, keeps_body=False)
                for _ in range(REQUESTS)
            )
            responses: list[CallerResponse] = await asyncio.gather(*requests)
            assert server.requests
        sampling.cancel()
        assert max(samples) - bytes_before < MAX_ADDED_BYTES
        for got in responses:
            assert not (got.complete and got.status == 200)

    run(body, SMALL_SITE)


@pytest.mark.parametrize('kind', sorted(set(EndlessPart) - FORWARDED - {EndlessPart.refusal}))
def test_at_most_once_request_with_an_endless_response_is_reported_as_unknown(
    kind: EndlessPart,
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        async with serve_endless(entry, kind) as server:
            got = await send_request(entry, '/order/1', deadline_ms=DEADLINE_MS)
        assert (got.status, got.complete, server.requests) == (502, True, 1)
        assert got.code == Code.outcome_unknown.value

    # In real time, a process that gets no processor until the deadline answers 503 or 504.
    run_site_in_virtual_time(body, SMALL_SITE)


def test_refusal_with_an_endless_body_is_a_refusal() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        async with serve_endless(entry, EndlessPart.refusal):
            got = await send_request(entry, '/order/1')
        assert (got.status, got.complete) == (503, True)

    run(body, SMALL_SITE)


@pytest.mark.parametrize('path', ['/lookup/1', '/order/1'])
def test_large_response_is_forwarded_completely_and_not_buffered(path: str) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for plain in site.plain:
            plain.padding = 24 * 1024 * 1024
        got = await send_request(entry, path, deadline_ms=20_000)
        assert (got.status, got.complete) == (200, True)
        assert len(got.body) > 24 * 1024 * 1024
        buffer_budget = entry.parts.runner.attempts.response_relay.buffer_budget
        assert not buffer_budget.used_bytes

    run(body, SMALL_SITE)
