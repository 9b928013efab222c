"""Tests of the learned cost of requests.

Guards against estimates that trust hints which are far off, that stay with a mix of lengths which
has changed, or that mix the service times of routes that cost differently.
"""

from __future__ import annotations

import math
import random
from dataclasses import replace
from statistics import fmean

import pytest
from modelled_engine import ENGINE, draw_length

from cassiahitch.direct.api import Generation
from cassiahitch.direct.placement.costs import (
    INITIAL_SERVICE_S,
    MAX_ROUTES,
    OUTPUT_HALF_LIFE_S,
    RequestCosts,
)

#: Output lengths in tokens: mean before the cut, standard deviation of the logarithm, maximum.
OUTPUT = (119, 0.9, 300)
#: Streams of one route that an entry completes per second.
RATE_PER_S = 3


def generation(hint: int, limit: int = 600) -> Generation:
    return Generation('m', 1000, limit, hint)


def learn(
    costs: RequestCosts, seed: int, hint_spread: float, seconds: float, began: float = 0
) -> list[tuple[float, int]]:
    """Complete streams at a constant rate, and return each estimate with the actual length."""
    rng = random.Random(seed)
    results = []
    for number in range(int(seconds * RATE_PER_S)):
        now = began + number / RATE_PER_S
        tokens = draw_length(rng, *OUTPUT)
        size = generation(max(1, round(tokens * rng.lognormvariate(0, hint_spread))))
        results.append((costs.output_tokens('draft', size, ENGINE, now), tokens))
        costs.record_output('draft', size, ENGINE, tokens, now)
    return results


def mean_error(results: list[tuple[float, int]]) -> float:
    return fmean(abs(expected - tokens) for expected, tokens in results)


def spread_of_lengths(results: list[tuple[float, int]]) -> float:
    mean = fmean(tokens for _, tokens in results)
    return fmean(abs(mean - tokens) for _, tokens in results)


def test_configured_mean_applies_before_any_stream_has_ended() -> None:
    costs = RequestCosts(learns=True)
    configured = pytest.approx(ENGINE.mean_output_tokens)
    assert costs.output_tokens('draft', generation(900), ENGINE, 0) == configured
    assert costs.output_tokens('draft', None, ENGINE, 0) == configured
    assert costs.service_s('read', 0) == INITIAL_SERVICE_S


def test_no_output_is_expected_unless_costs_are_learned() -> None:
    costs = RequestCosts()
    costs.record_output('draft', generation(50), ENGINE, 500, 0)
    costs.record_service('read', 5, 0)
    assert costs.output_tokens('draft', generation(50), ENGINE, 0) == 0
    assert costs.service_s('read', 0) == INITIAL_SERVICE_S


def test_expected_output_never_exceeds_the_limit_of_the_request() -> None:
    costs = RequestCosts(learns=True)
    assert costs.output_tokens('draft', generation(40, limit=40), ENGINE, 0) == 40


@pytest.mark.parametrize('hint_spread', [0.1, 0.4, 0.7])
def test_hints_that_are_about_right_give_better_estimates_than_the_mean(hint_spread: float) -> None:
    results = learn(RequestCosts(learns=True), 1, hint_spread, 200)[100:]
    assert mean_error(results) < 0.9 * spread_of_lengths(results)


@pytest.mark.parametrize('seed', range(5))
def test_hints_that_tell_nothing_give_no_worse_estimates_than_the_mean(seed: int) -> None:
    results = learn(RequestCosts(learns=True), seed, 2.5, 200)[100:]
    assert mean_error(results) < 1.2 * spread_of_lengths(results)


def test_hints_that_prove_wrong_lose_weight_within_seconds() -> None:
    costs = RequestCosts(learns=True)
    learn(costs, 1, 0.1, 30)
    trusted = costs.outputs['draft'].hint_weight(30)
    learn(costs, 2, 2, 3 * OUTPUT_HALF_LIFE_S, began=30)
    distrusted = costs.outputs['draft'].hint_weight(30 + 3 * OUTPUT_HALF_LIFE_S)
    assert distrusted < trusted / 3


def test_hint_beyond_all_limits_does_not_move_the_estimates_of_others() -> None:
    costs = RequestCosts(learns=True)
    learn(costs, 1, 0.4, 30)
    before = costs.output_tokens('draft', generation(100), ENGINE, 30)
    costs.record_output('draft', generation(2**31 - 1, limit=0), ENGINE, 100, 30)
    after = costs.output_tokens('draft', generation(100), ENGINE, 30)
    assert math.isclose(before, after, rel_tol=0.2)


def test_changed_mix_is_learned_within_seconds() -> None:
    costs = RequestCosts(learns=True)
    for number in range(60):
        costs.record_output('draft', generation(100), ENGINE, 40, number / RATE_PER_S)
    assert costs.output_tokens('draft', generation(100), ENGINE, 20) == pytest.approx(40, rel=0.3)
    for number in range(60, 120):
        costs.record_output('draft', generation(100), ENGINE, 240, number / RATE_PER_S)
    estimate = costs.output_tokens('draft', generation(100), ENGINE, 40)
    assert estimate == pytest.approx(240, rel=0.15)


def test_measurements_fade_towards_the_configured_mean() -> None:
    costs = RequestCosts(learns=True)
    for number in range(60):
        costs.record_output('draft', generation(100), ENGINE, 300, number / RATE_PER_S)
    late = 20 + 20 * OUTPUT_HALF_LIFE_S
    estimate = costs.output_tokens('draft', generation(100), ENGINE, late)
    assert estimate == pytest.approx(ENGINE.mean_output_tokens, rel=0.01)


def test_hint_of_an_unseen_size_counts_by_how_well_others_were_right() -> None:
    costs = RequestCosts(learns=True)
    learn(costs, 1, 0.05, 30)
    unseen = replace(generation(3000), max_output_tokens=0)
    assert costs.output_tokens('draft', unseen, ENGINE, 30) > 2000


def test_routes_learn_service_times_of_their_own() -> None:
    costs = RequestCosts(learns=True)
    for number in range(40):
        costs.record_service('write', 0.045, number)
        costs.record_service('read', 0.205, number)
    assert costs.service_s('write', 40) == pytest.approx(0.045, rel=0.1)
    assert costs.service_s('read', 40) == pytest.approx(0.205, rel=0.1)


def test_number_of_routes_is_bounded() -> None:
    costs = RequestCosts(learns=True)
    for number in range(2 * MAX_ROUTES):
        costs.record_output(f'r{number}', None, ENGINE, 10, 0)
        costs.record_service(f'r{number}', 1, 0)
    assert len(costs.outputs) == len(costs.services) == MAX_ROUTES + 1
    assert costs.service_s('unknown', 0) > 10 * INITIAL_SERVICE_S


def test_routes_without_recent_requests_make_room_for_new_ones() -> None:
    """Guards against new routes that are learned together for as long as the process runs."""
    costs = RequestCosts(learns=True)
    for number in range(MAX_ROUTES):
        costs.record_service(f'old-{number}', 0.5, 0)
    later = 3600
    for _ in range(20):
        costs.record_service('new', 0.1, later)
    assert costs.service_s('new', later) == pytest.approx(0.1, rel=0.2)
