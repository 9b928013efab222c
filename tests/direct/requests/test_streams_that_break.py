"""A stream whose replica breaks off waits for a place before it is given up."""

from __future__ import annotations

import asyncio

from direct_callers import SMALL, Got, ask, run_virtually, until, waiting_at

from cassiahitch.direct.requests.failover import RESUME_TIMEOUT_S
from cassiahitch.standins.backends import BackendStandin
from cassiahitch.standins.directsite import DirectSite


async def begin(site: DirectSite) -> tuple[asyncio.Task[Got], BackendStandin, BackendStandin]:
    """Ask for a stream, and return it with its replica and the other one."""
    for model in site.models:
        model.pause_s = 0.1
        model.events = 20
    asked = asyncio.create_task(ask(site.entries[0], '/draft/1', deadline_ms=3900))
    await until(lambda: any(model.running for model in site.models))
    mine, other = sorted(site.models, key=lambda model: -model.running)
    await asyncio.sleep(0.25)
    return asked, mine, other


def test_stream_waits_for_a_place_when_its_replica_crashed_under_load() -> None:
    async def body(site: DirectSite) -> None:
        asked, mine, other = await begin(site)
        other.running += 400
        await until(lambda: waiting_at(site, other) > 300)
        await mine.stop()
        await asyncio.sleep(0.3)
        assert not asked.done()
        other.running -= 400
        got = await asked
        assert (got.status, got.whole) == (200, True)
        assert [one.attempt_id for one in other.runs] == [got.attempt]

    run_virtually(body)


def test_stream_waits_for_a_retry_when_its_replica_crashed() -> None:
    async def body(site: DirectSite) -> None:
        asked, mine, _ = await begin(site)
        await mine.stop()
        await asyncio.sleep(0.3)
        site.entries[0].parts.runner.budget.slack = 100
        got = await asked
        assert (got.status, got.whole) == (200, True)

    run_virtually(body, SMALL, retry_ratio=0, retry_slack=0)


def test_stream_that_finds_no_place_for_long_is_given_up() -> None:
    async def body(site: DirectSite) -> None:
        asked, mine, other = await begin(site)
        other.running += 400
        await until(lambda: waiting_at(site, other) > 300)
        await mine.stop()
        began = asyncio.get_running_loop().time()
        got = await asked
        assert (got.status, got.whole) == (200, False)
        assert asyncio.get_running_loop().time() - began < 2 * RESUME_TIMEOUT_S

    run_virtually(body)
