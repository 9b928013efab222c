"""Tests of the executor with a backend server that crashes."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from cassiahitch.agent.backend import RunResult
from cassiahitch.agent.dispatches import DispatchResult
from cassiahitch.agent.executor import Executor
from cassiahitch.agent.health import BackendHealth
from cassiahitch.clock import SystemClock
from cassiahitch.codes import Code, HasRun
from cassiahitch.ledger.api import Answer, Failure
from cassiahitch.ledger.claims import ClaimCoordinator
from cassiahitch.ledger.ledger import Ledger
from cassiahitch.metrics.registry import Metrics
from cassiahitch.timeline.ring import Timeline
from cassiahitch.wire.messages import Dispatch

INCARNATION = 1
RESPONSE = Answer(b'draft', 'd' * 64)
DEADLINE_AFTER_MS = 60_000


class CrashingBackend:
    """Crashes in its first run, completes all later ones, and counts the runs."""

    def __init__(self) -> None:
        self.runs = 0

    async def run(self, *_order: object) -> RunResult:
        self.runs += 1
        await asyncio.sleep(0)
        if self.runs == 1:
            return RunResult(Failure(Code.answer_cut_short, HasRun.unknown), crashed=True)
        return RunResult(RESPONSE)


def dispatch(number: int, *, alone: bool) -> Dispatch:
    now_ms = int(SystemClock().monotonic() * 1000)
    request_id = bytes([number]) * 16
    return Dispatch(
        request_id,
        request_id.hex(),
        INCARNATION,
        now_ms + DEADLINE_AFTER_MS,
        body_digest=b'd' * 32,
        alone=alone,
    )


async def run_two(*, alone: bool) -> tuple[list[DispatchResult], CrashingBackend]:
    """Run two requests concurrently; the backend server crashes, then recovers if ``alone``."""
    clock = SystemClock()
    node = SimpleNamespace(
        clock=clock,
        timeline=Timeline('agent', clock, capacity=64),
        metrics=Metrics('agent'),
    )
    backend = CrashingBackend()
    health = BackendHealth(cast('Any', None))
    coordinator = ClaimCoordinator('host', Ledger(INCARNATION), Random(1))
    parts: tuple[Any, ...] = (node, coordinator, backend, None, 1, health)
    executor = Executor(*parts)
    executor.admit('digest')
    worker = asyncio.ensure_future(executor.work())
    runs_in_progress = [
        asyncio.ensure_future(executor.run(dispatch(number, alone=alone), lambda _: None))
        for number in (1, 2)
    ]
    while not health.down:
        await asyncio.sleep(0)
    if alone:
        for _ in range(5):
            await asyncio.sleep(0)
        health.up.set()
    results = await asyncio.gather(*runs_in_progress)
    worker.cancel()
    return list(results), backend


def test_suspect_waits_for_the_restart_after_the_crash_of_another_one() -> None:
    results, _ = asyncio.run(run_two(alone=True))
    assert [result.crashed for result in results] == [True, False]
    assert results[1].outcome == RESPONSE


def test_queued_request_is_refused_unrun_after_a_crash() -> None:
    results, backend = asyncio.run(run_two(alone=False))
    assert results[1].outcome == Failure(Code.not_ready, HasRun.no)
    assert backend.runs == 1
