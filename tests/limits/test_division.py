"""Tests of the division of organisation limits among the entries."""

from __future__ import annotations

import pytest

from cassiahitch.limits.division import (
    FIRST_DIVISION_DELAY_S,
    OWNER_TIMEOUT_S,
    Division,
    LimitRegistry,
)
from cassiahitch.limits.organisations import TOTAL_PARTS, WithinLimit


def make_leader() -> LimitRegistry:
    registry = LimitRegistry('entry-1')
    registry.update_connected(frozenset(('entry-2',)), 0)
    return registry


def test_holder_of_the_lease_divides_among_the_entries_in_contact_with_it() -> None:
    registry = make_leader()
    registry.update_division(3, FIRST_DIVISION_DELAY_S / 2)
    assert registry.division == Division()
    registry.update_division(3, FIRST_DIVISION_DELAY_S)
    assert registry.division.entries == ('entry-1', 'entry-2')


def test_entry_that_timed_out_or_joined_leads_to_a_new_division() -> None:
    registry = make_leader()
    registry.update_division(3, FIRST_DIVISION_DELAY_S)
    first = registry.division
    registry.update_division(3, OWNER_TIMEOUT_S)
    assert registry.division == first
    registry.update_division(3, OWNER_TIMEOUT_S + FIRST_DIVISION_DELAY_S)
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


def test_limit_first_received_from_a_peer_starts_with_a_full_bucket() -> None:
    sender = LimitRegistry('entry-2')
    sender.receive('entry-1', Division(1, ('entry-1', 'entry-2')), (), 0)
    sender.admit('caterers', 20, 0)
    registry = LimitRegistry('entry-1')
    registry.receive('entry-2', sender.division, sender.share_updates(1), 1)
    decisions = [registry.admit('caterers', 20, 1) for _ in range(12)]
    assert decisions.count(WithinLimit()) == pytest.approx(10, abs=1)


def test_new_holder_of_the_lease_keeps_the_shares_of_entries_not_yet_in_contact_with_it() -> None:
    division = Division(7, ('entry-1', 'entry-2', 'entry-3'))
    other_owner = LimitRegistry('entry-3', division)
    new_holder = LimitRegistry('entry-1')
    new_holder.update_connected(frozenset(('entry-2',)), 0)
    new_holder.receive('entry-2', division, (), 0.5)
    new_holder.update_division(9, FIRST_DIVISION_DELAY_S)
    other_owner.receive('entry-1', new_holder.division, (), FIRST_DIVISION_DELAY_S)
    decisions = [other_owner.admit('caterers', 100, 2 + number / 20) for number in range(20)]
    assert decisions.count(WithinLimit()) == 20


def test_entry_of_a_received_division_that_sends_no_updates_loses_its_share() -> None:
    new_holder = LimitRegistry('entry-1')
    new_holder.update_connected(frozenset(('entry-2',)), 0)
    new_holder.receive('entry-2', Division(7, ('entry-1', 'entry-2', 'entry-3')), (), 0)
    new_holder.update_connected(frozenset(('entry-2',)), OWNER_TIMEOUT_S + 1)
    new_holder.update_division(9, OWNER_TIMEOUT_S + 1)
    assert new_holder.division.entries == ('entry-1', 'entry-2')


def test_stop_of_an_entry_does_not_make_the_others_refuse_requests() -> None:
    names = ('entry-1', 'entry-2', 'entry-3')
    registries = {name: LimitRegistry(name, Division(1, names)) for name in names}
    decisions = []
    for step in range(500):
        now = step / 50
        is_stopping = step >= 200
        if step == 200:
            release_all(registries, 'entry-1', names[1:], now)
        decisions.append(
            registries['entry-2' if is_stopping else 'entry-1'].admit('caterers', 100, now)
        )
        registries['entry-2'].limit('caterers')
        live = names[1:] if is_stopping else names
        if step % 25 == 0:
            exchange(registries, live, now)
    assert decisions.count(WithinLimit()) == len(decisions)


def test_restarted_entry_owns_no_more_than_its_peers_transfer_to_it() -> None:
    names = ('entry-1/1', 'entry-2/1', 'entry-3/1')
    registries = {name: LimitRegistry(name, Division(1, names)) for name in names}
    for registry in registries.values():
        registry.admit('caterers', 100, 0)
    exchange(registries, names, 0)
    release_all(registries, 'entry-1/1', names[1:], 1)
    registries['entry-1/2'] = LimitRegistry('entry-1/2')
    for step in range(4):
        exchange(registries, (*names[1:], 'entry-1/2'), 2 + step / 2)
    shares = [registry.limit('caterers').share for registry in registries.values()]
    assert sum(shares) <= TOTAL_PARTS
    assert registries['entry-1/2'].limit('caterers').share > 0


def test_joining_entry_admits_an_equal_part_until_it_receives_shares() -> None:
    joining = LimitRegistry('entry-3')
    joining.receive('entry-1', Division(1, ('entry-1', 'entry-2')), (), 0)
    admitted = [joining.admit('caterers', 90, step / 30) for step in range(30 * 4)]
    assert admitted[: 30 * 2].count(WithinLimit()) == 30 * 2
    assert admitted[30 * 3 :].count(WithinLimit()) == 0


def test_request_before_the_first_division_does_not_keep_an_entry_from_joining() -> None:
    # Otherwise a restarted entry refuses requests with organisation_limit
    # (tests/e2e/test_operations.py).
    received_at = 0.5
    joining = LimitRegistry('entry-3')
    joining.admit('caterers', 90, 0)
    joining.receive('entry-1', Division(1, ('entry-1', 'entry-2')), (), received_at)
    steps = range(30 * 4)
    admitted = [joining.admit('caterers', 90, received_at + step / 30) for step in steps]
    assert admitted[: 30 * 2].count(WithinLimit()) == 30 * 2
    assert admitted[30 * 3 :].count(WithinLimit()) == 0


def test_stopping_entry_is_not_part_of_the_next_division() -> None:
    names = ('entry-1', 'entry-2', 'entry-3')
    registries = {name: LimitRegistry(name, Division(1, names)) for name in names}
    registries['entry-3'].admit('caterers', 100, 0)
    registries['entry-1'].update_connected(frozenset(names[1:]), 0)
    release_all(registries, 'entry-3', names[:2], 1)
    registries['entry-1'].update_division(1, 2)
    assert registries['entry-1'].division.epoch == 1
    registries['entry-1'].update_connected(frozenset(('entry-2', 'entry-4')), 3)
    registries['entry-1'].update_division(1, 3)
    assert registries['entry-1'].division.entries == ('entry-1', 'entry-2', 'entry-4')


def release_all(
    registries: dict[str, LimitRegistry], stopping: str, others: tuple[str, ...], now: float
) -> None:
    registry = registries[stopping]
    updates = registry.release_shares(now)
    for receiver in others:
        registries[receiver].receive(stopping, registry.division, updates, now)


def exchange(registries: dict[str, LimitRegistry], live: tuple[str, ...], now: float) -> None:
    for sender in live:
        registry = registries[sender]
        updates = registry.share_updates(now)
        for receiver in live:
            if receiver != sender:
                registries[receiver].receive(sender, registry.division, updates, now)
