"""Tests that entries learn of each other, played in virtual time over a wire that loses."""

from __future__ import annotations

import math
from functools import cache

import pytest
from member_wire import MemberWire

from cassiahitch.direct.members.gossip import Gossip

SIZES = (10, 30, 100, 300)
#: What control may take of a host, in bytes a second.
MOST_BYTES = 10_000
#: Seconds in which nearly all, and all, entries of a region know that one is about to end.
NEARLY_ALL = 0.9
NEARLY_ALL_S = 0.05
ALL_S = 0.5
#: Seconds after which an entry that died is named no more.
SILENT_S = 1.6
STARTED_S = 2.0
#: Seconds after which a host that was frozen is known again.
BACK_S = 1.5
#: Part of the other entries that is known though datagrams are lost.
LEAST_KNOWN = 0.99


def near(wire: MemberWire, gossip: Gossip) -> list[Gossip]:
    return [
        one for one in wire.alive() if one is not gossip and not gossip.is_remote(one.registry.own)
    ]


def address(wire: MemberWire, number: int) -> str:
    return list(wire.members)[number]


def settled(entries: int, **options: float) -> MemberWire:
    wire = MemberWire(entries, **options)  # type: ignore[arg-type]
    wire.run_until(wire.all_know_all, 20)
    return wire


@cache
def sent_in_start(entries: int) -> float:
    wire = MemberWire(entries)
    wire.run(STARTED_S)
    return sum(wire.sent.values()) / entries


@pytest.mark.parametrize('entries', SIZES)
def test_in_calm_a_host_sends_no_more_when_there_are_more_hosts(entries: int) -> None:
    wire = settled(entries)
    wire.run(1)
    wire.calm()
    wire.run(3)
    busiest = max(wire.sent_bytes.values()) / 3
    assert busiest <= MOST_BYTES
    datagrams = sum(wire.sent.values()) / entries / 3
    # Each message to another region is answered; small regions speak to others more often.
    assert datagrams <= 25


@pytest.mark.parametrize('entries', SIZES[2:])
def test_after_a_common_start_datagrams_of_a_host_grow_no_faster_than_the_logarithm(
    entries: int,
) -> None:
    base = SIZES[1]
    assert sent_in_start(entries) <= sent_in_start(base) * math.log(entries) / math.log(base)


@pytest.mark.parametrize('entries', SIZES)
def test_entries_that_start_together_know_each_other_soon(entries: int) -> None:
    wire = MemberWire(entries)
    assert wire.run_until(wire.all_know_all, 10) <= 4


@pytest.mark.parametrize('entries', SIZES)
def test_entries_that_start_together_know_nearly_all_though_datagrams_are_lost(
    entries: int,
) -> None:
    wire = MemberWire(entries, loss=0.05)
    wire.run(4)
    for _ in range(10):
        wire.run(0.1)
        assert wire.known_share() >= LEAST_KNOWN


def test_entries_find_each_other_without_the_store() -> None:
    wire = MemberWire(30, rows=False)
    assert wire.run_until(wire.all_know_all, 10) <= 6


@pytest.mark.parametrize('entries', SIZES)
def test_entry_that_leaves_is_named_no_more_at_once(entries: int) -> None:
    wire = settled(entries)
    wire.run(1)
    gossip = wire.members[address(wire, 1)]
    name = gossip.registry.own.name
    others = near(wire, gossip)
    wire.change(address(wire, 1), leaving=True)
    wire.run(NEARLY_ALL_S)
    know = sum(one.registry.peers[name].leaving for one in others)
    assert know >= NEARLY_ALL * len(others)
    wire.run(ALL_S - NEARLY_ALL_S)
    assert all(one.registry.peers[name].leaving for one in others)


@pytest.mark.parametrize('entries', SIZES)
def test_entry_that_dies_is_named_no_more(entries: int) -> None:
    wire = settled(entries)
    gossip = wire.members[address(wire, 1)]
    wire.down.add(address(wire, 1))
    wire.run(SILENT_S)
    known = [one.registry.peers[gossip.registry.own.name].silent for one in near(wire, gossip)]
    assert known
    assert all(known)


def test_half_of_a_region_that_dies_at_once_is_named_no_more() -> None:
    wire = settled(100)
    victims = [one for number, one in enumerate(wire.members) if number % 10 == 0]
    names = {wire.members[one].registry.own.name for one in victims}
    others = near(wire, wire.members[victims[0]])
    wire.down.update(victims)
    wire.run(2 * SILENT_S)
    for one in others:
        if one.registry.own.name not in names:
            assert not names.intersection(state.name for state in one.registry.live_members())


@pytest.mark.parametrize('loss', [0.02, 0.05])
def test_lost_datagrams_make_nobody_silent_for_long(loss: float) -> None:
    wire = settled(30, loss=loss)
    missing = 0
    for _ in range(100):
        wire.run(0.1)
        missing += sum(
            len(one.registry.peers) - len(one.registry.live_members()) for one in wire.alive()
        )
    # Of 100 looks of 30 entries at 5 others each.
    assert missing <= 150


def test_host_that_was_frozen_is_back_at_once() -> None:
    wire = settled(30)
    frozen = address(wire, 1)
    gossip = wire.members[frozen]
    wire.frozen.add(frozen)
    wire.run(5)
    others = near(wire, gossip)
    assert not any(
        gossip.registry.own.name in {one.name for one in one.registry.live_members()}
        for one in others
    )
    wire.frozen.clear()
    assert wire.run_until(wire.all_know_all, BACK_S) <= BACK_S


def test_cut_between_two_regions_makes_nobody_silent() -> None:
    wire = settled(30)
    wire.cut.add(frozenset(('region-0', 'region-1')))
    for _ in range(50):
        wire.run(0.1)
        assert wire.all_know_all()


def test_region_that_is_cut_off_stays_counted_and_is_used_no_more() -> None:
    wire = settled(30)
    wire.cut.update(frozenset(('region-0', f'region-{other}')) for other in range(1, 5))
    wire.run(5)
    outside = wire.members[address(wire, 1)]
    assert outside.regions.endpoints(wire.now, 'region-0') == ()
    assert outside.entry_count(wire.now) == 30
    wire.run(8)
    assert outside.entry_count(wire.now) == 24
    wire.cut.clear()
    assert wire.run_until(wire.all_know_all, 10) <= 2


def test_newcomer_is_known_to_all_and_makes_nobody_speak_to_all() -> None:
    wire = settled(100)
    wire.run(2)
    wire.calm()
    wire.add(100)
    assert wire.run_until(lambda: len(wire.members) == 101 and wire.all_know_all(), 5) <= 2
    assert max(wire.sent.values()) <= 60


def test_versions_reach_an_entry_that_has_just_started() -> None:
    wire = settled(10)
    fresh = wire.add(10)
    wire.run(0.6)
    assert wire.heard[fresh] == {2, 3}
