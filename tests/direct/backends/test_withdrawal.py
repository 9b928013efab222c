"""Tests of the watch over attempts that have not begun.

Guards against checks whose cost grows with the square of the number of waiting requests.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass

import pytest
from virtual_loop import virtual_time

from cassiahitch.direct.backends.withdrawal import (
    CHECK_INTERVAL_S,
    AttemptWithdrawn,
    WithdrawalWatch,
)
from cassiahitch.direct.placement.assignments import Assignment, Candidate
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.direct.state.versions import BOUND_MARGIN_S, DeclaredVersion, VersionPolicy
from cassiahitch.util.endpoints import Endpoint

BOUND_S = 8.0
REPLICA = Replica('r', 'drafts', Endpoint('10.0.0.1', 80), 'north-1', 4)
ASSIGNMENT = Assignment(Candidate(REPLICA, in_own_region=True, version=1, model='m'), 0)
V2 = DeclaredVersion('m', 2)


@dataclass(slots=True)
class CountingPolicy(VersionPolicy):
    """A policy that counts how often it is asked what is left of a bound."""

    count: int = 0

    def left_s(self, model: str, version: int, at: float) -> float:
        self.count += 1
        return VersionPolicy.left_s(self, model, version, at)


def test_many_waiting_attempts_cost_a_few_checks_each() -> None:
    async def body() -> None:
        policy = CountingPolicy(BOUND_S)
        policy.record_declared(V2, boot_time())
        watch = WithdrawalWatch(policy)
        attempts = 300
        async with AsyncExitStack() as stack:
            for _ in range(attempts):
                await stack.enter_async_context(watch.watch(ASSIGNMENT))
            assert policy.count <= 2 * attempts
            assert len(watch.pending) == attempts
        assert not watch.pending

    with virtual_time(0) as runner:
        runner.run(body())


@pytest.mark.parametrize('declared_after_s', [0, 0.3, 20])
def test_attempt_that_waits_is_withdrawn_at_the_bound_less_the_margin(
    declared_after_s: float,
) -> None:
    async def body() -> None:
        watch = WithdrawalWatch(VersionPolicy(BOUND_S))
        declared_at = boot_time() + declared_after_s
        asyncio.get_running_loop().call_later(
            declared_after_s, watch.versions.record_declared, V2, declared_at
        )
        with pytest.raises(AttemptWithdrawn):
            async with watch.watch(ASSIGNMENT):
                await asyncio.sleep(60)
        age_s = boot_time() - declared_at
        assert age_s == pytest.approx(BOUND_S - BOUND_MARGIN_S, abs=0.01)

    with virtual_time(0) as runner:
        runner.run(body())


def test_attempt_that_has_begun_is_not_withdrawn() -> None:
    async def body() -> None:
        watch = WithdrawalWatch(VersionPolicy(BOUND_S))
        watch.versions.record_declared(V2, boot_time())
        async with watch.watch(ASSIGNMENT) as pending:
            await asyncio.sleep(BOUND_S - BOUND_MARGIN_S - CHECK_INTERVAL_S)
            pending.begin()
            await asyncio.sleep(BOUND_S)
        assert pending.began

    with virtual_time(0) as runner:
        runner.run(body())
