"""Tests of the admission of requests by their own objective and priority.

Guards against two failures: requests that are admitted by the mean objective of a service although
they will be late, and less urgent routes that starve behind more urgent ones.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from deployment_loads import EQUAL, EQUAL_ENGINE, MIXED, MIXED_ENGINE
from overload_model import OverloadResult, OverloadSimulation, RouteLoad

from cassiahitch.direct.placement.admission import (
    MAX_ADVANCE,
    admission_terms,
    urgency_advance,
)
from cassiahitch.direct.placement.assignments import PlacementRequest
from cassiahitch.direct.placement.overload import MAX_SERVICES, OverloadControl
from cassiahitch.direct.placement.pressure import (
    COUNT_HALF_LIFE_S,
    MAX_CLASSES,
    RequestClass,
    ServicePressure,
)
from cassiahitch.direct.state.catalogue import Catalogue, ServiceShare

PATIENT, URGENT, MIDDLE = (part.route for part in MIXED)
PATIENT_CLASS = RequestClass('patient', 2, PATIENT.objective_s)
#: Minimum served share of the requests of one route, as a fraction of that of all requests.
MIN_ROUTE_SHARE = 0.25
#: Minimum served share of the largest tenth of the requests, in the same form.
MIN_SIZE_SHARE = 0.5
#: Tolerance by which the served share of an urgent route may be lower than that of another one.
URGENT_TOLERANCE = 0.05


def pressure(begun: int, refused: int, *routes: str) -> ServicePressure:
    """Return the state after requests of each of the named routes."""
    counted = ServicePressure()
    for part in MIXED:
        if part.route.name in routes:
            request_class = RequestClass(
                part.route.name, part.route.priority, part.route.objective_s
            )
            for number in range(begun + refused):
                counted.record(request_class, 0, begun=number < begun)
    return counted


def overload(mix: tuple[RouteLoad, ...], load: float) -> OverloadResult:
    engine = MIXED_ENGINE if mix is MIXED else EQUAL_ENGINE
    return OverloadSimulation(load, 1, 15, engines=6, entries=9, mix=mix, engine=engine).simulate()


@pytest.mark.parametrize('load', [1.0, 1.3, 3.0])
def test_more_urgent_routes_are_served_more_often_and_none_starves(load: float) -> None:
    result = overload(MIXED, load)
    patient, urgent, middle = (result.for_route(part.route).served for part in MIXED)
    assert urgent >= middle - URGENT_TOLERANCE
    assert middle >= patient - URGENT_TOLERANCE
    assert patient >= MIN_ROUTE_SHARE * result.served
    assert result.size_range(0.9, 1).served >= MIN_SIZE_SHARE * result.served


def test_requests_with_a_shorter_objective_than_the_mean_are_not_served_late() -> None:
    result = overload(MIXED, 1.3).for_route(URGENT)
    assert result.within_objective >= 0.9 * result.served


@pytest.mark.parametrize('load', [1.3, 3.0])
def test_routes_with_equal_objectives_and_priorities_are_served_alike(load: float) -> None:
    result = overload(EQUAL, load)
    for part in EQUAL:
        assert result.for_route(part.route).served >= 0.8 * result.served


def test_without_differences_all_requests_of_a_service_are_admitted_alike() -> None:
    counted = pressure(5, 5, 'urgent')
    counted.record(RequestClass('other', 0, 0.404), 0, begun=False)
    assert admission_terms(URGENT, 0, counted, 0) is None


def test_without_recent_requests_the_terms_are_unchanged() -> None:
    assert admission_terms(URGENT, 0, None, 0) is None
    counted = pressure(5, 5, 'urgent', 'patient')
    assert admission_terms(URGENT, 0, counted, 20 * COUNT_HALF_LIFE_S) is None


def test_terms_use_the_own_objective_and_the_shortest_queue() -> None:
    terms = admission_terms(PATIENT, 2, pressure(5, 0, 'urgent', 'patient'), 0)
    assert terms is not None
    assert terms.objective_s == PATIENT.objective_s
    assert terms.queue_objective_s == URGENT.objective_s
    assert not terms.advance


def test_short_objective_without_recent_requests_does_not_bound_the_queue() -> None:
    assert admission_terms(PATIENT, 2, pressure(5, 0, 'patient'), 0) is None


def test_urgent_requests_have_an_advance_only_under_pressure() -> None:
    idle = admission_terms(URGENT, 0, pressure(9, 0, 'patient', 'urgent'), 0)
    under_pressure = pressure(9, 3, 'patient', 'urgent')
    busy = admission_terms(URGENT, 0, under_pressure, 0)
    last = admission_terms(PATIENT, 2, pressure(9, 3, 'patient', 'urgent'), 0)
    assert idle is not None
    assert busy is not None
    assert last is not None
    assert not idle.advance
    assert busy.advance == pytest.approx(MAX_ADVANCE / 2)
    assert under_pressure.refused_share(0) == pytest.approx(0.25)
    assert not last.advance


def test_advance_ends_when_a_less_urgent_class_is_served_too_rarely() -> None:
    assert urgency_advance(pressure(8, 2, 'urgent', 'patient'), 0, 0) > 0
    counted = pressure(8, 2, 'urgent')
    for number in range(20):
        counted.record(PATIENT_CLASS, 0, begun=not number)
    assert urgency_advance(counted, 0, 0) == 0


def test_state_decays_within_seconds() -> None:
    counted = pressure(20, 20, 'urgent', 'patient')
    assert urgency_advance(counted, 0, 0) > 0
    assert urgency_advance(counted, 0, 8 * COUNT_HALF_LIFE_S) == 0
    assert counted.refused_share(8 * COUNT_HALF_LIFE_S) == 0


def test_number_of_classes_is_bounded() -> None:
    counted = ServicePressure()
    for number in range(3 * MAX_CLASSES):
        counted.record(RequestClass(f'route {number}', 0, 1), number / 10, begun=True)
    assert len(counted.classes) <= MAX_CLASSES
    newest = RequestClass('new', 0, 1)
    counted.record(newest, 3 * MAX_CLASSES, begun=True)
    assert newest in counted.classes


def test_number_of_services_is_bounded() -> None:
    control = OverloadControl()
    for number in range(2 * MAX_SERVICES):
        for _ in range(4):
            control.record(f'service {number}', PlacementRequest(URGENT, 0), 0, begun=True)
    assert len(control.services) == MAX_SERVICES
    control.record('new', PlacementRequest(URGENT, 0), 20 * COUNT_HALF_LIFE_S, begun=True)
    assert list(control.services) == ['new']


def test_services_without_ranked_routes_are_served_as_without_the_control() -> None:
    """Guards against changes for deployments whose routes all have one priority."""
    ranked = {'essays'}
    control = OverloadControl(applies_to=ranked.__contains__)
    request = PlacementRequest(URGENT, 0, priority=0)
    for service in ('essays', 'ledger'):
        for _ in range(20):
            control.record(service, request, 0, begun=False)
    assert set(control.services) == ranked
    assert control.adjust('ledger', request, 0) is request
    ranked.clear()
    control.record('essays', request, 0, begun=False)
    assert not control.services


def test_services_are_ranked_if_their_routes_differ_in_priority() -> None:
    shares = (ServiceShare('essays', 1),)
    routes = tuple(
        replace(part.route, shares=shares, prefix=f'/{number}/')
        for number, part in enumerate(MIXED)
    )
    assert Catalogue(1, routes, {}).ranked_services == {'essays'}
    equal = tuple(replace(route, priority=1) for route in routes)
    assert not Catalogue(1, equal, {}).ranked_services
