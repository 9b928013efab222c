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
#: Share of the entries of a region that counts as most of them, and seconds within which most, and
#: all, receive the state of a stopping entry.
MOST_SHARE = 0.9
MOST_INFORMED_S = 0.05
ALL_INFORMED_S = 0.5
#: Seconds within which all entries mark a crashed entry as silent.
MARKED_SILENT_S = 1.6
START_PHASE_S = 2.0
#: Seconds within which a host that was frozen counts as live again.
RECOVERY_S = 1.5
#: Least share of the other entries that each entry has discovered while datagrams are lost.
MIN_KNOWN_SHARE = 0.99


def region_peers(simulation: GossipSimulation, gossip: Gossip) -> list[Gossip]:
    return [
        peer
        for peer in simulation.running_entries()
        if peer is not gossip and not gossip.is_remote(peer.registry.own)
    ]


def address(simulation: GossipSimulation, number: int) -> str:
    return list(simulation.members)[number]


def converged(entries: int, **options: float) -> GossipSimulation:
    simulation = GossipSimulation(entries, **options)  # type: ignore[arg-type]
    simulation.run_until(simulation.all_views_complete, 20)
    return simulation


@cache
def sent_per_entry_at_start(entries: int) -> float:
    simulation = GossipSimulation(entries)
    simulation.run(START_PHASE_S)
    return sum(simulation.sent.values()) / entries


@pytest.mark.parametrize('entries', SIZES)
def test_traffic_of_a_host_does_not_grow_with_the_number_of_hosts(entries: int) -> None:
    simulation = converged(entries)
    simulation.run(1)
    simulation.reset_counters()
    simulation.run(3)
    busiest = max(simulation.sent_bytes.values()) / 3
    assert busiest <= MAX_BYTES_PER_S
    datagrams = sum(simulation.sent.values()) / entries / 3
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
    simulation = GossipSimulation(entries)
    assert simulation.run_until(simulation.all_views_complete, 10) <= 4


@pytest.mark.parametrize('entries', SIZES)
def test_entries_that_start_together_know_nearly_all_though_datagrams_are_lost(
    entries: int,
) -> None:
    simulation = GossipSimulation(entries, loss=0.05)
    simulation.run(4)
    for _ in range(10):
        simulation.run(0.1)
        assert simulation.mean_view_completeness() >= MIN_KNOWN_SHARE


def test_entries_find_each_other_without_the_store() -> None:
    simulation = GossipSimulation(30, rows=False)
    assert simulation.run_until(simulation.all_views_complete, 10) <= 6


@pytest.mark.parametrize('entries', SIZES)
def test_entry_that_stops_is_known_as_stopping_at_once(entries: int) -> None:
    simulation = converged(entries)
    simulation.run(1)
    gossip = simulation.members[address(simulation, 1)]
    name = gossip.registry.own.name
    peers = region_peers(simulation, gossip)
    simulation.change(address(simulation, 1), leaving=True)
    simulation.run(MOST_INFORMED_S)
    informed = sum(peer.registry.peers[name].leaving for peer in peers)
    assert informed >= MOST_SHARE * len(peers)
    simulation.run(ALL_INFORMED_S - MOST_INFORMED_S)
    assert all(peer.registry.peers[name].leaving for peer in peers)


@pytest.mark.parametrize('entries', SIZES)
def test_entry_that_crashes_is_marked_silent(entries: int) -> None:
    simulation = converged(entries)
    gossip = simulation.members[address(simulation, 1)]
    simulation.down.add(address(simulation, 1))
    simulation.run(MARKED_SILENT_S)
    silent = [
        peer.registry.peers[gossip.registry.own.name].silent
        for peer in region_peers(simulation, gossip)
    ]
    assert silent
    assert all(silent)


def test_half_of_a_region_that_crashes_at_once_is_marked_silent() -> None:
    simulation = converged(100)
    victims = [victim for number, victim in enumerate(simulation.members) if number % 10 == 0]
    names = {simulation.members[victim].registry.own.name for victim in victims}
    peers = region_peers(simulation, simulation.members[victims[0]])
    simulation.down.update(victims)
    simulation.run(2 * MARKED_SILENT_S)
    for peer in peers:
        if peer.registry.own.name not in names:
            assert not names.intersection(state.name for state in peer.registry.live_members())


@pytest.mark.parametrize('loss', [0.02, 0.05])
def test_lost_datagrams_mark_no_entry_silent_for_long(loss: float) -> None:
    simulation = converged(30, loss=loss)
    missing = 0
    for _ in range(100):
        simulation.run(0.1)
        missing += sum(
            len(gossip.registry.peers) - len(gossip.registry.live_members())
            for gossip in simulation.running_entries()
        )
    # Out of 15000 states: 30 entries, each with 5 others, checked 100 times.
    assert missing <= 150


def test_host_that_was_frozen_is_live_again_at_once() -> None:
    simulation = converged(30)
    frozen = address(simulation, 1)
    gossip = simulation.members[frozen]
    simulation.frozen.add(frozen)
    simulation.run(5)
    peers = region_peers(simulation, gossip)
    assert not any(
        gossip.registry.own.name in {state.name for state in peer.registry.live_members()}
        for peer in peers
    )
    simulation.frozen.clear()
    assert simulation.run_until(simulation.all_views_complete, RECOVERY_S) <= RECOVERY_S


def test_partition_between_two_regions_marks_no_entry_silent() -> None:
    simulation = converged(30)
    simulation.cut.add(frozenset(('region-0', 'region-1')))
    for _ in range(50):
        simulation.run(0.1)
        assert simulation.all_views_complete()


def test_partitioned_region_is_counted_for_longer_than_its_endpoints_are_used() -> None:
    simulation = converged(30)
    simulation.cut.update(frozenset(('region-0', f'region-{other}')) for other in range(1, 5))
    simulation.run(5)
    outside = simulation.members[address(simulation, 1)]
    assert outside.regions.endpoints(simulation.now, 'region-0') == ()
    assert outside.entry_count(simulation.now) == 30
    simulation.run(8)
    assert outside.entry_count(simulation.now) == 24
    simulation.cut.clear()
    assert simulation.run_until(simulation.all_views_complete, 10) <= 2


def test_new_entry_is_known_to_all_without_a_broadcast() -> None:
    simulation = converged(100)
    simulation.run(2)
    simulation.reset_counters()
    simulation.add(100)
    assert (
        simulation.run_until(
            lambda: len(simulation.members) == 101 and simulation.all_views_complete(), 5
        )
        <= 2
    )
    assert max(simulation.sent.values()) <= 60


def test_versions_reach_an_entry_that_has_just_started() -> None:
    simulation = converged(10)
    fresh = simulation.add(10)
    simulation.run(0.6)
    assert simulation.received_versions[fresh] == {2, 3}
