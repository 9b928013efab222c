"""Tests of the fair shares of organisations under overload.

Guards against a large organisation that takes the capacity from small ones, and against
organisations that are restricted although others do not need the capacity.
"""

from __future__ import annotations

import math
import random

import pytest
from deployment_loads import EQUAL, EQUAL_ENGINE, MIXED
from overload_model import OverloadResult, OverloadSimulation

from cassiahitch.direct.placement.assignments import PlacementRequest
from cassiahitch.direct.placement.overload import OverloadControl
from cassiahitch.direct.placement.pressure import COUNT_HALF_LIFE_S
from cassiahitch.direct.placement.shares import (
    MAX_ORGANISATIONS,
    SHARE_REFRESH_S,
    FairShares,
    equal_share,
)

ROUTE = MIXED[1].route
LARGE = 'large'
SMALL = tuple(f'small {number}' for number in range(5))
#: Minimum served share of an organisation, as a fraction of that of all requests.
MIN_ORGANISATION_SHARE = 0.25


def one_large_organisation(load: float) -> OverloadResult:
    shares = {LARGE: 0.6} | dict.fromkeys(SMALL, 0.08)
    return OverloadSimulation(
        load, 1, 15, engines=6, entries=9, mix=EQUAL, engine=EQUAL_ENGINE, organisations=shares
    ).simulate()


def record(shares: FairShares, organisation: str, begun: int, refused: int) -> None:
    for number in range(begun + refused):
        shares.record(organisation, 1000, 0, begun=number < begun)


@pytest.mark.parametrize('load', [1.3, 2.0])
def test_large_organisation_is_refused_before_small_ones(load: float) -> None:
    result = one_large_organisation(load)
    large = result.for_organisation(LARGE).served
    for name in SMALL:
        assert result.for_organisation(name).served >= large
    assert large >= MIN_ORGANISATION_SHARE * result.served


@pytest.mark.parametrize(
    ('asked', 'capacity', 'share'),
    [
        ([], 0, math.inf),
        ([5], 4, 4),
        ([5, 5], 10, math.inf),
        ([1, 9], 6, 5),
        ([1, 2, 20, 20], 13, 5),
    ],
)
def test_capacity_that_some_do_not_need_goes_to_the_others(
    asked: list[float], capacity: float, share: float
) -> None:
    assert equal_share(asked, capacity) == share


def test_only_the_organisation_above_its_share_is_restricted() -> None:
    shares = FairShares()
    record(shares, LARGE, 36, 10)
    for name in SMALL:
        record(shares, name, 4, 4)
    assert shares.restricted_share(LARGE, 0) > 0
    assert not shares.restricted_share(SMALL[0], 0)
    assert not shares.restricted_share('unknown', 0)


def test_single_organisation_is_not_restricted() -> None:
    shares = FairShares()
    record(shares, LARGE, 20, 20)
    assert not shares.restricted_share(LARGE, 0)


def test_without_pressure_no_organisation_is_restricted() -> None:
    overload = OverloadControl(random.Random(1))
    large = PlacementRequest(ROUTE, 0, 1000, organisation=LARGE)
    for number in range(30):
        overload.record('drafts', large, 0, begun=True)
        overload.record('drafts', large, 0, begun=True)
        small = PlacementRequest(ROUTE, 0, 1000, organisation=f'small {number % 3}')
        overload.record('drafts', small, 0, begun=True)
    assert not overload.adjust('drafts', large, 0).is_restricted
    for _ in range(60):
        small = PlacementRequest(ROUTE, 0, 1000, organisation='small 1')
        overload.record('drafts', small, 0, begun=False)
    assert any(overload.adjust('drafts', large, 1).is_restricted for _ in range(20))
    assert not overload.adjust('drafts', large, 20 * COUNT_HALF_LIFE_S).is_restricted


def test_number_of_organisations_is_bounded() -> None:
    shares = FairShares()
    for number in range(2 * MAX_ORGANISATIONS):
        shares.record(f'organisation {number}', 1000, 0, begun=True)
    assert len(shares.organisations) == MAX_ORGANISATIONS
    later = SHARE_REFRESH_S + 8 * COUNT_HALF_LIFE_S
    shares.record('new', 1000, later, begun=True)
    assert list(shares.organisations) == ['new']


def test_requests_without_an_organisation_are_not_counted() -> None:
    shares = FairShares()
    shares.record('', 1000, 0, begun=True)
    assert not shares.organisations
