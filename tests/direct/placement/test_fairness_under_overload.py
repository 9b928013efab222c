"""Tests that overload refuses requests of all sizes and routes alike, in virtual time.

Guards against starvation: admission by each request's own prompt length and objective fills the
engines until only small requests and those with long objectives are admitted.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from modelled_engine import ROUTE
from overload_model import OverloadSimulation

#: Minimum served share of large requests, as a fraction of the served share of all requests.
MIN_SHARE = 0.5
#: Minimum served share of the requests of one route, as a fraction of that of all requests.
MIN_ROUTE_SHARE = 0.25
#: Tolerance by which the served share of an urgent route may be lower than that of another one.
URGENT_TOLERANCE = 0.05
DURATION_S = 20


@pytest.mark.parametrize('returns', [1, 2])
@pytest.mark.parametrize('load', [0.9, 1.2, 1.5, 3.0])
def test_large_requests_are_served_under_overload_like_all_others(
    load: float, returns: int
) -> None:
    # Issue 15: the largest requests were refused while small ones were admitted.
    result = OverloadSimulation(load, returns, DURATION_S).simulate()
    parts = {
        'largest tenth': result.size_range(0.9, 1),
        'fifth below it': result.size_range(0.7, 0.9),
    }
    shares = {name: round(part.served / result.served, 2) for name, part in parts.items()}
    assert min(shares.values()) >= MIN_SHARE, shares


@pytest.mark.parametrize('load', [0.9, 1.2, 1.5, 3.0])
def test_route_with_a_short_objective_is_served_beside_routes_with_long_ones(load: float) -> None:
    quick = replace(ROUTE, name='quick', objective_s=0.25)
    result = OverloadSimulation(
        load, 1, DURATION_S, routes=(ROUTE, replace(ROUTE, name='other'), quick)
    ).simulate()
    assert result.for_route(quick).served >= MIN_ROUTE_SHARE * result.served


@pytest.mark.parametrize('load', [0.9, 1.2, 1.5, 3.0])
def test_urgent_route_with_a_short_objective_is_served_as_often_as_others(load: float) -> None:
    quick = replace(ROUTE, name='quick', objective_s=0.3, priority=0)
    result = OverloadSimulation(load, 1, DURATION_S, routes=(ROUTE, quick)).simulate()
    assert result.for_route(quick).served >= result.for_route(ROUTE).served - URGENT_TOLERANCE
