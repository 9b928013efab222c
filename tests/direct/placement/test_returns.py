"""Tests of the times at which refused callers return.

Guards against callers that are refused twice: if all of them return at the same time, or while the
engines are as full as before, they cannot be served.
"""

from __future__ import annotations

import random
from itertools import pairwise

import pytest
from deployment_loads import EQUAL, EQUAL_ENGINE, MIXED
from overload_model import OverloadResult, OverloadSimulation

from cassiahitch.direct.placement.assignments import NoCapacity, PlacementRequest
from cassiahitch.direct.placement.overload import RETURN_SHARE, OverloadControl
from cassiahitch.direct.placement.placement import HONOURED_FRACTION
from cassiahitch.direct.placement.refusals import refusal_fields, return_label
from cassiahitch.direct.placement.returns import (
    MAX_SLOTS,
    RETURN_RATE_FRACTION,
    SHORTEST_RETURN_S,
    UNSCHEDULED_SPREAD,
    ReturnSchedule,
)

REMAINING_S = 6.0
LONGEST_S = REMAINING_S * HONOURED_FRACTION
PATIENT, URGENT, _ = (part.route for part in MIXED)
#: Minimum served share of returning callers in a short overload, and maximum share of all callers
#: that are refused twice.
MIN_SERVED_AFTER_REFUSAL = 0.6
MAX_REFUSED_TWICE = 0.1
REFUSAL = NoCapacity(1.3, 0.5, 0.1)


def control(begun: int = 20, refused: int = 5) -> OverloadControl:
    """Return the state of an entry after requests of one route."""
    overload = OverloadControl(random.Random(1))
    for number in range(begun + refused):
        overload.record('drafts', PlacementRequest(URGENT, 0), 0, begun=number < begun)
    return overload


def refused_twice(result: OverloadResult) -> float:
    twice = sum(request.attempts > 1 and not request.served for request in result.requests)
    return twice / len(result.requests)


def test_callers_return_one_after_the_other_at_a_fraction_of_the_rate() -> None:
    schedule = ReturnSchedule()
    rng = random.Random(1)
    times = [schedule.return_time(REMAINING_S, 0, 10, 0, rng) for _ in range(30)]
    scheduled = [time.after_s for time in times if time.has_slot]
    gap_s = 1 / (10 * RETURN_RATE_FRACTION)
    assert 2 <= len(scheduled) <= LONGEST_S / gap_s + 1
    assert all(later > earlier for earlier, later in pairwise(schedule.slots))
    distances_s = [later - earlier for earlier, later in pairwise(schedule.slots)]
    assert min(distances_s) == pytest.approx(gap_s)
    assert max(scheduled) <= LONGEST_S


def test_callers_without_a_slot_return_as_late_as_they_are_willing_to() -> None:
    schedule = ReturnSchedule()
    rng = random.Random(1)
    times = [schedule.return_time(REMAINING_S, 0, 1, 0, rng) for _ in range(40)]
    others = {time.after_s for time in times if not time.has_slot}
    assert len(others) > 30
    assert min(others) >= LONGEST_S * (1 - UNSCHEDULED_SPREAD)
    assert max(others) <= LONGEST_S


def test_caller_with_a_long_objective_returns_while_it_can_be_served_in_time() -> None:
    in_time_s = 0.6
    time = ReturnSchedule().return_time(REMAINING_S, in_time_s, 10, 0, random.Random(1))
    assert time.has_slot
    assert SHORTEST_RETURN_S <= time.after_s <= in_time_s


def test_caller_with_little_time_left_returns_before_its_deadline() -> None:
    time = ReturnSchedule().return_time(0.3, 0, 10, 0, random.Random(1))
    assert time.after_s <= 0.3 * HONOURED_FRACTION


def test_slots_of_the_past_are_dropped_and_their_number_is_bounded() -> None:
    schedule = ReturnSchedule()
    rng = random.Random(1)
    for _ in range(3 * MAX_SLOTS):
        schedule.return_time(REMAINING_S, 0, 1000, 0, rng)
    assert len(schedule.slots) == MAX_SLOTS
    schedule.return_time(REMAINING_S, 0, 1000, 10, rng)
    assert len(schedule.slots) == 1


def test_refusal_without_recent_requests_keeps_its_retry_time() -> None:
    request = PlacementRequest(URGENT, 0, remaining_s=REMAINING_S)
    assert OverloadControl().scheduled('drafts', request, REFUSAL, 0) is REFUSAL
    assert control().scheduled('drafts', request, REFUSAL, 60) is REFUSAL
    assert return_label(REFUSAL) == 'random'


def test_limited_replicas_keep_the_time_of_their_permits() -> None:
    request = PlacementRequest(URGENT, 0, remaining_s=REMAINING_S)
    limited = NoCapacity(0.4, 0.5, 0.1, 2)
    assert control().scheduled('drafts', request, limited, 0) is limited


def test_caller_that_was_refused_before_takes_no_slot() -> None:
    request = PlacementRequest(URGENT, 2, remaining_s=REMAINING_S, is_return=True)
    assert control().scheduled('drafts', request, REFUSAL, 0) is REFUSAL


def test_log_line_of_a_scheduled_refusal_has_its_inputs() -> None:
    request = PlacementRequest(URGENT, 0, remaining_s=REMAINING_S)
    refusal = control().scheduled('drafts', request, REFUSAL, 0)
    fields = refusal_fields(refusal)
    assert fields['pressure'] == pytest.approx(0.2)
    assert fields['has_slot']
    assert fields['begun_per_s'] > 0
    assert return_label(refusal) == 'slot'


def test_returning_callers_come_first_until_they_have_their_share() -> None:
    overload = control(begun=100)
    returning = PlacementRequest(URGENT, 2, remaining_s=REMAINING_S, is_return=True)
    assert overload.adjust('drafts', returning, 0).is_preferred
    assert not overload.adjust('drafts', PlacementRequest(URGENT, 0), 0).is_preferred
    for _ in range(int(2 * 100 * RETURN_SHARE)):
        overload.record('drafts', returning, 0, begun=True)
    assert not overload.adjust('drafts', returning, 0).is_preferred


def test_returning_callers_have_no_precedence_without_pressure() -> None:
    returning = PlacementRequest(URGENT, 2, remaining_s=REMAINING_S, is_return=True)
    assert not control(refused=0).adjust('drafts', returning, 0).is_preferred


def test_in_a_short_overload_most_returning_callers_are_served() -> None:
    result = OverloadSimulation(
        1,
        1,
        18,
        engines=6,
        entries=9,
        mix=EQUAL,
        engine=EQUAL_ENGINE,
        load_factor=lambda at: 1.5 if at % 6 < 2 else 0.5,
    ).simulate()
    assert result.served_after_refusal >= MIN_SERVED_AFTER_REFUSAL
    assert refused_twice(result) <= MAX_REFUSED_TWICE
