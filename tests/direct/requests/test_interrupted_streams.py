"""A stream whose replica fails waits for another assignment before it is given up."""

from __future__ import annotations

import asyncio

from direct_callers import (
    SMALL_SITE,
    CallerResponse,
    reported_queue_length,
    run_site_in_virtual_time,
    send_request,
    wait_until,
)

from cassiahitch.direct.requests.failover import RESUME_TIMEOUT_S
from cassiahitch.standins.backends import BackendStandin
from cassiahitch.standins.directsite import DirectSite


async def start_stream(
    site: DirectSite,
) -> tuple[asyncio.Task[CallerResponse], BackendStandin, BackendStandin]:
    """Request a stream, and return its task, its replica and the other replica."""
    for model in site.models:
        model.pause_s = 0.1
        model.events = 20
    request_task = asyncio.create_task(send_request(site.entries[0], '/draft/1', deadline_ms=3900))
    await wait_until(lambda: any(model.running for model in site.models))
    current, other = sorted(site.models, key=lambda model: -model.running)
    await asyncio.sleep(0.25)
    return request_task, current, other


def test_stream_waits_for_capacity_when_its_replica_crashed_under_load() -> None:
    async def body(site: DirectSite) -> None:
        request_task, current, other = await start_stream(site)
        other.running += 400
        await wait_until(lambda: reported_queue_length(site, other) > 300)
        await current.stop()
        await asyncio.sleep(0.3)
        assert not request_task.done()
        other.running -= 400
        got = await request_task
        assert (got.status, got.complete) == (200, True)
        assert [execution.attempt_id for execution in other.runs] == [got.attempt]

    run_site_in_virtual_time(body)


def test_stream_waits_for_a_retry_when_its_replica_crashed() -> None:
    async def body(site: DirectSite) -> None:
        request_task, current, _ = await start_stream(site)
        await current.stop()
        await asyncio.sleep(0.3)
        site.entries[0].parts.runner.budget.slack = 100
        got = await request_task
        assert (got.status, got.complete) == (200, True)

    run_site_in_virtual_time(body, SMALL_SITE, retry_ratio=0, retry_slack=0)


def test_stream_that_waits_for_a_retry_uses_up_no_permits_of_a_limited_replica() -> None:
    async def body(site: DirectSite) -> None:
        limited = site.models[1]
        limited.limit_per_s = 1
        await asyncio.sleep(2)
        request_task, current, other = await start_stream(site)
        assert other is limited
        await current.stop()
        await asyncio.sleep(0.5)
        limiter = site.agents[1].reporter.rate_limit.limiter
        assert round(limiter.tokens) == 1
        site.entries[0].parts.runner.budget.slack = 100
        got = await request_task
        assert (got.status, got.complete) == (200, True)

    run_site_in_virtual_time(body, SMALL_SITE, retry_ratio=0, retry_slack=0)


def test_stream_without_capacity_is_given_up_after_the_timeout() -> None:
    async def body(site: DirectSite) -> None:
        request_task, current, other = await start_stream(site)
        other.running += 400
        await wait_until(lambda: reported_queue_length(site, other) > 300)
        await current.stop()
        started_at = asyncio.get_running_loop().time()
        got = await request_task
        assert (got.status, got.complete) == (200, False)
        assert asyncio.get_running_loop().time() - started_at < 2 * RESUME_TIMEOUT_S

    run_site_in_virtual_time(body)
