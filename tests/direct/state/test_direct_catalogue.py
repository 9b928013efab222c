"""Tests of route lookup and mean objectives in the configuration."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.direct.state.catalogue import Catalogue, RepeatPolicy, Route, ServiceShare

PREFIXES = ('/', '/a/', '/a/b/', '/a/bc/', '/b/')


def route(prefix: str, host: str = 'menus.example') -> Route:
    shares = (ServiceShare('desk', 1),)
    return Route(prefix, host, prefix, RepeatPolicy.idempotent, 1, 0.2, 1, shares)


def catalogue(*prefixes: str) -> Catalogue:
    return Catalogue(1, tuple(route(prefix) for prefix in prefixes), {})


def test_longest_prefix_wins() -> None:
    config = catalogue('/a/', '/a/b/')
    routes = [config.route('menus.example', path) for path in ('/a/b/c', '/a/c', '/a/b/')]
    assert [match and match.prefix for match in routes] == ['/a/b/', '/a/', '/a/b/']


def test_prefix_ends_at_a_slash() -> None:
    config = catalogue('/a/b/')
    assert config.route('menus.example', '/a/bc') is None
    assert config.route('menus.example', '/a/b') is None


def test_query_is_no_part_of_the_path() -> None:
    assert catalogue('/a/').route('menus.example', '/?x=/a/') is None
    assert catalogue('/a/').route('menus.example', '/a/?x=1') is not None


def test_host_is_found_in_any_case_and_with_a_port() -> None:
    config = catalogue('/a/')
    assert config.route('Menus.Example:8005', '/a/x') is not None
    assert config.route('other.example', '/a/x') is None


@given(st.lists(st.sampled_from(('a', 'b', 'bc', '')), max_size=5))
def test_route_is_the_longest_of_all_prefixes_that_begin_the_path(parts: list[str]) -> None:
    path = '/'.join(('', *parts))
    matching = [prefix for prefix in PREFIXES if path.startswith(prefix)]
    match = catalogue(*PREFIXES).route('menus.example', path)
    assert (match and match.prefix) == max(matching, key=len, default=None)


@pytest.mark.parametrize(
    ('regions', 'named'),
    [
        ([(), ()], ''),
        ([('n',), ()], 'n'),
        ([('n', 'e'), ('e', 's')], 'e'),
        ([('n',), ('e',)], 'en'),
    ],
    ids=['none', 'one route', 'in common', 'nothing in common'],
)
def test_host_is_open_to_all_regions_only_if_no_route_is_restricted(
    regions: list[tuple[str, ...]], named: str
) -> None:
    routes = tuple(
        replace(route(f'/{number}/', 'h'), allowed_regions=frozenset(allowed))
        for number, allowed in enumerate(regions)
    )
    assert Catalogue(1, routes, {}).host_regions('h') == set(named)


def test_mean_objective_of_a_service_covers_all_its_routes() -> None:
    routes = (route('/a/'), replace(route('/b/'), objective_s=0.4))
    config = Catalogue(1, routes, {})
    assert config.mean_objectives_s == {'desk': pytest.approx(0.3)}


def test_route_without_traffic_does_not_change_the_mean_objective() -> None:
    unused = replace(route('/b/'), objective_s=20, shares=(ServiceShare('desk', 0),))
    assert Catalogue(1, (route('/a/'), unused), {}).mean_objectives_s == {
        'desk': pytest.approx(0.2)
    }
