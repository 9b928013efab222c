"""Tests of the choice of connections to close.

They guard against a process that runs out of memory or descriptors while clients make no progress,
and against closing the connections of ordinary callers instead of those.
"""

from __future__ import annotations

import pytest

from cassiahitch.direct.connections.budget import (
    CONNECTION_COST_BYTES,
    CloseReason,
    ConnectionBudget,
    ConnectionLimits,
    Holding,
    Stage,
)

BODY_BYTES = 65_500


def make_budget(total_bytes: int = 1_000_000, max_connections: int = 1000) -> ConnectionBudget:
    return ConnectionBudget(ConnectionLimits(total_bytes, max_connections, header_s=3, idle_s=15))


def receive(
    budget: ConnectionBudget, at: float, count: int = BODY_BYTES, stage: Stage = Stage.body
) -> Holding:
    holding = budget.open(at)
    holding.enter(stage, at)
    holding.move(count, at)
    budget.hold(holding, count, 0)
    return holding


def chosen(budget: ConnectionBudget, now: float) -> list[Holding]:
    return [holding for holding, _ in budget.excess(now)]


def test_nothing_is_closed_within_the_limits() -> None:
    budget = make_budget()
    receive(budget, 0)
    assert not budget.exceeded
    assert not budget.excess(10)


def test_bodies_that_stopped_are_closed_longest_stall_first_down_to_the_low_watermark() -> None:
    budget = make_budget()
    stalled = [receive(budget, number / 10) for number in range(14)]
    assert budget.exceeded
    closed = chosen(budget, 10)
    assert closed == stalled[: len(closed)]
    for holding in closed:
        budget.close(holding)
    assert 700_000 < budget.used_bytes <= 875_000
    assert all(reason is CloseReason.memory for _, reason in budget.excess(10))


def test_a_body_that_makes_progress_outlives_those_that_stopped() -> None:
    budget = make_budget()
    moving = receive(budget, 0)
    for number in range(14):
        receive(budget, number / 10)
    moving.move(BODY_BYTES, 9.9)
    assert moving not in chosen(budget, 10)


def test_the_slowest_body_is_closed_first_while_all_make_progress() -> None:
    budget = make_budget()
    holdings = [receive(budget, 0) for _ in range(14)]
    for number, holding in enumerate(holdings):
        holding.move(1000 * (14 - number), 4.9)
    assert chosen(budget, 5)[0] is holdings[-1]


def test_complete_requests_and_small_ones_outlive_large_unfinished_ones() -> None:
    budget = make_budget()
    served = receive(budget, 0, 10 * BODY_BYTES, Stage.served)
    small = receive(budget, 0, 500)
    large = [receive(budget, 9) for _ in range(6)]
    closed = chosen(budget, 10)
    assert closed
    assert set(closed) <= set(large)
    assert {served, small}.isdisjoint(closed)


def test_used_connections_outlive_new_ones_while_there_are_too_many() -> None:
    budget = make_budget(max_connections=2)
    used = budget.open(0)
    used.requests = 1
    opened = [budget.open(number) for number in (2, 1)]
    assert budget.excess(10) == [(opened[1], CloseReason.connections)]


def test_responses_that_are_not_read_count_and_are_closed() -> None:
    budget = make_budget()
    holdings = [receive(budget, 0, 100, Stage.served) for _ in range(4)]
    for holding in holdings:
        budget.hold(holding, 100, 250_000)
    holdings[0].move(1000, 9.5)
    closed = chosen(budget, 10)
    assert closed
    assert holdings[0] not in closed


def test_small_requests_are_read_while_the_budget_is_used_up() -> None:
    budget = make_budget()
    for _ in range(14):
        receive(budget, 0, stage=Stage.served)
    small = budget.open(5)
    assert budget.readable_bytes(small) == CONNECTION_COST_BYTES
    assert budget.has_room(small)
    large = receive(budget, 5)
    assert budget.readable_bytes(large) < 0
    assert not budget.has_room(large)


def test_a_large_body_is_admitted_unless_requests_being_served_leave_no_room() -> None:
    # Only what can be closed is made room of: a refusal must not hit a body that fits.
    budget = make_budget()
    for _ in range(14):
        receive(budget, 0)
    assert budget.admits(700_000)
    receive(budget, 0, 500_000, Stage.served)
    assert not budget.admits(700_000)


def test_closed_connections_no_longer_count() -> None:
    budget = make_budget()
    holding = receive(budget, 0)
    budget.close(holding)
    budget.close(holding)
    budget.hold(holding, 5, 5)
    assert not budget.used_bytes


@pytest.mark.parametrize(
    ('stage', 'moved', 'progress_at', 'now', 'reason'),
    [
        pytest.param(Stage.header, 100, 4, 4.5, CloseReason.header_timeout, id='trickled header'),
        pytest.param(Stage.header, 100, 0, 3.5, None, id='header within its time'),
        pytest.param(Stage.body, 65_500, 0, 16, CloseReason.body_timeout, id='stopped body'),
        pytest.param(Stage.body, 100, 15.9, 16, CloseReason.body_timeout, id='trickled body'),
        pytest.param(Stage.body, 65_500, 15.9, 16, None, id='slow body'),
        pytest.param(Stage.idle, 0, 0, 50, None, id='idle'),
        pytest.param(Stage.served, 0, 0, 50, None, id='served'),
    ],
)
def test_times_of_a_connection(
    stage: Stage, moved: int, progress_at: float, now: float, reason: CloseReason | None
) -> None:
    budget = make_budget()
    holding = budget.open(0)
    holding.enter(stage, 0)
    holding.move(moved, progress_at)
    expected = [] if reason is None else [(holding, reason)]
    assert list(budget.expired(now)) == expected


def test_time_in_which_the_process_delays_a_client_does_not_count() -> None:
    budget = make_budget()
    holding = receive(budget, 0)
    holding.waits_for_turn = True
    assert not budget.expired(100)


def test_unread_responses_are_cut_after_the_idle_timeout_only_while_memory_is_short() -> None:
    budget = make_budget()
    holding = receive(budget, 0, 100, Stage.served)
    budget.hold(holding, 100, 400_000)
    assert not budget.expired(100)
    budget.hold(holding, 100, 600_000)
    assert list(budget.expired(100)) == [(holding, CloseReason.unread_response)]
