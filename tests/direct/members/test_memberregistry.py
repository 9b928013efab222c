"""Tests of the entries that know each other, and of those that callers are told to use."""

from __future__ import annotations

import random
from dataclasses import replace

from cassiahitch.direct.members.addresses import choose_addresses, weight_by_capacity
from cassiahitch.direct.members.memberregistry import (
    ADDRESS_EXPIRY_S,
    SILENT_EXPIRY_S,
    MemberRegistry,
)
from cassiahitch.direct.members.regions import (
    ENDPOINTS_EXPIRY_S,
    LIVE_COUNT_EXPIRY_S,
    RegionRegistry,
    summarize_region,
)
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.beats import MemberState, RegionState


def state(number: int, sequence: int = 1) -> MemberState:
    return MemberState(
        name=f'entry-{number}',
        incarnation=1,
        sequence=sequence,
        address=f'10.0.0.{number}',
        http_port=80,
        ready=True,
        region='north',
    )


def names(registry: MemberRegistry) -> set[str]:
    return {one.name for one in registry.usable_members()}


def test_entry_that_is_silent_is_named_no_more_until_it_answers() -> None:
    registry = MemberRegistry(state(1))
    registry.apply(state(2), 10)
    assert names(registry) == {'entry-1', 'entry-2'}
    assert registry.mark_silent('entry-2', 11)
    assert not registry.mark_silent('entry-2', 11)
    assert names(registry) == {'entry-1'}
    assert not registry.apply(state(2), 12)
    assert registry.apply(state(2, sequence=2), 12)
    assert names(registry) == {'entry-1', 'entry-2'}


def test_entry_that_leaves_or_is_not_ready_is_not_named() -> None:
    registry = MemberRegistry(state(1))
    registry.apply(replace(state(2), leaving=True), 10)
    registry.apply(replace(state(3), ready=False), 10)
    assert names(registry) == {'entry-1'}


def test_older_state_of_one_incarnation_is_ignored_in_any_order_of_arrival() -> None:
    registry = MemberRegistry(state(1))
    assert registry.apply(replace(state(2, 5), leaving=True), 10)
    assert not registry.apply(state(2, 4), 10)
    assert names(registry) == {'entry-1'}
    assert registry.apply(replace(state(2), incarnation=2), 10)
    assert names(registry) == {'entry-1', 'entry-2'}


def test_entry_that_is_called_silent_contradicts() -> None:
    registry = MemberRegistry(state(1, 4))
    assert not registry.apply(replace(state(1, 3), silent=True), 10)
    assert registry.apply(replace(state(1, 4), silent=True), 10)
    assert (registry.own.sequence, registry.own.silent, registry.own.ready) == (5, False, True)


def test_entry_whose_clock_was_set_back_before_its_restart_is_believed() -> None:
    # An incarnation is the time of the start; others still know the later one.
    registry = MemberRegistry(state(1))
    assert registry.apply(replace(state(1, 9), incarnation=7), 10)
    assert (registry.own.incarnation, registry.own.sequence) == (7, 10)


def test_entries_of_other_regions_are_not_kept_one_by_one() -> None:
    registry = MemberRegistry(state(1))
    assert not registry.apply(replace(state(2), region='south'), 10)
    assert registry.live_members() == ()


def test_addresses_without_a_known_entry_are_greeted_for_a_while() -> None:
    registry = MemberRegistry(state(1))
    registry.add_addresses(
        {'10.0.0.2': 'north', '10.0.0.3': '', '10.1.0.4': 'south', '10.0.0.1': 'north'}, 10
    )
    registry.apply(state(2), 10)
    assert registry.unconfirmed_addresses() == ('10.0.0.3',)
    assert registry.addresses_of('south') == ('10.1.0.4',)
    registry.mark_silent('entry-2', 11)
    assert registry.unconfirmed_addresses() == ('10.0.0.2', '10.0.0.3')
    registry.expire(11 + SILENT_EXPIRY_S + ADDRESS_EXPIRY_S)
    assert (registry.unconfirmed_addresses(), registry.peers) == ((), {})


def test_other_region_is_named_by_a_few_entries_and_counted_longer_than_used() -> None:
    states = tuple(state(number) for number in range(1, 9))
    told = summarize_region('south', (replace(states[0], ready=False), *states[1:]))
    assert (told.live, len(told.endpoints)) == (8, 3)
    registry = RegionRegistry('north')
    registry.apply(told, 10)
    registry.apply(replace(told, live=2, age_ms=500), 10)
    assert (
        len(registry.endpoints(10)),
        len(registry.endpoints(10, 'east')),
        registry.live_count(10),
    ) == (3, 0, 8)
    assert registry.endpoints(10.1 + ENDPOINTS_EXPIRY_S) == ()
    assert registry.current_states(10.1 + ENDPOINTS_EXPIRY_S) == ()
    assert (
        registry.live_count(10.1 + ENDPOINTS_EXPIRY_S),
        registry.live_count(10.1 + LIVE_COUNT_EXPIRY_S),
    ) == (8, 0)


def test_endpoint_that_cannot_be_read_names_no_entry() -> None:
    registry = RegionRegistry('north')
    registry.apply(RegionState('south', 0, 2, ('nowhere', '10.1.0.1:80')), 10)
    assert registry.endpoints(10) == (Endpoint('10.1.0.1', 80),)


def test_callers_use_entries_of_their_region_if_there_are_a_few() -> None:
    rng = random.Random(1)
    own = weight_by_capacity((state(1), state(2)))
    far = [Endpoint('10.1.0.1', 80), Endpoint('10.1.0.2', 80)]
    assert set(choose_addresses(own, far, rng)) == set(own)
    assert set(choose_addresses(own[:1], far, rng)) == {own[0], *far}
    assert set(choose_addresses([], [*own, *far], rng)) == {*own, *far}


def test_larger_host_is_named_as_often_as_it_is_larger() -> None:
    large = replace(state(3), capacity=215)
    small = tuple(replace(state(number), capacity=103) for number in (1, 2))
    named = weight_by_capacity((*small, large))
    assert [endpoint.address for endpoint in named].count('10.0.0.3') == 2
    assert len(named) == 4
