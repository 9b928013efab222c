"""Tests of the simulation of the rollout benchmark."""

from __future__ import annotations

import pytest

from cassiahitch.bench.baselines import OriginOnly
from cassiahitch.bench.links import Link, Network, VirtualTime
from cassiahitch.bench.rollout import RolloutCase, run_case
from cassiahitch.resources.models import Objective


def test_link_carries_transfers_at_its_rate() -> None:
    time, ends = VirtualTime(), list[float]()
    network, link = Network(time), Link(100)
    network.start((link,), 500, lambda: ends.append(time.now))
    network.start((link,), 500, lambda: ends.append(time.now))
    time.run(60)
    assert ends[-1] == pytest.approx(10)
    assert link.carried_bytes == pytest.approx(1000)


def test_rollout_with_the_same_seed_has_the_same_outcome() -> None:
    case = RolloutCase(6, Objective.origin_bytes, 0.6, faults_until_s=300)
    first = run_case(3, case)
    assert run_case(3, case) == first
    assert first.unfinished == 0


@pytest.mark.parametrize(
    ('case', 'copies'),
    [
        pytest.param(RolloutCase(6, Objective.origin_bytes, 0.6), 1, id='origin-bytes'),
        pytest.param(RolloutCase(6, Objective.time, 0.6), 3, id='time'),
        pytest.param(
            RolloutCase(6, Objective.time, 0.6, OriginOnly, no_timeouts=True), 6, id='origin-only'
        ),
    ],
)
def test_origin_copies_are_counted(case: RolloutCase, copies: int) -> None:
    assert run_case(1, case).origin_copies == pytest.approx(copies, rel=0.001)
