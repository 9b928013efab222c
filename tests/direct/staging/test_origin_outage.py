"""Tests of how soon all hosts have a version after the origin was unavailable for some seconds.

The time limit is that of distribution along binary trees, one for each region, from the return of
the origin on: no link is ever idle, and each chunk that is missing then passes through the trees of
all regions in succession, in which a host sends it twice.
"""

from __future__ import annotations

from math import ceil, log2

import pytest
from swarm_play import CHUNKS, SwarmSimulation, TransferTimes, make_participants, make_scheduler

from cassiahitch.direct.staging.fetching import ORIGIN_INTERVAL_FACTOR
from cassiahitch.direct.staging.fleet import FromOrigin, FromRegion
from cassiahitch.direct.staging.scheduler import (
    MAX_REGION_FAILURES,
    MAX_REGION_REFUSALS,
    ChunkScheduler,
)

REGIONS = 3
HOSTS = 8
OUTAGE_S = 6
#: For links of hosts of 3.8 Mbit/s of which chunks use 0.92, an origin of 5.94 Mbit/s, links
#: between regions of 12.5 Mbit/s, and chunks of 33 kB.
SLOW_LINKS = TransferTimes(
    link_s=0.075,
    origin_s=0.0441,
    region_s=0.021,
    crossing_s=0.129,
    first_region='region-0',
    pace=ORIGIN_INTERVAL_FACTOR,
)
#: For links of hosts of 4.7 Mbit/s, an origin of 9 Mbit/s, links between regions of 15 Mbit/s, and
#: chunks of 49 kB.
FASTER_LINKS = TransferTimes(
    link_s=0.0909,
    origin_s=0.0437,
    region_s=0.0262,
    crossing_s=0.161,
    first_region='region-0',
    pace=ORIGIN_INTERVAL_FACTOR,
)


def tree_time_s(rates: TransferTimes, before_s: float) -> float:
    """Return the time that such distribution takes if the origin sent chunks for ``before_s``."""
    missing = CHUNKS - int(before_s / rates.origin_s)
    depth = ceil(log2(HOSTS + 1))
    trees_s = REGIONS * 2 * depth * rates.link_s + (REGIONS - 1) * rates.crossing_s
    return missing * rates.link_s + trees_s + rates.step_s


def fail_until(scheduler: ChunkScheduler, seconds: float) -> float:
    """Let all requests to the origin fail, and return the time of the last one."""
    failed_at: float = 0
    for step in range(int(100 * seconds)):
        now = step / 100
        for fetch in scheduler.schedule(now):
            if isinstance(fetch, FromOrigin):
                scheduler.record_failure(fetch, now)
                failed_at = now
    return failed_at


def test_agent_asks_the_origin_again_once_another_agent_has_received_a_chunk_from_it() -> None:
    participants = make_participants(1, 2)
    scheduler = make_scheduler(participants)
    failed_at = fail_until(scheduler, 6)
    other = participants[1].host
    chunk = 1 << scheduler.count - 1
    scheduler.update_holder(other, chunk, 0, failed_at + 0.01)
    assert any(isinstance(fetch, FromOrigin) for fetch in scheduler.schedule(failed_at + 0.01))


def test_chunk_that_the_region_holds_already_does_not_end_the_delay() -> None:
    participants = make_participants(1, 3)
    scheduler = make_scheduler(participants)
    first, second = (agent.host for agent in participants[1:])
    chunk = 1 << scheduler.count - 1
    scheduler.update_holder(first, chunk, 0, 0)
    failed_at = fail_until(scheduler, 6)
    scheduler.update_holder(second, chunk, 0, failed_at + 0.01)
    assert not any(isinstance(fetch, FromOrigin) for fetch in scheduler.schedule(failed_at + 0.01))


@pytest.mark.parametrize('before_s', [1.3, 1.5, 1.7])
@pytest.mark.parametrize('rates', [SLOW_LINKS, FASTER_LINKS], ids=['3.8 Mbit/s', '4.7 Mbit/s'])
def test_version_is_everywhere_soon_after_the_origin_returns(
    rates: TransferTimes, before_s: float
) -> None:
    participants = make_participants(REGIONS, HOSTS)
    returns_at = before_s + OUTAGE_S
    simulation = SwarmSimulation(participants, rates=rates, outage=(before_s, returns_at))
    assert simulation.run(30) - returns_at <= tree_time_s(rates, before_s)


def test_agent_of_another_region_that_fetches_a_chunk_is_asked_again_and_again() -> None:
    participants = make_participants(2, 4)
    scheduler = make_scheduler(participants, 4, TransferTimes(first_region='region-0'))
    asked: list[str] = []
    for _ in range(MAX_REGION_REFUSALS + 6):
        fetch = scheduler.upstream_source(0)
        assert isinstance(fetch, FromRegion)
        asked.append(fetch.host)
        scheduler.record_refusal(fetch, 0)
    assert set(asked[:MAX_REGION_REFUSALS]) == {asked[0]}
    assert set(asked[MAX_REGION_REFUSALS + 1 :: 2]) == {asked[0]}
    assert len(set(asked[MAX_REGION_REFUSALS::2])) == 3


def test_chunk_that_no_agent_of_another_region_holds_is_fetched_from_the_origin() -> None:
    scheduler = make_scheduler(make_participants(2, 4), 4, TransferTimes(first_region='region-0'))
    for _ in range(MAX_REGION_REFUSALS * MAX_REGION_FAILURES):
        fetch = scheduler.upstream_source(0)
        assert isinstance(fetch, FromRegion)
        scheduler.record_refusal(fetch, 0)
    assert scheduler.upstream_source(0) == FromOrigin(0)
