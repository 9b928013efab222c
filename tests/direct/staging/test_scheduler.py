"""Tests of the choice of chunks and sources, simulated in virtual time over slow links."""

from __future__ import annotations

import pytest
from swarm_play import CHUNKS, LINK_S, ORIGIN_S, SwarmSimulation, make_participants, make_scheduler

from cassiahitch.direct.staging.fleet import FromOrigin, FromPeer
from cassiahitch.direct.staging.scheduler import HOLDER_EXPIRY_S, TAKEOVER_DELAY_S
from cassiahitch.weights.plan import Participant


@pytest.mark.parametrize(('regions', 'hosts'), [(3, 3), (3, 14), (4, 10)])
def test_all_hosts_get_a_version_in_little_more_time_than_one_link_needs(
    regions: int, hosts: int
) -> None:
    simulation = SwarmSimulation(make_participants(regions, hosts))
    assert simulation.run(20) < 1.45 * CHUNKS * LINK_S
    assert simulation.origin_chunks == CHUNKS
    assert simulation.cross_region_transfers <= CHUNKS * regions


def test_agents_that_never_reply_delay_a_version_by_seconds_only() -> None:
    participants = make_participants(3, 5)
    dead = frozenset(participants[number].host for number in (0, 6, 12))
    simulation = SwarmSimulation(participants, dead)
    assert simulation.run(40) < 2 * CHUNKS * LINK_S + HOLDER_EXPIRY_S + 2 * TAKEOVER_DELAY_S


def test_chunks_are_requested_from_the_origin_one_by_one_at_its_rate() -> None:
    scheduler = make_scheduler(make_participants(1, 1))
    assert scheduler.schedule(0) == (FromOrigin(0),)
    scheduler.record_arrival(0, ORIGIN_S / 2)
    assert not scheduler.schedule(ORIGIN_S / 2)
    assert scheduler.schedule(ORIGIN_S) == (FromOrigin(1),)


def test_chunk_is_fetched_from_the_least_busy_holder() -> None:
    participants = make_participants(1, 4)
    scheduler = make_scheduler(participants)
    first, second, third = (agent.host for agent in participants[1:])
    scheduler.update_holder(first, 1, 5, 0)
    scheduler.update_holder(second, 2, 3, 0)
    scheduler.update_holder(third, 1, 0, 0)
    fetches = [fetch for fetch in scheduler.schedule(0) if isinstance(fetch, FromPeer)]
    assert fetches == [FromPeer(0, third), FromPeer(1, second)]


def test_holder_that_failed_is_chosen_last() -> None:
    participants = make_participants(1, 3)
    scheduler = make_scheduler(participants)
    first, second = (agent.host for agent in participants[1:])
    scheduler.update_holder(first, 1, 0, 0)
    scheduler.update_holder(second, 1, 9, 0)
    scheduler.record_failure(FromPeer(0, first), 0)
    scheduler.update_holder(first, 1, 0, 0.1)
    assert FromPeer(0, second) in scheduler.schedule(0.1)


def test_failing_origin_is_retried_after_growing_delays() -> None:
    scheduler = make_scheduler(make_participants(1, 1))
    times: list[float] = []
    for step in range(1000):
        now = step / 100
        for fetch in scheduler.schedule(now):
            times.append(now)
            scheduler.record_failure(fetch, now)
    delays = [after - before for before, after in zip(times, times[1:], strict=False)]
    assert max(delays) > 4 * delays[0]
    assert max(delays) < 3
    assert len(times) < 20


def test_region_whose_agents_never_reply_does_not_block_the_next_region() -> None:
    participants = (*make_participants(1, 2), Participant('10.9.0.1', 'region-9', 'domain-9'))
    dead = frozenset(('10.9.0.1',))
    simulation = SwarmSimulation(participants, dead)
    assert simulation.run(60) < 30


def test_agent_that_joins_late_fetches_from_those_that_hold_the_version() -> None:
    participants = make_participants(1, 3)
    scheduler = make_scheduler(participants)
    all_chunks = (1 << CHUNKS) - 1
    for other in participants[1:]:
        scheduler.update_holder(other.host, all_chunks, 0, 0)
    assert all(isinstance(fetch, FromPeer) for fetch in scheduler.schedule(0))


def test_fewer_chunks_are_received_at_once_over_a_link_that_is_slow() -> None:
    participants = make_participants(1, 2)
    scheduler = make_scheduler(participants)
    scheduler.update_holder(participants[1].host, (1 << CHUNKS) - 1, 0, 0)
    first = scheduler.schedule(0)
    for fetch in first:
        scheduler.record_arrival(fetch.index, 2)
    scheduler.update_holder(participants[1].host, (1 << CHUNKS) - 1, 0, 2)
    assert len(scheduler.schedule(2)) == 1
