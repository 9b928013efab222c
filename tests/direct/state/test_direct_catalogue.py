"""Tests of the configuration in force."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.direct.state.catalogue import Catalogue, Repeat, Route, ServiceShare

PREFIXES = ('/', '/a/', '/a/b/', '/a/bc/', '/b/')


def route(prefix: str, host: str = 'menus.example') -> Route:
    shares = (ServiceShare('desk', 1),)
    return Route(prefix, host, prefix, Repeat.idempotent, 1, 0.2, 1, shares)


def catalogue(*prefixes: str) -> Catalogue:
    return Catalogue(1, tuple(route(prefix) for prefix in prefixes), {})


def test_longest_prefix_wins() -> None:
    known = catalogue('/a/', '/a/b/')
    found = [known.route('menus.example', path) for path in ('/a/b/c', '/a/c', '/a/b/')]
    assert [one and one.prefix for one in found] == ['/a/b/', '/a/', '/a/b/']


def test_prefix_ends_at_a_slash() -> None:
    known = catalogue('/a/b/')
    assert known.route('menus.example', '/a/bc') is None
    assert known.route('menus.example', '/a/b') is None


def test_query_is_no_part_of_the_path() -> None:
    assert catalogue('/a/').route('menus.example', '/?x=/a/') is None
    assert catalogue('/a/').route('menus.example', '/a/?x=1') is not None


def test_host_is_found_in_any_case_and_with_a_port() -> None:
    known = catalogue('/a/')
    assert known.route('Menus.Example:8005', '/a/x') is not None
    assert known.route('other.example', '/a/x') is None


@given(st.lists(st.sampled_from(('a', 'b', 'bc', '')), max_size=5))
def test_route_is_the_longest_of_all_prefixes_that_begin_the_path(parts: list[str]) -> None:
    path = '/'.join(('', *parts))
    fitting = [prefix for prefix in PREFIXES if path.startswith(prefix)]
    found = catalogue(*PREFIXES).route('menus.example', path)
    assert (found and found.prefix) == max(fitting, key=len, default=None)


def test_usual_objective_of_a_service_is_the_mean_of_its_routes() -> None:
    routes = (route('/a/'), replace(route('/b/'), objective_s=0.4))
    known = Catalogue(1, routes, {})
    assert known.objectives_s == {'desk': pytest.approx(0.3)}


def test_route_that_leads_nowhere_does_not_change_the_usual_objective() -> None:
    unused = replace(route('/b/'), objective_s=20, shares=(ServiceShare('desk', 0),))
    assert Catalogue(1, (route('/a/'), unused), {}).objectives_s == {'desk': pytest.approx(0.2)}
