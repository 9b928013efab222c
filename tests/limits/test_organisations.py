"""Tests of organisation limits over several entries."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahitch.limits.organisations import (
    BURST_S,
    WHOLE,
    OrganisationLimit,
    OverLimit,
    ShareUpdate,
    Within,
)

LIMIT_PER_S = 90.0
NAMES = ('entry-1', 'entry-2', 'entry-3', 'entry-4')
ENTRY = st.integers(0, 3)


def make_limits() -> list[OrganisationLimit]:
    """Return the parts of four entries, the last of which was not there at first."""
    return [OrganisationLimit(name, 'caterers', LIMIT_PER_S, NAMES[:3]) for name in NAMES]


class LimitMachine(RuleBasedStateMachine):
    """Messages between entries are lost, doubled, delayed and reordered."""

    def __init__(self) -> None:
        super().__init__()
        self.limits = make_limits()
        self.mail: list[tuple[int, ShareUpdate]] = []
        self.now: float = 0
        self.admitted = 0

    @rule(entry=ENTRY, requests=st.integers(1, 200))
    def ask(self, entry: int, requests: int) -> None:
        for _ in range(requests):
            self.admitted += self.limits[entry].admit(self.now) == Within()

    @rule(entry=ENTRY)
    def update(self, entry: int) -> None:
        news = self.limits[entry].update(self.now)
        self.mail += [(peer, news) for peer in range(4) if peer != entry]

    @rule(index=st.integers(0, 200), keep=st.booleans())
    def deliver(self, index: int, *, keep: bool) -> None:
        if self.mail:
            peer, news = self.mail[index % len(self.mail)]
            self.limits[peer].receive(news, self.now)
            if not keep:
                self.mail.pop(index % len(self.mail))

    @rule()
    def lose_all(self) -> None:
        self.mail.clear()

    @rule(seconds=st.floats(0.01, 2))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def sum_of_shares_stays_within_the_limit(self) -> None:
        assert all(limit.share >= 0 for limit in self.limits)
        assert sum(limit.share for limit in self.limits) <= WHOLE

    @invariant()
    def admitted_requests_stay_within_the_limit(self) -> None:
        burst = LIMIT_PER_S * BURST_S + len(NAMES)
        assert self.admitted <= LIMIT_PER_S * self.now + burst


LimitMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=60)
TestLimitMachine = LimitMachine.TestCase


def ask(limit: OrganisationLimit, demand: int, second: int) -> int:
    """Spread requests over a second; return how many were admitted."""
    verdicts = [limit.admit(second + step / demand) for step in range(demand)]
    return verdicts.count(Within())


def run_rounds(
    limits: list[OrganisationLimit],
    demands: tuple[int, ...],
    seconds: range,
    silent: tuple[int, ...] = (),
) -> list[int]:
    """Let entries ask and exchange news each second; return what was admitted in the last."""
    counts: list[int] = []
    for second in seconds:
        counts = [ask(*pair, second) for pair in zip(limits, demands, strict=True)]
        for index, limit in enumerate(limits):
            if index in silent:
                continue
            news = limit.update(second + 1)
            for peer, other in enumerate(limits):
                if peer not in silent:
                    other.receive(news, second + 1)
    return counts


def test_share_follows_demand() -> None:
    limits = make_limits()
    counts = run_rounds(limits, (70, 2, 0, 0), range(30))
    assert counts[0] >= 64
    counts = run_rounds(limits, (2, 2, 0, 70), range(30, 60))
    assert counts[3] >= 64


def test_unheard_peer_keeps_its_share() -> None:
    limits = make_limits()
    run_rounds(limits, (30, 30, 30, 0), range(10))
    kept = limits[2].share
    run_rounds(limits, (5, 5, 0, 0), range(10, 14), silent=(2,))
    given = limits[0].row().get('entry-3', 0)
    run_rounds(limits, (0, 100, 0, 0), range(14, 40), silent=(2,))
    assert limits[0].row().get('entry-3', 0) == given
    assert limits[2].share == kept
    assert sum(limit.share for limit in limits) <= WHOLE


def test_new_division_takes_back_the_share_of_an_entry_that_is_gone() -> None:
    limits = make_limits()
    for limit in limits[:2]:
        limit.epoch = 1
        limit.apply_division(NAMES[:2], 2, 10)
        limit.apply_division(NAMES, 1, 10)
        assert limit.rate(10) == pytest.approx(LIMIT_PER_S / 3)
        assert limit.rate(13) == pytest.approx(LIMIT_PER_S / 2)


def test_new_division_holds_at_once_when_all_its_entries_have_told_that_they_adopted_it() -> None:
    limits = make_limits()[:2]
    for limit in limits:
        limit.epoch = 1
        limit.apply_division(NAMES[:2], 2, 10)
    limits[0].receive(limits[1].update(10.1), 10.1)
    assert limits[0].rate(10.2) == pytest.approx(LIMIT_PER_S / 2)
    assert limits[1].rate(10.2) == pytest.approx(LIMIT_PER_S / 3)


def test_refusal_says_when_to_come_back() -> None:
    limit = make_limits()[0]
    verdicts = [limit.admit(0) for _ in range(100)]
    assert isinstance(verdicts[-1], OverLimit)
    assert 0 < verdicts[-1].retry_after_s <= BURST_S
