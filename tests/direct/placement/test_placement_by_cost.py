"""Tests of the placement at model engines by the expected cost of requests.

Guards against waits that follow from counting requests: behind prompts that are much longer than
the mean, and at engines whose slots are taken by long outputs.
"""

from __future__ import annotations

import random
from dataclasses import replace
from functools import cache
from statistics import fmean

import pytest
from cost_model import BY_COST, BY_COUNT, OLD_AGENTS, CostPolicy, CostSimulation
from modelled_engine import ENGINE, ROUTE

from cassiahitch.direct.placement.assignments import Assignment, Candidate, PlacementRequest
from cassiahitch.direct.placement.load import (
    LoadReport,
    LoadTracker,
    OutstandingWork,
    QueueEstimate,
    first_event_s,
)
from cassiahitch.direct.placement.placement import Placement
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.util.endpoints import Endpoint

ENTRIES = 3
#: A route whose requests are never refused, so that policies serve the same ones.
PATIENT = replace(ROUTE, objective_s=30)
SLOW_ENGINE = replace(ENGINE, slots=12, pass_steps=5, step_s=0.00887, prefill_tokens_per_s=19_100)
SEEDS = (1, 2, 3)


@cache
def replay(policy: CostPolicy, load: float, hint_spread: float) -> tuple[CostSimulation, ...]:
    simulations = (
        CostSimulation(
            load, policy, hint_spread, 40, engines=8, seed=seed, engine=SLOW_ENGINE, route=PATIENT
        )
        for seed in SEEDS
    )
    return tuple(simulation.simulate() for simulation in simulations)


def mean_s(simulations: tuple[CostSimulation, ...]) -> float:
    return fmean(simulation.mean_s for simulation in simulations)


def slowest_tenth_s(simulations: tuple[CostSimulation, ...]) -> float:
    return fmean(simulation.slowest_tenth_s for simulation in simulations)


def prediction_error_s(simulations: tuple[CostSimulation, ...]) -> float:
    return fmean(fmean(simulation.prediction_errors_s) for simulation in simulations)


@pytest.mark.parametrize('load', [0.8, 0.9])
@pytest.mark.parametrize('hint_spread', [0.3, 1.2])
def test_mixed_load_begins_sooner_if_placed_by_cost(load: float, hint_spread: float) -> None:
    by_cost, by_count = replay(BY_COST, load, hint_spread), replay(BY_COUNT, load, hint_spread)
    assert mean_s(by_cost) < mean_s(by_count)
    assert slowest_tenth_s(by_cost) < slowest_tenth_s(by_count)


def test_first_events_are_predicted_better_by_cost() -> None:
    by_cost, by_count = replay(BY_COST, 0.8, 0.3), replay(BY_COUNT, 0.8, 0.3)
    assert prediction_error_s(by_cost) < 0.9 * prediction_error_s(by_count)


def test_agents_that_report_no_work_are_used_as_before() -> None:
    old, by_count = replay(OLD_AGENTS, 0.8, 0.3), replay(BY_COUNT, 0.8, 0.3)
    for one, other in zip(old, by_count, strict=True):
        assert one.first_event_times_s == other.first_event_times_s


def test_agents_keep_about_as_many_requests_as_their_engines() -> None:
    for simulation in replay(BY_COST, 0.9, 0.3):
        for agent in simulation.agents:
            count = len(agent.model.running) + len(agent.model.waiting)
            assert len(agent.announced.requests) == pytest.approx(count, abs=4)


def test_full_engine_with_the_least_left_to_do_is_chosen() -> None:
    placement = Placement(random.Random(1))
    candidates = tuple(
        Candidate(Replica(f'm-{number}', 'd', Endpoint('10.0.0.1', 1), 'n', 16), in_own_region=True)
        for number in range(3)
    )
    for candidate, remaining in zip(candidates, (250, 20, 250), strict=True):
        report = LoadReport(16, 1, work=OutstandingWork(remaining, 500))
        placement.engine_load(candidate.replica.key).apply_report(report, 0)
    request = PlacementRequest(PATIENT, 0, 1000)
    result = placement.place_engine(ENGINE, request, candidates, ENTRIES, 0.01)
    assert isinstance(result, Assignment)
    assert result.candidate == candidates[1]


def test_slot_of_an_engine_becomes_free_the_sooner_the_less_its_requests_have_left() -> None:
    waits_s = [
        first_event_s(ENGINE, QueueEstimate(ENGINE.slots + 1, 0, remaining), 1000, 1)
        for remaining in (10, ENGINE.mean_output_tokens, 400)
    ]
    assert waits_s == sorted(waits_s)
    unknown_s = first_event_s(ENGINE, QueueEstimate(ENGINE.slots + 1, 0), 1000, 1)
    assert waits_s[1] == pytest.approx(unknown_s)


def test_outstanding_output_does_not_matter_while_a_slot_is_free() -> None:
    free = QueueEstimate(ENGINE.slots - 1, 0, 400)
    assert first_event_s(ENGINE, free, 1000, 1) == pytest.approx(
        first_event_s(ENGINE, QueueEstimate(ENGINE.slots - 1, 0), 1000, 1)
    )


def test_reported_work_replaces_the_mean_prompts_of_waiting_requests() -> None:
    load = LoadTracker()
    load.apply_report(LoadReport(3, 2, work=OutstandingWork(60, 5000)), 1)
    load.record_sent(700, 1)
    assert load.estimate_queue(ENGINE, ENTRIES, 1) == QueueEstimate(6, 5700, 60)


def test_report_of_an_agent_that_knows_no_work_counts_by_the_means() -> None:
    load = LoadTracker()
    load.apply_report(LoadReport(3, 2), 1)
    expected = QueueEstimate(5, 2 * ENGINE.mean_prompt_tokens)
    assert load.estimate_queue(ENGINE, ENTRIES, 1) == expected
