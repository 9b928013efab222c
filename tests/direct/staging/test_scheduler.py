"""Tests of the choice of chunks and sources, played in virtual time over slow links."""

from __future__ import annotations

import pytest
from swarm_play import CHUNKS, LINK_S, ORIGIN_S, Play, make_fleet, make_swarm

from cassiahitch.direct.staging.fleet import FromOrigin, FromPeer
from cassiahitch.direct.staging.scheduler import HOLDER_EXPIRY_S, TAKEOVER_DELAY_S
from cassiahitch.weights.plan import Participant


@pytest.mark.parametrize(('regions', 'hosts'), [(3, 3), (3, 14), (4, 10)])
def test_version_is_everywhere_in_little_more_than_the_time_of_one_link(
    regions: int, hosts: int
) -> None:
    play = Play(make_fleet(regions, hosts))
    assert play.run(20) < 1.45 * CHUNKS * LINK_S
    assert play.from_origin == CHUNKS
    assert play.crossings <= CHUNKS * regions


def test_agents_that_never_answer_delay_a_version_by_seconds_only() -> None:
    participants = make_fleet(3, 5)
    dead = frozenset(participants[number].host for number in (0, 6, 12))
    play = Play(participants, dead)
    assert play.run(40) < 2 * CHUNKS * LINK_S + HOLDER_EXPIRY_S + 2 * TAKEOVER_DELAY_S


def test_chunks_are_asked_of_the_origin_in_turn_at_its_rate() -> None:
    swarm = make_swarm(make_fleet(1, 1))
    assert swarm.schedule(0) == (FromOrigin(0),)
    swarm.record_arrival(0, ORIGIN_S / 2)
    assert not swarm.schedule(ORIGIN_S / 2)
    assert swarm.schedule(ORIGIN_S) == (FromOrigin(1),)


def test_chunk_is_fetched_from_the_least_busy_holder() -> None:
    participants = make_fleet(1, 4)
    swarm = make_swarm(participants)
    first, second, third = (one.host for one in participants[1:])
    swarm.update_holder(first, 1, 5, 0)
    swarm.update_holder(second, 2, 3, 0)
    swarm.update_holder(third, 1, 0, 0)
    found = [order for order in swarm.schedule(0) if isinstance(order, FromPeer)]
    assert found == [FromPeer(0, third), FromPeer(1, second)]


def test_holder_that_failed_is_asked_last() -> None:
    participants = make_fleet(1, 3)
    swarm = make_swarm(participants)
    first, second = (one.host for one in participants[1:])
    swarm.update_holder(first, 1, 0, 0)
    swarm.update_holder(second, 1, 9, 0)
    swarm.record_failure(FromPeer(0, first), 0)
    swarm.update_holder(first, 1, 0, 0.1)
    assert FromPeer(0, second) in swarm.schedule(0.1)


def test_origin_that_fails_is_asked_again_after_growing_pauses() -> None:
    swarm = make_swarm(make_fleet(1, 1))
    times: list[float] = []
    for step in range(1000):
        now = step / 100
        for order in swarm.schedule(now):
            times.append(now)
            swarm.record_failure(order, now)
    pauses = [after - before for before, after in zip(times, times[1:], strict=False)]
    assert max(pauses) > 4 * pauses[0]
    assert max(pauses) < 3
    assert len(times) < 20


def test_region_without_agents_that_answer_does_not_keep_the_next_one_waiting_for_ever() -> None:
    participants = (*make_fleet(1, 2), Participant('10.9.0.1', 'region-9', 'domain-9'))
    dead = frozenset(('10.9.0.1',))
    play = Play(participants, dead)
    assert play.run(60) < 30


def test_agent_that_joins_late_fetches_from_those_that_hold_the_version() -> None:
    participants = make_fleet(1, 3)
    swarm = make_swarm(participants)
    whole = (1 << CHUNKS) - 1
    for other in participants[1:]:
        swarm.update_holder(other.host, whole, 0, 0)
    assert all(isinstance(order, FromPeer) for order in swarm.schedule(0))


def test_fewer_chunks_are_received_at_once_over_a_link_that_is_slow() -> None:
    participants = make_fleet(1, 2)
    swarm = make_swarm(participants)
    swarm.update_holder(participants[1].host, (1 << CHUNKS) - 1, 0, 0)
    first = swarm.schedule(0)
    for order in first:
        swarm.record_arrival(order.index, 2)
    swarm.update_holder(participants[1].host, (1 << CHUNKS) - 1, 0, 2)
    assert len(swarm.schedule(2)) == 1
