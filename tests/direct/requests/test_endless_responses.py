"""Endless responses of backend servers exhaust no memory and do not delay error responses."""

from __future__ import annotations

import asyncio

import pytest
from direct_callers import SMALL, Got, ask, run
from endless import Endless, endless, resident_bytes

from cassiahitch.codes import Code
from cassiahitch.standins.directsite import DirectSite

#: Number of concurrent requests.
REQUESTS = 6
#: Bytes that all of them may add to the memory of the process.
MAX_ADDED_BYTES = 48 * 1024 * 1024
DEADLINE_MS = 700
SAMPLE_S = 0.02
#: Kinds that are forwarded in parts, since they may be the start of a valid response.
FORWARDED = {Endless.unframed_body, Endless.chunked_body, Endless.event}


async def sample_memory(samples: list[int]) -> None:
    while True:
        samples.append(resident_bytes())
        await asyncio.sleep(SAMPLE_S)


@pytest.mark.parametrize('path', ['/lookup/1', '/order/1', '/draft/1'])
@pytest.mark.parametrize('kind', list(Endless))
def test_endless_bytes_do_not_fill_the_memory(kind: Endless, path: str) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        bytes_before = resident_bytes()
        samples: list[int] = []
        sampling = asyncio.create_task(sample_memory(samples))
        async with endless(entry, kind) as server:
            asked = (ask(entry, path, deadline_ms=DEADLINE_MS) for _ in range(REQUESTS))
            answers: list[Got] = await asyncio.gather(*asked)
            assert server.requests
        sampling.cancel()
        assert max(samples) - bytes_before < MAX_ADDED_BYTES + sum(len(got.body) for got in answers)
        for got in answers:
            assert not (got.whole and got.status == 200)

    run(body, SMALL)


@pytest.mark.parametrize('kind', sorted(set(Endless) - FORWARDED - {Endless.refusal}))
def test_at_most_once_request_with_an_endless_response_is_reported_as_unknown(
    kind: Endless,
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        async with endless(entry, kind):
            got = await ask(entry, '/order/1', deadline_ms=DEADLINE_MS)
        assert (got.status, got.whole) == (502, True)
        assert got.code == Code.outcome_unknown.value

    run(body, SMALL)


def test_refusal_with_an_endless_body_is_a_refusal() -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        async with endless(entry, Endless.refusal):
            got = await ask(entry, '/order/1')
        assert (got.status, got.whole) == (503, True)

    run(body, SMALL)


@pytest.mark.parametrize('path', ['/lookup/1', '/order/1'])
def test_large_response_is_forwarded_completely_and_not_buffered(path: str) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for plain in site.plain:
            plain.padding = 24 * 1024 * 1024
        got = await ask(entry, path, deadline_ms=20_000)
        assert (got.status, got.whole) == (200, True)
        assert len(got.body) > 24 * 1024 * 1024
        buffer_budget = entry.parts.runner.attempts.response_relay.buffer_budget
        assert not buffer_budget.used_bytes

    run(body, SMALL)
