"""Faults of the area ``weights``: versions in succession, kills at calls and late executions."""

from __future__ import annotations

import pytest

from cassiahitch.soak.events import (
    Area,
    CorruptChunks,
    Declare,
    ExecuteLate,
    FailBackend,
    KillAtCall,
    Pause,
    SpoilManifests,
)
from cassiahitch.soak.plan import Size, make_plan
from cassiahitch.soak.weightplan import (
    CALL_TIMEOUT_S,
    MAX_VERSION_INTERVAL_S,
    SHORT_VERSION_INTERVAL_S,
)

SIZE = Size(seconds=60, agents=4, areas=(Area.weights,), chunks=48)
SEEDS = range(20)


def test_plan_has_each_kind_of_fault() -> None:
    kinds = {type(event) for event in make_plan(1, SIZE)}
    assert kinds == {
        CorruptChunks,
        Declare,
        ExecuteLate,
        FailBackend,
        KillAtCall,
        Pause,
        SpoilManifests,
    }


def test_versions_are_named_in_quick_and_in_slow_succession() -> None:
    intervals = []
    for seed in SEEDS:
        times = [event.at for event in make_plan(seed, SIZE) if isinstance(event, Declare)]
        assert times[0] == 1
        intervals += [round(later - at, 3) for at, later in zip(times, times[1:], strict=False)]
    assert min(intervals) >= SHORT_VERSION_INTERVAL_S
    assert 10 < max(intervals) <= MAX_VERSION_INTERVAL_S
    short = intervals.count(SHORT_VERSION_INTERVAL_S)
    assert len(intervals) / 4 < short < len(intervals) / 2


def test_agents_are_killed_one_to_three_times_at_orders_and_uploads() -> None:
    kills = [
        event for seed in SEEDS for event in make_plan(seed, SIZE) if isinstance(event, KillAtCall)
    ]
    assert {len(kill.delays_s) for kill in kills} == {1, 2, 3}
    assert {kill.call.value for kill in kills} == {'order', 'upload'}
    for kill in kills:
        assert kill.process.removeprefix('agent-') == kill.engine.removeprefix('m-')
        assert kill.at + CALL_TIMEOUT_S <= 31


@pytest.mark.parametrize('chunks', [1, 2, 48])
def test_corrupt_chunks_are_among_those_of_a_version(chunks: int) -> None:
    size = Size(seconds=60, agents=2, areas=(Area.weights,), chunks=chunks)
    for event in make_plan(3, size):
        if isinstance(event, CorruptChunks):
            assert set(event.positions) <= set(range(chunks))
            assert 1 <= len(event.positions) <= 3


def test_late_executions_end_with_the_faults() -> None:
    late = [event for event in make_plan(1, SIZE) if isinstance(event, ExecuteLate)]
    assert [(event.at, event.seconds) for event in late] == [(1, 30)]
