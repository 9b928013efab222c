"""Plans of the soak are reproducible and stay within their areas and times."""

from __future__ import annotations

import pytest

from cassiahitch.soak.events import (
    Area,
    BackendFailure,
    FailBackend,
    Overload,
    RollOutLate,
    Terminate,
)
from cassiahitch.soak.plan import SEPARATE_AREAS, Size, make_plan


def test_same_seed_and_size_draw_the_same_plan() -> None:
    size = Size(seconds=40)
    assert make_plan(7, size) == make_plan(7, size)


@pytest.mark.parametrize('area', list(SEPARATE_AREAS))
def test_separate_area_does_not_change_the_other_faults_of_a_seed(area: Area) -> None:
    others = tuple(one for one in Area if one is not area)
    for seed in range(20):
        plan = make_plan(seed, Size())
        without = make_plan(seed, Size(areas=others))
        alone = make_plan(seed, Size(areas=(area,)))
        assert sorted(plan, key=str) == sorted((*without, *alone), key=str)


def test_another_seed_draws_another_plan() -> None:
    assert make_plan(7, Size()) != make_plan(8, Size())


def test_seed_that_once_failed_goes_on_to_draw_the_same_faults() -> None:
    plan = make_plan(4, Size(seconds=14, areas=(Area.stops,)))
    assert plan == (
        Terminate(1.04, 'entry-0'),
        Terminate(2.433, 'entry-2'),
        Terminate(4.552, 'agent-0'),
        Terminate(5.19, 'entry-2'),
        Terminate(6.042, 'agent-1'),
        Terminate(7.284, 'agent-0'),
    )


@pytest.mark.parametrize('seed', range(20))
def test_faults_begin_within_the_first_half_and_in_order(seed: int) -> None:
    times = [event.at for event in make_plan(seed, Size(seconds=20))]
    assert times == sorted(times)
    assert times[0] >= 1
    assert times[-1] <= 11


@pytest.mark.parametrize('seed', range(20))
def test_every_engine_is_silent_when_the_bound_of_a_late_rollout_passes(seed: int) -> None:
    size = Size(seconds=13, agents=3, areas=(Area.silences,))
    plan = make_plan(seed, size)
    bound_at = next(event.at for event in plan if isinstance(event, RollOutLate)) + 8
    silences = [event for event in plan if isinstance(event, FailBackend)]
    around = {
        event.backend for event in silences if event.at <= bound_at <= event.at + event.seconds
    }
    assert around >= set(size.engines())
    short = make_plan(seed, Size(seconds=8, areas=(Area.silences,)))
    assert [type(event) for event in short] == [FailBackend]


def test_resumed_streams_fail_at_all_engines_at_once() -> None:
    size = Size(seconds=40, agents=3, areas=(Area.endings,))
    events = [event for event in make_plan(2, size) if isinstance(event, FailBackend)]
    failing = [event for event in events if event.failure is BackendFailure.fail_resumed]
    assert {event.backend for event in failing} == set(size.engines())
    for first in failing:
        assert sum(event.at == first.at for event in failing) == 3


def test_streams_are_broken_off_at_all_engines_at_once() -> None:
    size = Size(seconds=20, agents=3, areas=(Area.broken_ends,))
    events = [event for event in make_plan(1, size) if isinstance(event, FailBackend)]
    assert {event.failure for event in events} == {BackendFailure.break_off}
    for first in events:
        at_once = {event.backend for event in events if event.at == first.at}
        assert at_once == set(size.engines())


def test_only_chosen_areas_are_drawn() -> None:
    plans = [make_plan(seed, Size(areas=(Area.stops, Area.overload))) for seed in range(20)]
    assert {type(event) for plan in plans for event in plan} == {Terminate, Overload}
