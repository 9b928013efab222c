"""Tests of how fast hosts have a version again after a power loss, at which load of the origin.

The time limit is that of distribution along binary trees, one for each region: the origin sends a
copy to all regions at once, no link is ever idle, and a chunk passes through as many hosts as the
tree is deep, each of which sends it twice in succession.
"""

from __future__ import annotations

from math import ceil, log2

import pytest
from swarm_play import CHUNKS, SwarmSimulation, TransferTimes, make_scheduler

from cassiahitch.direct.staging.fetching import ORIGIN_INTERVAL_FACTOR
from cassiahitch.direct.staging.fleet import FromOrigin, FromRegion
from cassiahitch.direct.staging.scheduler import MAX_ORIGIN_FAILURES, REGION_LATE_AFTER_S
from cassiahitch.direct.staging.urgency import FetchUrgency, origin_region_capacity
from cassiahitch.weights.plan import Participant

#: For links of hosts of 4.7 Mbit/s of which chunks use 0.92, an origin of 15 Mbit/s, links between
#: regions of 13 Mbit/s, and chunks of 49 kB.
RATES = TransferTimes(
    link_s=0.0909,
    origin_s=0.0262,
    region_s=0.0302,
    crossing_s=0.186,
    first_region='region-0',
    pace=ORIGIN_INTERVAL_FACTOR,
)
REGIONS = 3
ALL_CHUNKS = (1 << CHUNKS) - 1
SIZES = pytest.mark.parametrize(('agents', 'rates'), [(10, RATES), (25, RATES)])


def make_agents(count: int) -> tuple[Participant, ...]:
    return tuple(
        Participant(f'10.{number % REGIONS}.0.{number}', f'region-{number % REGIONS}', 'domain')
        for number in range(count)
    )


def tree_time_s(agents: int, rates: TransferTimes) -> float:
    """Return the time that distribution along such trees takes, plus one step of an agent."""
    depth = ceil(log2(agents / REGIONS + 1))
    chunk_s = max(rates.link_s, REGIONS * rates.origin_s)
    return CHUNKS * chunk_s + 2 * depth * rates.link_s + rates.step_s


def simulate(
    agents: int, rates: TransferTimes, held: dict[str, int], *, urgent: bool
) -> SwarmSimulation:
    participants = make_agents(agents)
    empty_hosts = frozenset(agent.host for agent in participants if agent.host not in held)
    simulation = SwarmSimulation(
        participants, rates=rates, held=held, urgent=empty_hosts if urgent else frozenset()
    )
    assert simulation.run(30) < 30
    return simulation


@SIZES
def test_all_agents_empty(agents: int, rates: TransferTimes) -> None:
    simulation = simulate(agents, rates, {}, urgent=True)
    assert simulation.median_completion_time() <= tree_time_s(agents, rates)
    assert simulation.origin_chunks <= REGIONS * CHUNKS


@SIZES
def test_only_holder_of_all_chunks_does_not_delay_the_others(
    agents: int, rates: TransferTimes
) -> None:
    simulation = simulate(agents, rates, {make_agents(agents)[0].host: ALL_CHUNKS}, urgent=True)
    assert simulation.median_completion_time() <= tree_time_s(agents, rates)
    assert simulation.origin_chunks <= REGIONS * CHUNKS


@SIZES
def test_one_region_empty(agents: int, rates: TransferTimes) -> None:
    held = {agent.host: ALL_CHUNKS for agent in make_agents(agents) if agent.region != 'region-1'}
    simulation = simulate(agents, rates, held, urgent=True)
    assert simulation.median_completion_time(
        frozenset(simulation.swarms) - held.keys()
    ) <= tree_time_s(agents, rates)
    assert simulation.origin_chunks <= CHUNKS


@SIZES
def test_one_empty_agent_fetches_nothing_from_the_origin(agents: int, rates: TransferTimes) -> None:
    held = {agent.host: ALL_CHUNKS for agent in make_agents(agents)[1:]}
    simulation = simulate(agents, rates, held, urgent=True)
    assert max(simulation.done_at.values()) <= tree_time_s(agents, rates)
    assert not simulation.origin_chunks


@SIZES
def test_calm_rollout_fetches_one_copy_from_the_origin(agents: int, rates: TransferTimes) -> None:
    simulation = simulate(agents, rates, {}, urgent=False)
    assert simulation.origin_chunks == CHUNKS
    assert max(simulation.done_at.values()) <= 1.45 * CHUNKS * rates.link_s


@pytest.mark.parametrize(
    ('urgency', 'is_urgent'),
    [
        (FetchUrgency(is_serving=True, remaining_s=7, fetch_s=5.4), False),
        (FetchUrgency(is_serving=True, remaining_s=5, fetch_s=5.4), True),
        (FetchUrgency(is_serving=False, remaining_s=7, fetch_s=5.4), True),
        (FetchUrgency(is_serving=True, remaining_s=3, fetch_s=1.2), False),
    ],
    ids=['calm rollout', 'deadline is near', 'engine serves nothing', 'nearly complete'],
)
def test_version_is_urgent_if_engines_would_serve_nothing(
    urgency: FetchUrgency, *, is_urgent: bool
) -> None:
    assert urgency.is_urgent is is_urgent


def test_origin_supplies_as_many_regions_as_its_rate_allows() -> None:
    assert [
        origin_region_capacity(15, 4.7),
        origin_region_capacity(5, 4.7),
        origin_region_capacity(0, 4.7),
    ] == [3, 1, 1]


def test_chunk_from_a_stalled_host_of_another_region_is_fetched_from_the_origin() -> None:
    participants = make_agents(REGIONS)
    scheduler = make_scheduler(participants, 1, RATES)
    first = scheduler.schedule(0)[0]
    assert isinstance(first, FromRegion)
    assert not any(
        isinstance(fetch, FromOrigin) for fetch in scheduler.schedule(REGION_LATE_AFTER_S)
    )
    late = scheduler.schedule(REGION_LATE_AFTER_S + 1)
    assert FromOrigin(first.index) in late
    scheduler.record_failure(first, REGION_LATE_AFTER_S + 1.1)
    assert scheduler.in_flight[first.index] == FromOrigin(first.index)


def test_region_fetches_from_another_region_while_the_origin_is_unavailable() -> None:
    participants = make_agents(REGIONS)
    scheduler = make_scheduler(participants, 1, RATES)
    scheduler.is_urgent = True
    for _ in range(MAX_ORIGIN_FAILURES):
        assert isinstance(scheduler.upstream_source(0), FromOrigin)
        scheduler.record_failure(FromOrigin(0), 0)
    assert isinstance(scheduler.upstream_source(0), FromRegion)
