"""Tests of the gossip protocol, simulated in virtual time over a network that loses datagrams."""

from __future__ import annotations

import math
from functools import cache

import pytest
from member_wire import GossipSimulation

from cassiahitch.direct.members.gossip import Gossip

SIZES = (10, 30, 100, 300)
#: Maximum bytes per second that the protocol may send from one host.
MAX_BYTES_PER_S = 10_000
#: Seconds within which most entries of a region, and all, receive the state of a stopping one.
MOST_SHARE = 0.9
MOST_INFORMED_S = 0.05
ALL_INFORMED_S = 0.5
#: Seconds within which all entries mark a crashed entry as silent.
MARKED_SILENT_S = 1.6
START_PHASE_S = 2.0
#: Seconds within which a host that was frozen counts as live again.
RECOVERY_S = 1.5
#: Least share of the other entries that are known while datagrams are lost.
MIN_KNOWN_SHARE = 0.99


def region_peers(wire: GossipSimulation, gossip: Gossip) -> list[Gossip]:
    return [
        peer
        for peer in wire.running_entries()
        if peer is not gossip and not gossip.is_remote(peer.registry.own)
    ]


def address(wire: GossipSimulation, number: int) -> str:
    return list(wire.members)[number]


def converged(entries: int, **options: float) -> GossipSimulation:
    wire = GossipSimulation(entries, **options)  # type: ignore[arg-type]
    wire.run_until(wire.all_views_complete, 20)
    return wire


@cache
def sent_per_entry_at_start(entries: int) -> float:
    wire = GossipSimulation(entries)
    wire.run(START_PHASE_S)
    return sum(wire.sent.values()) / entries


@pytest.mark.parametrize('entries', SIZES)
def test_traffic_of_a_host_does_not_grow_with_the_number_of_hosts(entries: int) -> None:
    wire = converged(entries)
    wire.run(1)
    wire.reset_counters()
    wire.run(3)
    busiest = max(wire.sent_bytes.values()) / 3
    assert busiest <= MAX_BYTES_PER_S
    datagrams = sum(wire.sent.values()) / entries / 3
    # Each report to another region gets a reply; a small region has a larger share of gateways.
    assert datagrams <= 25


@pytest.mark.parametrize('entries', SIZES[2:])
def test_after_a_common_start_datagrams_of_a_host_grow_no_faster_than_the_logarithm(
    entries: int,
) -> None:
    base = SIZES[1]
    assert sent_per_entry_at_start(entries) <= sent_per_entry_at_start(base) * math.log(
        entries
    ) / math.log(base)


@pytest.mark.parametrize('entries', SIZES)
def test_entries_that_start_together_know_each_other_soon(entries: int) -> None:
    wire = GossipSimulation(entries)
    assert wire.run_until(wire.all_views_complete, 10) <= 4


@pytest.mark.parametrize('entries', SIZES)
def test_entries_that_start_together_know_nearly_all_though_datagrams_are_lost(
    entries: int,
) -> None:
    wire = GossipSimulation(entries, loss=0.05)
    wire.run(4)
    for _ in range(10):
        wire.run(0.1)
        assert wire.mean_view_completeness() >= MIN_KNOWN_SHARE


def test_entries_find_each_other_without_the_store() -> None:
    wire = GossipSimulation(30, rows=False)
    assert wire.run_until(wire.all_views_complete, 10) <= 6


@pytest.mark.parametrize('entries', SIZES)
def test_entry_that_stops_is_known_as_stopping_at_once(entries: int) -> None:
    wire = converged(entries)
    wire.run(1)
    gossip = wire.members[address(wire, 1)]
    name = gossip.registry.own.name
    peers = region_peers(wire, gossip)
    wire.change(address(wire, 1), leaving=True)
    wire.run(MOST_INFORMED_S)
    informed = sum(peer.registry.peers[name].leaving for peer in peers)
    assert informed >= MOST_SHARE * len(peers)
    wire.run(ALL_INFORMED_S - MOST_INFORMED_S)
    assert all(peer.registry.peers[name].leaving for peer in peers)


@pytest.mark.parametrize('entries', SIZES)
def test_entry_that_crashes_is_marked_silent(entries: int) -> None:
    wire = converged(entries)
    gossip = wire.members[address(wire, 1)]
    wire.down.add(address(wire, 1))
    wire.run(MARKED_SILENT_S)
    silent = [
        peer.registry.peers[gossip.registry.own.name].silent for peer in region_peers(wire, gossip)
    ]
    assert silent
    assert all(silent)


def test_half_of_a_region_that_crashes_at_once_is_marked_silent() -> None:
    wire = converged(100)
    victims = [victim for number, victim in enumerate(wire.members) if number % 10 == 0]
    names = {wire.members[victim].registry.own.name for victim in victims}
    peers = region_peers(wire, wire.members[victims[0]])
    wire.down.update(victims)
    wire.run(2 * MARKED_SILENT_S)
    for peer in peers:
        if peer.registry.own.name not in names:
            assert not names.intersection(state.name for state in peer.registry.live_members())


@pytest.mark.parametrize('loss', [0.02, 0.05])
def test_lost_datagrams_mark_no_entry_silent_for_long(loss: float) -> None:
    wire = converged(30, loss=loss)
    missing = 0
    for _ in range(100):
        wire.run(0.1)
        missing += sum(
            len(gossip.registry.peers) - len(gossip.registry.live_members())
            for gossip in wire.running_entries()
        )
    # Out of 15000 states: 30 entries, each with 5 others, checked 100 times.
    assert missing <= 150


def test_host_that_was_frozen_is_live_again_at_once() -> None:
    wire = converged(30)
    frozen = address(wire, 1)
    gossip = wire.members[frozen]
    wire.frozen.add(frozen)
    wire.run(5)
    peers = region_peers(wire, gossip)
    assert not any(
        gossip.registry.own.name in {state.name for state in peer.registry.live_members()}
        for peer in peers
    )
    wire.frozen.clear()
    assert wire.run_until(wire.all_views_complete, RECOVERY_S) <= RECOVERY_S


def test_partition_between_two_regions_marks_no_entry_silent() -> None:
    wire = converged(30)
    wire.cut.add(frozenset(('region-0', 'region-1')))
    for _ in range(50):
        wire.run(0.1)
        assert wire.all_views_complete()


def test_partitioned_region_is_counted_for_longer_than_its_endpoints_are_used() -> None:
    wire = converged(30)
    wire.cut.update(frozenset(('region-0', f'region-{other}')) for other in range(1, 5))
    wire.run(5)
    outside = wire.members[address(wire, 1)]
    assert outside.regions.endpoints(wire.now, 'region-0') == ()
    assert outside.entry_count(wire.now) == 30
    wire.run(8)
    assert outside.entry_count(wire.now) == 24
    wire.cut.clear()
    assert wire.run_until(wire.all_views_complete, 10) <= 2


def test_new_entry_is_known_to_all_without_a_broadcast() -> None:
    wire = converged(100)
    wire.run(2)
    wire.reset_counters()
    wire.add(100)
    assert wire.run_until(lambda: len(wire.members) == 101 and wire.all_views_complete(), 5) <= 2
    assert max(wire.sent.values()) <= 60


def test_versions_reach_an_entry_that_has_just_started() -> None:
    wire = converged(10)
    fresh = wire.add(10)
    wire.run(0.6)
    assert wire.received_versions[fresh] == {2, 3}
