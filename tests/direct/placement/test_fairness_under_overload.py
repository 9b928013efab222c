"""Tests that overload refuses requests of all sizes and routes alike, in virtual time."""

from __future__ import annotations

from dataclasses import replace

import pytest
from modelled_engine import ROUTE
from overload_model import Overload

#: Part of the served share of all requests that large ones have to reach at least.
LEAST_PART = 0.5
#: The same of the requests of one route.
LEAST_PART_OF_ROUTE = 0.25
#: Part of requests by which a more urgent route may be served less often than another one.
URGENT_SLACK = 0.05
SECONDS = 20


@pytest.mark.parametrize('returns', [1, 2])
@pytest.mark.parametrize('load', [0.9, 1.2, 1.5, 3.0])
def test_large_requests_find_a_place_under_overload_like_all_others(
    load: float, returns: int
) -> None:
    # Issue 15: the largest requests were left unserved while small ones found a place.
    result = Overload(load, returns, SECONDS).play()
    parts = {'largest tenth': result.part(0.9, 1), 'fifth below it': result.part(0.7, 0.9)}
    shares = {name: round(part.served / result.served, 2) for name, part in parts.items()}
    assert min(shares.values()) >= LEAST_PART, shares


@pytest.mark.parametrize('load', [0.9, 1.2, 1.5, 3.0])
def test_route_with_a_short_objective_finds_places_beside_those_that_can_wait(load: float) -> None:
    quick = replace(ROUTE, name='quick', objective_s=0.25)
    result = Overload(load, 1, SECONDS, routes=(ROUTE, replace(ROUTE, name='other'), quick)).play()
    assert result.of(quick).served >= LEAST_PART_OF_ROUTE * result.served


@pytest.mark.parametrize('load', [0.9, 1.2, 1.5, 3.0])
def test_urgent_route_with_a_short_objective_is_served_as_often_as_others(load: float) -> None:
    quick = replace(ROUTE, name='quick', objective_s=0.3, priority=0)
    result = Overload(load, 1, SECONDS, routes=(ROUTE, quick)).play()
    assert result.of(quick).served >= result.of(ROUTE).served - URGENT_SLACK
