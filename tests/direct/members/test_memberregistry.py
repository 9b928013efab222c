"""Tests of the registries of entries and regions, and of the addresses that callers receive."""

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
from cassiahitch.wire.datagrammessages import MemberState, RegionState


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


def usable_names(registry: MemberRegistry) -> set[str]:
    return {member.name for member in registry.usable_members()}


def test_silent_entry_is_not_usable_until_it_reports_a_newer_state() -> None:
    registry = MemberRegistry(state(1))
    registry.apply(state(2), 10)
    assert usable_names(registry) == {'entry-1', 'entry-2'}
    assert registry.mark_silent('entry-2', 11)
    assert not registry.mark_silent('entry-2', 11)
    assert usable_names(registry) == {'entry-1'}
    assert not registry.apply(state(2), 12)
    assert registry.apply(state(2, sequence=2), 12)
    assert usable_names(registry) == {'entry-1', 'entry-2'}


def test_entry_that_stops_or_is_not_ready_is_not_usable() -> None:
    registry = MemberRegistry(state(1))
    registry.apply(replace(state(2), leaving=True), 10)
    registry.apply(replace(state(3), ready=False), 10)
    assert usable_names(registry) == {'entry-1'}


def test_older_state_of_one_incarnation_is_ignored_in_any_order_of_arrival() -> None:
    registry = MemberRegistry(state(1))
    assert registry.apply(replace(state(2, 5), leaving=True), 10)
    assert not registry.apply(state(2, 4), 10)
    assert usable_names(registry) == {'entry-1'}
    assert registry.apply(replace(state(2), incarnation=2), 10)
    assert usable_names(registry) == {'entry-1', 'entry-2'}


def test_entry_refutes_a_report_of_its_silence() -> None:
    registry = MemberRegistry(state(1, 4))
    assert not registry.apply(replace(state(1, 3), silent=True), 10)
    assert registry.apply(replace(state(1, 4), silent=True), 10)
    assert (registry.own.sequence, registry.own.silent, registry.own.ready) == (5, False, True)


def test_entry_whose_clock_was_set_back_before_its_restart_supersedes_its_older_state() -> None:
    # An incarnation is the start time; other entries still hold the higher one from before.
    registry = MemberRegistry(state(1))
    assert registry.apply(replace(state(1, 9), incarnation=7), 10)
    assert (registry.own.incarnation, registry.own.sequence) == (7, 10)


def test_states_of_entries_of_other_regions_are_not_stored() -> None:
    registry = MemberRegistry(state(1))
    assert not registry.apply(replace(state(2), region='south'), 10)
    assert registry.live_members() == ()


def test_addresses_without_a_known_entry_are_contacted_until_they_expire() -> None:
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


def test_region_has_a_few_endpoints_and_is_counted_longer_than_they_are_used() -> None:
    states = tuple(state(number) for number in range(1, 9))
    summary = summarize_region('south', (replace(states[0], ready=False), *states[1:]))
    assert (summary.live, len(summary.endpoints)) == (8, 3)
    registry = RegionRegistry('north')
    registry.apply(summary, 10)
    registry.apply(replace(summary, live=2, age_ms=500), 10)
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


def test_invalid_endpoint_of_a_region_is_ignored() -> None:
    registry = RegionRegistry('north')
    registry.apply(RegionState('south', 0, 2, ('nowhere', '10.1.0.1:80')), 10)
    assert registry.endpoints(10) == (Endpoint('10.1.0.1', 80),)


def test_callers_use_entries_of_their_region_if_there_are_a_few() -> None:
    rng = random.Random(1)
    own = weight_by_capacity((state(1), state(2)))
    others = [Endpoint('10.1.0.1', 80), Endpoint('10.1.0.2', 80)]

    def chosen(*own_endpoints: Endpoint) -> set[Endpoint]:
        by_region = {'north': list(own_endpoints), 'south': others}
        return set(choose_addresses(by_region, 'north', frozenset(), rng))

    assert chosen(*own) == set(own)
    assert chosen(own[0]) == {own[0], *others}
    assert chosen() == set(others)


def test_callers_of_restricted_routes_use_entries_of_allowed_regions() -> None:
    """Guards against requests that the directory sends to regions that their routes exclude."""
    by_region = {
        name: [Endpoint(f'10.{number}.0.1', 80), Endpoint(f'10.{number}.0.2', 80)]
        for number, name in enumerate(('north', 'east', 'south'))
    }
    rng = random.Random(1)

    def chosen(region: str, *allowed: str) -> set[Endpoint]:
        return set(choose_addresses(by_region, region, frozenset(allowed), rng))

    assert chosen('north', 'east') == set(by_region['north'])
    assert chosen('west', 'east') == set(by_region['east'])
    assert chosen('west', 'nowhere') == {host for hosts in by_region.values() for host in hosts}


def test_larger_host_has_a_larger_weight() -> None:
    large = replace(state(3), capacity=215)
    small = tuple(replace(state(number), capacity=103) for number in (1, 2))
    endpoints = weight_by_capacity((*small, large))
    assert [endpoint.address for endpoint in endpoints].count('10.0.0.3') == 2
    assert len(endpoints) == 4
