"""Tests of the routing benchmark and its simulated replicas."""

from __future__ import annotations

from collections import Counter
from functools import partial
from random import Random

import pytest

from cassiahitch.bench.load_model import SLOTS, EventQueue, SimulatedReplica, generate_arrivals
from cassiahitch.bench.routing_results import max_min_shares
from cassiahitch.bench.routing_simulation import RoutingSimulation


def record_slot_time(slot_times: list[float], seconds: float, hit: bool) -> None:
    slot_times.append(seconds)


def test_same_seed_has_the_same_results() -> None:
    runs = [RoutingSimulation(3, 6, 'own', 0.7).run() for _ in range(2)]
    assert runs[0].served == runs[1].served
    assert runs[0].latency_s(99) == pytest.approx(runs[1].latency_s(99))


def test_replica_runs_no_more_than_its_slots_and_responds_to_each_request_once() -> None:
    events = EventQueue()
    replica = SimulatedReplica('host-0', events)
    slot_times: list[float] = []
    on_response = partial(record_slot_time, slot_times)
    for arrival in generate_arrivals(Random(0), 100, 0, 1):
        replica.enqueue(arrival, on_response)
    enqueued = replica.running + len(replica.queue)
    assert replica.running == SLOTS
    events.run_until(60)
    assert len(slot_times) == enqueued


def test_fair_shares_use_the_capacity_and_exceed_no_demand() -> None:
    offered = Counter({'large-1': 500, 'large-2': 500, 'small-1': 10})
    shares = max_min_shares(offered, 310)
    assert shares == pytest.approx({'small-1': 10, 'large-1': 100, 'large-2': 200})


@pytest.mark.parametrize('seed', [3, 5])
def test_router_has_better_results_than_round_robin_under_faults(seed: int) -> None:
    router, baseline = (
        RoutingSimulation(seed, 6, policy, 0.95).run() for policy in ('own', 'round robin')
    )
    assert router.latency_s(99) <= 0.5 * baseline.latency_s(99)
    assert router.successes > baseline.successes
