"""Tests of fencing at the agent."""

from __future__ import annotations

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahitch.codes import Code
from cassiahitch.controllers.fencing import FencingGuard
from cassiahitch.errors import CassiahitchError


def check_code(guard: FencingGuard, incarnation: int, number: int) -> Code:
    try:
        guard.check('rollout', incarnation, number)
    except CassiahitchError as error:
        return error.code
    return Code.ok


def test_lower_number_is_refused_for_good() -> None:
    guard = FencingGuard(1)
    assert check_code(guard, 1, 4) is Code.ok
    assert check_code(guard, 1, 3) is Code.fencing_number_old
    assert check_code(guard, 1, 4) is Code.ok
    assert check_code(guard, 1, 0) is Code.fencing_number_old


def test_order_for_another_incarnation_is_refused() -> None:
    guard = FencingGuard(2)
    assert check_code(guard, 1, 9) is Code.wrong_incarnation
    assert check_code(guard, 2, 1) is Code.ok


def test_restarted_process_refuses_numbers_below_a_recorded_one() -> None:
    guard = FencingGuard(2)
    guard.record('rollout', 8)
    guard.record('rollout', 7)
    assert check_code(guard, 2, 7) is Code.fencing_number_old


@pytest.mark.parametrize('number', [0, -1], ids=str)
def test_order_without_a_lease_is_refused(number: int) -> None:
    assert check_code(FencingGuard(1), 1, number) is Code.fencing_number_old


class OrderMachine(RuleBasedStateMachine):
    """Orders of successive lease holders arrive late, repeatedly and after a restart of the agent.

    The engine does not check fencing numbers, so the guard alone must keep the numbers of the
    executed orders from decreasing.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rng = random.Random(5)
        self.incarnation = 1
        self.guard = FencingGuard(1)
        self.number = 0
        self.orders: list[tuple[int, int]] = []
        self.loaded: list[int] = []

    @rule()
    def change_holder(self) -> None:
        self.number += 1

    @rule(behind=st.integers(0, 2))
    def order(self, behind: int) -> None:
        self.orders.append((self.incarnation, self.number - behind))

    @rule(pick=st.integers(0, 20))
    def deliver(self, pick: int) -> None:
        if not self.orders:
            return
        incarnation, number = self.orders[pick % len(self.orders)]
        if check_code(self.guard, incarnation, number) is Code.ok:
            assert incarnation == self.incarnation
            self.loaded.append(number)

    @rule()
    def restart(self) -> None:
        self.incarnation += 1
        self.guard = FencingGuard(self.incarnation)
        self.guard.record('rollout', max(self.loaded, default=0))

    @invariant()
    def numbers_never_fall(self) -> None:
        assert self.loaded == sorted(self.loaded)


TestOrderMachine = OrderMachine.TestCase
