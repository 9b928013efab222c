"""Tests of the routing benchmark and its model of replicas."""

from __future__ import annotations

from collections import Counter
from functools import partial
from random import Random

import pytest

from cassiahitch.bench.load_model import SLOTS, EventQueue, SimulatedReplica, generate_arrivals
from cassiahitch.bench.routing_results import max_min_shares
from cassiahitch.bench.routing_simulation import RoutingSimulation


def take_answer(answers: list[float], seconds: float, hit: bool) -> None:
    answers.append(seconds)


def test_same_seed_gives_the_same_run() -> None:
    runs = [RoutingSimulation(3, 6, 'own', 0.7).run() for _ in range(2)]
    assert runs[0].served == runs[1].served
    assert runs[0].latency_s(99) == pytest.approx(runs[1].latency_s(99))


def test_replica_runs_no_more_than_its_slots_and_answers_each_request_once() -> None:
    events = EventQueue()
    replica = SimulatedReplica('host-0', events)
    answers: list[float] = []
    answer = partial(take_answer, answers)
    for arrival in generate_arrivals(Random(0), 100, 0, 1):
        replica.send(arrival, answer)
    sent = replica.running + len(replica.queue)
    assert replica.running == SLOTS
    events.run_until(60)
    assert len(answers) == sent


def test_fair_shares_leave_nothing_and_exceed_no_demand() -> None:
    offered = Counter({'large-1': 500, 'large-2': 500, 'small-1': 10})
    shares = max_min_shares(offered, 310)
    assert shares == pytest.approx({'small-1': 10, 'large-1': 100, 'large-2': 200})


@pytest.mark.parametrize('seed', [3, 5])
def test_own_choice_beats_round_robin_under_faults(seed: int) -> None:
    own, base = (
        RoutingSimulation(seed, 6, policy, 0.95).run() for policy in ('own', 'round robin')
    )
    assert own.latency_s(99) <= 0.5 * base.latency_s(99)
    assert own.successes > base.successes
