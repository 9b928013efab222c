"""Tests of the selection of hosts that may load."""

from __future__ import annotations

from dataclasses import replace

from cassiahitch.controllers.assignment import ObservedNode
from cassiahitch.controllers.load_selector import MAX_LOAD_ATTEMPTS, WaveLoadSelector
from cassiahitch.controllers.rollout import Target
from cassiahitch.resources.models import Objective

TARGET = Target('draft', 'new', ('new',), Objective.time)
NEWER = Target('draft', 'newer', ('newer',), Objective.time)


def nodes(loaded: str, count: int = 6) -> tuple[ObservedNode, ...]:
    return tuple(
        ObservedNode(f'h{number}', 1, 'r', f'd{number % 3}', 'draft', loaded)
        for number in range(count)
    )


def test_hosts_that_serve_nothing_load_at_once() -> None:
    empty = nodes('')
    assert WaveLoadSelector()(TARGET, empty, empty) == empty


def test_replacement_keeps_two_thirds_and_half_of_each_failure_domain() -> None:
    hosts = nodes('old')
    chosen = WaveLoadSelector()(TARGET, hosts, hosts)
    assert len(chosen) == 2
    assert len({node.failure_domain for node in chosen}) == 2


def test_hosts_that_load_count_as_not_serving() -> None:
    hosts = tuple(replace(node, loading='new') for node in nodes('old')[:2]) + nodes('old')[2:]
    assert not WaveLoadSelector()(TARGET, hosts, hosts[2:])


def test_failed_loads_stop_the_rollout_until_there_is_another_version() -> None:
    selector, hosts = WaveLoadSelector(), nodes('old')
    selections = [selector(TARGET, hosts, hosts) for _ in range(MAX_LOAD_ATTEMPTS)]
    assert all(selection == selections[0] for selection in selections)
    assert not selector(TARGET, hosts, hosts)
    assert selector(NEWER, hosts, hosts)


def test_successful_load_is_not_counted_as_failed() -> None:
    selector = WaveLoadSelector()
    for _ in range(2 * MAX_LOAD_ATTEMPTS):
        hosts = nodes('old')
        assert selector(TARGET, hosts, hosts)
        selector(TARGET, nodes('new'), ())
