"""Tests of organisation limits over several entries."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahitch.limits.organisations import (
    BURST_S,
    TOTAL_PARTS,
    OrganisationLimit,
    OverLimit,
    ShareUpdate,
    WithinLimit,
)

LIMIT_PER_S = 90.0
NAMES = ('entry-1', 'entry-2', 'entry-3', 'entry-4')
ENTRY = st.integers(0, 3)


def make_limits() -> list[OrganisationLimit]:
    """Return the limits of four entries; the last one is not in the division."""
    return [OrganisationLimit(name, 'caterers', LIMIT_PER_S, NAMES[:3]) for name in NAMES]


class LimitMachine(RuleBasedStateMachine):
    """Loses, duplicates, delays and reorders messages between entries."""

    def __init__(self) -> None:
        super().__init__()
        self.limits = make_limits()
        self.messages: list[tuple[int, ShareUpdate]] = []
        self.now: float = 0
        self.admitted = 0

    @rule(entry=ENTRY, requests=st.integers(1, 200))
    def admit(self, entry: int, requests: int) -> None:
        for _ in range(requests):
            self.admitted += self.limits[entry].admit(self.now) == WithinLimit()

    @rule(entry=ENTRY)
    def update(self, entry: int) -> None:
        share_update = self.limits[entry].update(self.now)
        self.messages += [(peer, share_update) for peer in range(4) if peer != entry]

    @rule(index=st.integers(0, 200), keep=st.booleans())
    def deliver(self, index: int, *, keep: bool) -> None:
        if self.messages:
            peer, share_update = self.messages[index % len(self.messages)]
            self.limits[peer].receive(share_update, self.now)
            if not keep:
                self.messages.pop(index % len(self.messages))

    @rule()
    def lose_all(self) -> None:
        self.messages.clear()

    @rule(seconds=st.floats(0.01, 2))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def sum_of_shares_stays_within_the_limit(self) -> None:
        assert all(limit.share >= 0 for limit in self.limits)
        assert sum(limit.share for limit in self.limits) <= TOTAL_PARTS

    @invariant()
    def admitted_requests_stay_within_the_limit(self) -> None:
        burst = LIMIT_PER_S * BURST_S + len(NAMES)
        assert self.admitted <= LIMIT_PER_S * self.now + burst


LimitMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=60)
TestLimitMachine = LimitMachine.TestCase


def send_requests(limit: OrganisationLimit, demand: int, second: int) -> int:
    """Spread requests over a second and return the number of admitted ones."""
    decisions = [limit.admit(second + step / demand) for step in range(demand)]
    return decisions.count(WithinLimit())


def run_rounds(
    limits: list[OrganisationLimit],
    demands: tuple[int, ...],
    seconds: range,
    disconnected: tuple[int, ...] = (),
) -> list[int]:
    """Simulate requests and exchanges of updates; return the admissions of the last second."""
    counts: list[int] = []
    for second in seconds:
        counts = [send_requests(*pair, second) for pair in zip(limits, demands, strict=True)]
        for index, limit in enumerate(limits):
            if index in disconnected:
                continue
            share_update = limit.update(second + 1)
            for peer, other in enumerate(limits):
                if peer not in disconnected:
                    other.receive(share_update, second + 1)
    return counts


def test_share_follows_demand() -> None:
    limits = make_limits()
    counts = run_rounds(limits, (70, 2, 0, 0), range(30))
    assert counts[0] >= 64
    counts = run_rounds(limits, (2, 2, 0, 70), range(30, 60))
    assert counts[3] >= 64


def test_disconnected_peer_keeps_its_share() -> None:
    limits = make_limits()
    run_rounds(limits, (30, 30, 30, 0), range(10))
    kept = limits[2].share
    run_rounds(limits, (5, 5, 0, 0), range(10, 14), disconnected=(2,))
    transferred = limits[0].own_row().get('entry-3', 0)
    run_rounds(limits, (0, 100, 0, 0), range(14, 40), disconnected=(2,))
    assert limits[0].own_row().get('entry-3', 0) == transferred
    assert limits[2].share == kept
    assert sum(limit.share for limit in limits) <= TOTAL_PARTS


def test_new_division_reassigns_the_share_of_a_dead_entry() -> None:
    limits = make_limits()
    for limit in limits[:2]:
        limit.epoch = 1
        limit.apply_division(NAMES[:2], 2, 10)
        limit.apply_division(NAMES, 1, 10)
        assert limit.rate(10) == pytest.approx(LIMIT_PER_S / 3)
        assert limit.rate(13) == pytest.approx(LIMIT_PER_S / 2)


def test_new_division_applies_at_once_when_all_its_entries_have_adopted_it() -> None:
    limits = make_limits()[:2]
    for limit in limits:
        limit.epoch = 1
        limit.apply_division(NAMES[:2], 2, 10)
    limits[0].receive(limits[1].update(10.1), 10.1)
    assert limits[0].rate(10.2) == pytest.approx(LIMIT_PER_S / 2)
    assert limits[1].rate(10.2) == pytest.approx(LIMIT_PER_S / 3)


def test_refusal_has_a_retry_after() -> None:
    limit = make_limits()[0]
    decisions = [limit.admit(0) for _ in range(100)]
    assert isinstance(decisions[-1], OverLimit)
    assert 0 < decisions[-1].retry_after_s <= BURST_S
