"""Tests of the division of organisation limits."""

from __future__ import annotations

import pytest

from cassiahitch.limits.division import GONE_AFTER_S, SETTLE_S, Division, LimitRegistry
from cassiahitch.limits.organisations import WHOLE, Within


def make_leader() -> LimitRegistry:
    registry = LimitRegistry('entry-1')
    registry.update_connected(frozenset(('entry-2',)), 0)
    return registry


def test_holder_of_the_lease_divides_among_the_entries_that_it_hears() -> None:
    registry = make_leader()
    registry.update_division(3, SETTLE_S / 2)
    assert registry.division == Division()
    registry.update_division(3, SETTLE_S)
    assert registry.division.entries == ('entry-1', 'entry-2')


def test_entry_that_is_gone_for_long_or_joins_leads_to_a_new_division() -> None:
    registry = make_leader()
    registry.update_division(3, SETTLE_S)
    first = registry.division
    registry.update_division(3, GONE_AFTER_S)
    assert registry.division == first
    registry.update_division(3, GONE_AFTER_S + SETTLE_S)
    alone = registry.division.entries
    registry.update_connected(frozenset(('entry-3',)), 20)
    registry.update_division(4, 20)
    joined = registry.division.entries
    assert [alone, joined] == [('entry-1',), ('entry-1', 'entry-3')]
    assert registry.division.epoch > first.epoch


def test_old_division_is_ignored() -> None:
    registry = LimitRegistry('entry-1')
    registry.receive('entry-2', Division(5, ('entry-1', 'entry-2')), (), 0)
    registry.receive('entry-3', Division(4, ('entry-3',)), (), 0)
    assert registry.division.epoch == 5


def test_limit_known_first_by_news_starts_with_a_full_bucket() -> None:
    sender = LimitRegistry('entry-2')
    sender.receive('entry-1', Division(1, ('entry-1', 'entry-2')), (), 0)
    sender.admit('caterers', 20, 0)
    registry = LimitRegistry('entry-1')
    registry.receive('entry-2', sender.division, sender.share_updates(1), 1)
    verdicts = [registry.admit('caterers', 20, 1) for _ in range(12)]
    assert verdicts.count(Within()) == pytest.approx(10, abs=1)


def test_fresh_holder_of_the_lease_keeps_the_shares_of_entries_that_it_has_not_heard_yet() -> None:
    division = Division(7, ('entry-1', 'entry-2', 'entry-3'))
    unheard = LimitRegistry('entry-3', division)
    fresh = LimitRegistry('entry-1')
    fresh.update_connected(frozenset(('entry-2',)), 0)
    fresh.receive('entry-2', division, (), 0.5)
    fresh.update_division(9, SETTLE_S)
    unheard.receive('entry-1', fresh.division, (), SETTLE_S)
    verdicts = [unheard.admit('caterers', 100, 2 + number / 20) for number in range(20)]
    assert verdicts.count(Within()) == 20


def test_entry_of_a_learned_division_that_stays_silent_loses_its_share() -> None:
    fresh = LimitRegistry('entry-1')
    fresh.update_connected(frozenset(('entry-2',)), 0)
    fresh.receive('entry-2', Division(7, ('entry-1', 'entry-2', 'entry-3')), (), 0)
    fresh.update_connected(frozenset(('entry-2',)), GONE_AFTER_S + 1)
    fresh.update_division(9, GONE_AFTER_S + 1)
    assert fresh.division.entries == ('entry-1', 'entry-2')


def test_share_of_an_entry_that_leaves_does_not_make_the_others_refuse() -> None:
    names = ('entry-1', 'entry-2', 'entry-3')
    registries = {name: LimitRegistry(name, Division(1, names)) for name in names}
    verdicts = []
    for step in range(500):
        now = step / 50
        left = step >= 200
        if step == 200:
            hand_over(registries, 'entry-1', names[1:], now)
        verdicts.append(registries['entry-2' if left else 'entry-1'].admit('caterers', 100, now))
        registries['entry-2'].limit('caterers')
        live = names[1:] if left else names
        if step % 25 == 0:
            share(registries, live, now)
    assert verdicts.count(Within()) == len(verdicts)


def test_restarted_entry_owns_no_more_than_its_peers_give_it() -> None:
    names = ('entry-1/1', 'entry-2/1', 'entry-3/1')
    registries = {name: LimitRegistry(name, Division(1, names)) for name in names}
    for registry in registries.values():
        registry.admit('caterers', 100, 0)
    share(registries, names, 0)
    hand_over(registries, 'entry-1/1', names[1:], 1)
    registries['entry-1/2'] = LimitRegistry('entry-1/2')
    for step in range(4):
        share(registries, (*names[1:], 'entry-1/2'), 2 + step / 2)
    shares = [registry.limit('caterers').share for registry in registries.values()]
    assert sum(shares) <= WHOLE
    assert registries['entry-1/2'].limit('caterers').share > 0


def test_joining_entry_admits_an_equal_part_until_shares_have_come() -> None:
    joining = LimitRegistry('entry-3')
    joining.receive('entry-1', Division(1, ('entry-1', 'entry-2')), (), 0)
    admitted = [joining.admit('caterers', 90, step / 30) for step in range(30 * 4)]
    assert admitted[: 30 * 2].count(Within()) == 30 * 2
    assert admitted[30 * 3 :].count(Within()) == 0


def test_entry_asked_before_it_hears_a_division_admits_as_a_joining_one() -> None:
    # Refused requests with organisation_limit after a restart (tests/e2e/test_operations.py).
    heard_s = 0.5
    joining = LimitRegistry('entry-3')
    joining.admit('caterers', 90, 0)
    joining.receive('entry-1', Division(1, ('entry-1', 'entry-2')), (), heard_s)
    steps = range(30 * 4)
    admitted = [joining.admit('caterers', 90, heard_s + step / 30) for step in steps]
    assert admitted[: 30 * 2].count(Within()) == 30 * 2
    assert admitted[30 * 3 :].count(Within()) == 0


def test_entry_that_said_that_it_leaves_gets_no_part_of_the_next_division() -> None:
    names = ('entry-1', 'entry-2', 'entry-3')
    registries = {name: LimitRegistry(name, Division(1, names)) for name in names}
    registries['entry-3'].admit('caterers', 100, 0)
    registries['entry-1'].update_connected(frozenset(names[1:]), 0)
    hand_over(registries, 'entry-3', names[:2], 1)
    registries['entry-1'].update_division(1, 2)
    assert registries['entry-1'].division.epoch == 1
    registries['entry-1'].update_connected(frozenset(('entry-2', 'entry-4')), 3)
    registries['entry-1'].update_division(1, 3)
    assert registries['entry-1'].division.entries == ('entry-1', 'entry-2', 'entry-4')


def hand_over(
    registries: dict[str, LimitRegistry], leaver: str, others: tuple[str, ...], now: float
) -> None:
    registry = registries[leaver]
    news = registry.release_shares(now)
    for receiver in others:
        registries[receiver].receive(leaver, registry.division, news, now)


def share(registries: dict[str, LimitRegistry], live: tuple[str, ...], now: float) -> None:
    for sender in live:
        registry = registries[sender]
        news = registry.share_updates(now)
        for receiver in live:
            if receiver != sender:
                registries[receiver].receive(sender, registry.division, news, now)
