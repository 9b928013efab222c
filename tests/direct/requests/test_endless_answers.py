"""Bytes without end from a backend server end neither the entry nor a caller's wait."""

from __future__ import annotations

import asyncio

import pytest
from direct_callers import SMALL, Got, ask, run
from endless import Endless, endless, resident_bytes

from cassiahitch.codes import Code
from cassiahitch.standins.directsite import DirectSite

#: Requests at the same time, and what all of them may add to the memory of the process.
REQUESTS = 6
MOST_BYTES = 48 * 1024 * 1024
DEADLINE_MS = 700
SAMPLE_S = 0.02
#: What is passed on piece by piece, since it may be a sound answer.
PASSED_ON = {Endless.unframed_body, Endless.chunked_body, Endless.event}


async def watch(peak: list[int]) -> None:
    while True:
        peak.append(resident_bytes())
        await asyncio.sleep(SAMPLE_S)


@pytest.mark.parametrize('path', ['/lookup/1', '/order/1', '/draft/1'])
@pytest.mark.parametrize('kind', list(Endless))
def test_bytes_without_end_do_not_fill_the_memory(kind: Endless, path: str) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        before = resident_bytes()
        peak: list[int] = []
        watching = asyncio.create_task(watch(peak))
        async with endless(entry, kind) as server:
            asked = (ask(entry, path, deadline_ms=DEADLINE_MS) for _ in range(REQUESTS))
            answers: list[Got] = await asyncio.gather(*asked)
            assert server.requests
        watching.cancel()
        assert max(peak) - before < MOST_BYTES + sum(len(got.body) for got in answers)
        for got in answers:
            assert not (got.whole and got.status == 200)

    run(body, SMALL)


@pytest.mark.parametrize('kind', sorted(set(Endless) - PASSED_ON - {Endless.refusal}))
def test_caller_is_told_that_a_request_that_runs_once_may_have_run(kind: Endless) -> None:
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
def test_large_answer_passes_whole_and_is_not_held(path: str) -> None:
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
