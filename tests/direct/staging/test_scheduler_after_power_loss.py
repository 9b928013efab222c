"""Tests of how fast a version is back after a loss of power, and what it costs at the origin.

The bound is that of binary trees with a copy from the origin for each region: the origin sends to
all regions at once, no link ever idles, and a chunk passes through as many hosts as a tree is
deep, each of which sends it twice, one time after the other.
"""

from __future__ import annotations

from math import ceil, log2

import pytest
from swarm_play import CHUNKS, Play, Rates, make_swarm

from cassiahitch.direct.staging.fetching import ORIGIN_INTERVAL_FACTOR
from cassiahitch.direct.staging.fleet import FromOrigin, FromRegion
from cassiahitch.direct.staging.scheduler import MAX_ORIGIN_FAILURES, REGION_LATE_AFTER_S
from cassiahitch.direct.staging.urgency import FetchUrgency, origin_region_capacity
from cassiahitch.weights.plan import Participant

#: Links of 4.7 Mbit/s of which chunks use 0.92, an origin of 15, regions of 13, chunks of 49 kB.
RATES = Rates(
    link_s=0.0909,
    origin_s=0.0262,
    region_s=0.0302,
    crossing_s=0.186,
    first_region='region-0',
    pace=ORIGIN_INTERVAL_FACTOR,
)
REGIONS = 3
WHOLE = (1 << CHUNKS) - 1
SIZES = pytest.mark.parametrize(('agents', 'rates'), [(10, RATES), (25, RATES)])


def make_agents(count: int) -> tuple[Participant, ...]:
    return tuple(
        Participant(f'10.{number % REGIONS}.0.{number}', f'region-{number % REGIONS}', 'domain')
        for number in range(count)
    )


def trees_s(agents: int, rates: Rates) -> float:
    """Return when such trees are done, and one look of an agent."""
    depth = ceil(log2(agents / REGIONS + 1))
    chunk_s = max(rates.link_s, REGIONS * rates.origin_s)
    return CHUNKS * chunk_s + 2 * depth * rates.link_s + rates.step_s


def play(agents: int, rates: Rates, held: dict[str, int], *, urgent: bool) -> Play:
    participants = make_agents(agents)
    empty = frozenset(one.host for one in participants if one.host not in held)
    found = Play(participants, rates=rates, held=held, urgent=empty if urgent else frozenset())
    assert found.run(30) < 30
    return found


@SIZES
def test_all_agents_empty(agents: int, rates: Rates) -> None:
    found = play(agents, rates, {}, urgent=True)
    assert found.half_at() <= trees_s(agents, rates)
    assert found.from_origin <= REGIONS * CHUNKS


@SIZES
def test_one_agent_that_has_everything_does_not_keep_the_others_waiting(
    agents: int, rates: Rates
) -> None:
    found = play(agents, rates, {make_agents(agents)[0].host: WHOLE}, urgent=True)
    assert found.half_at() <= trees_s(agents, rates)
    assert found.from_origin <= REGIONS * CHUNKS


@SIZES
def test_one_region_empty(agents: int, rates: Rates) -> None:
    held = {one.host: WHOLE for one in make_agents(agents) if one.region != 'region-1'}
    found = play(agents, rates, held, urgent=True)
    assert found.half_at(frozenset(found.swarms) - held.keys()) <= trees_s(agents, rates)
    assert found.from_origin <= CHUNKS


@SIZES
def test_one_agent_empty_takes_nothing_from_the_origin(agents: int, rates: Rates) -> None:
    held = {one.host: WHOLE for one in make_agents(agents)[1:]}
    found = play(agents, rates, held, urgent=True)
    assert max(found.done_at.values()) <= trees_s(agents, rates)
    assert not found.from_origin


@SIZES
def test_calm_rollout_takes_one_copy_from_the_origin(agents: int, rates: Rates) -> None:
    found = play(agents, rates, {}, urgent=False)
    assert found.from_origin == CHUNKS
    assert max(found.done_at.values()) <= 1.45 * CHUNKS * rates.link_s


@pytest.mark.parametrize(
    ('urgency', 'is_urgent'),
    [
        (FetchUrgency(is_serving=True, remaining_s=7, fetch_s=5.4), False),
        (FetchUrgency(is_serving=True, remaining_s=5, fetch_s=5.4), True),
        (FetchUrgency(is_serving=False, remaining_s=7, fetch_s=5.4), True),
        (FetchUrgency(is_serving=True, remaining_s=3, fetch_s=1.2), False),
    ],
    ids=['calm rollout', 'bound is near', 'nothing can serve', 'nearly all is here'],
)
def test_version_is_urgent_if_engines_would_serve_nothing(
    urgency: FetchUrgency, *, is_urgent: bool
) -> None:
    assert urgency.is_urgent is is_urgent


def test_as_many_regions_draw_a_copy_as_the_origin_can_feed() -> None:
    assert [
        origin_region_capacity(15, 4.7),
        origin_region_capacity(5, 4.7),
        origin_region_capacity(0, 4.7),
    ] == [3, 1, 1]


def test_chunk_that_a_silent_host_of_another_region_owes_comes_from_the_origin() -> None:
    participants = make_agents(REGIONS)
    swarm = make_swarm(participants, 1, RATES)
    first = swarm.schedule(0)[0]
    assert isinstance(first, FromRegion)
    assert not any(isinstance(order, FromOrigin) for order in swarm.schedule(REGION_LATE_AFTER_S))
    late = swarm.schedule(REGION_LATE_AFTER_S + 1)
    assert FromOrigin(first.index) in late
    swarm.record_failure(first, REGION_LATE_AFTER_S + 1.1)
    assert swarm.in_flight[first.index] == FromOrigin(first.index)


def test_region_turns_to_the_chain_while_the_origin_is_away() -> None:
    participants = make_agents(REGIONS)
    swarm = make_swarm(participants, 1, RATES)
    swarm.is_urgent = True
    for _ in range(MAX_ORIGIN_FAILURES):
        assert isinstance(swarm.upstream_source(0), FromOrigin)
        swarm.record_failure(FromOrigin(0), 0)
    assert isinstance(swarm.upstream_source(0), FromRegion)
