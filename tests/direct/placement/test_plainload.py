"""Tests of the placement at plain replicas by the work of their requests.

Guards against replicas that count as slow since they answered a long read, against long reads that
count as little as short writes, and against traffic to other regions that gains no time.
"""

from __future__ import annotations

import random
from statistics import fmean

import pytest
from plain_model import READ, SERVICE_S, WRITE, PlainSimulation

from cassiahitch.direct.placement.assignments import Candidate, PlacementRequest
from cassiahitch.direct.placement.costs import INITIAL_SERVICE_S, RequestCosts
from cassiahitch.direct.placement.placement import Placement
from cassiahitch.direct.placement.plainload import PlainLoadTracker
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.util.endpoints import Endpoint

SEEDS = (1, 2, 3)
SLOTS = 6
#: Numbers of entries: with many, each of them knows only a small part of the load.
FEW_ENTRIES = 2
MANY_ENTRIES = 30


def candidate(number: int, *, near: bool = True) -> Candidate:
    replica = Replica(f'p-{number}', 'desk', Endpoint('10.0.0.1', 80), 'd', SLOTS)
    return Candidate(replica, in_own_region=near, in_own_domain=near)


def learned_placement() -> Placement:
    placement = Placement(random.Random(1), costs=RequestCosts(learns=True))
    for number in range(20):
        for route, seconds in SERVICE_S.items():
            placement.costs.record_service(route, seconds, number / 10)
    return placement


def mean_s(load: float, entries: int, factor: float = 1, *, learns: bool) -> float:
    means = []
    for seed in SEEDS:
        simulation = PlainSimulation(load, learns, seed, entries)
        simulation.replicas['p-0'].factor = factor
        means.append(simulation.simulate().mean_s)
    return fmean(means)


@pytest.mark.parametrize('entries', [FEW_ENTRIES, MANY_ENTRIES])
@pytest.mark.parametrize('load', [0.6, 0.85])
def test_reads_and_writes_take_less_time_if_placed_by_work(load: float, entries: int) -> None:
    by_work, by_count = (mean_s(load, entries, learns=learns) for learns in (True, False))
    assert by_work < by_count


@pytest.mark.parametrize('entries', [FEW_ENTRIES, MANY_ENTRIES])
def test_slow_replica_is_recognised_among_reads_and_writes(entries: int) -> None:
    by_work, by_count = (mean_s(0.15, entries, 3, learns=learns) for learns in (True, False))
    assert by_work < by_count


def test_nearly_all_requests_stay_near_under_normal_load() -> None:
    simulation = PlainSimulation(0.15, True, 1, MANY_ENTRIES, regions=(0, 0, 1, 2)).simulate()
    assert fmean(simulation.near) == pytest.approx(1, abs=0.1)


def test_busy_near_replicas_take_no_longer_than_without_preference() -> None:
    uneven = PlainSimulation(0.7, True, 1, MANY_ENTRIES, regions=(0, 0, 1, 2)).simulate()
    alike = PlainSimulation(0.7, True, 1, MANY_ENTRIES, regions=(0, 0, 0, 0)).simulate()
    assert uneven.mean_s < 1.1 * alike.mean_s


def test_replica_that_answers_a_long_read_is_not_slow() -> None:
    placement = learned_placement()
    load = placement.plain_load('p')
    read_s = placement.costs.service_s(READ.name, 2)
    load.record_sent(read_s)
    load.record_ended(read_s, SERVICE_S['read'] / read_s, 2)
    assert load.expected_s(0.045, SLOTS, 2) == pytest.approx(0.045, rel=0.1)


def test_replica_with_a_read_in_flight_is_busier_than_one_with_a_write() -> None:
    placement = learned_placement()
    candidates = (candidate(0), candidate(1))
    for one, route in zip(candidates, (READ, WRITE), strict=True):
        key = one.replica.key
        placement.plain_load(key).record_sent(placement.costs.service_s(route.name, 2))
    chosen = {
        placement.place_plain(PlacementRequest(WRITE, 0), candidates, 2).candidate
        for _ in range(50)
    }
    assert chosen == {candidates[1]}


@pytest.mark.parametrize(('in_flight', 'stays_near'), [(0, True), (1, True), (9, False)])
def test_far_replica_is_chosen_only_if_it_is_faster_by_more_than_the_distance(
    in_flight: int, *, stays_near: bool
) -> None:
    placement = learned_placement()
    near, far = candidate(0), candidate(1, near=False)
    cost_s = placement.costs.service_s(WRITE.name, 2)
    for _ in range(in_flight):
        placement.plain_load(near.replica.key).record_sent(cost_s)
    chosen = [
        placement.place_plain(PlacementRequest(WRITE, 0), (near, far), 2).candidate is near
        for _ in range(200)
    ]
    assert fmean(chosen) == pytest.approx(int(stays_near), abs=0.2)


def test_replica_that_was_slow_once_returns_to_use_with_its_first_quick_response() -> None:
    load = PlainLoadTracker(forgets=True)
    for _ in range(20):
        load.record_sent(0.045)
        load.record_ended(0.045, 10, 0)
    load.record_sent(0.045)
    load.record_ended(0.045, 1, 20)
    assert load.current_slowness(20) == pytest.approx(1, abs=0.3)


def test_count_and_distance_decide_as_before_unless_costs_are_learned() -> None:
    placement = Placement(random.Random(1))
    near, far = candidate(0), candidate(1, near=False)
    request = PlacementRequest(WRITE, 0)
    placement.costs.record_service(WRITE.name, 3, 0)
    chosen = [placement.place_plain(request, (near, far), 0) for _ in range(200)]
    assert fmean(one.candidate is near for one in chosen) == pytest.approx(1 / 2, abs=0.15)
    load = placement.plain_load(near.replica.key)
    load.record_sent(chosen[0].cost_s)
    assert load.expected_s(chosen[0].cost_s, SLOTS, 0) == pytest.approx(
        INITIAL_SERVICE_S * (1 + 1 / SLOTS)
    )
