"""Tests of the entry addresses returned to callers."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

from cassiahitch.routing.addresses import EntryRegistry, EntryState


def make_registry(entries: int = 9, seed: int = 0) -> EntryRegistry:
    registry = EntryRegistry('lagos', Random(seed))
    for index in range(entries):
        name = f'entry-{index}'
        state = EntryState(
            name, f'10.0.0.{index}', 'lagos', f'd{index % 3}', ready=True, stopping=False, load=0
        )
        registry.update(state, 0)
    return registry


def count_addresses(registry: EntryRegistry, responses: int) -> Counter[str]:
    return Counter(
        address.address
        for _ in range(responses)
        for address in registry.select_addresses(1).addresses
    )


def test_response_has_one_entry_of_each_failure_domain() -> None:
    registry = make_registry()
    for _ in range(50):
        numbers = [
            int(entry.address.rsplit('.', 1)[1]) for entry in registry.select_addresses(1).addresses
        ]
        assert {number % 3 for number in numbers} == {0, 1, 2}


def test_burst_of_callers_is_spread_over_all_entries() -> None:
    counts = count_addresses(make_registry(), 900)
    assert len(counts) == 9
    assert max(counts.values()) < 1.25 * 300


def test_loaded_entry_is_returned_less_often() -> None:
    registry = make_registry()
    registry.update(replace(registry.entries['entry-0'], load=0.9), 0)
    counts = count_addresses(registry, 900)
    assert counts['10.0.0.0'] < 0.3 * counts['10.0.0.3']


def test_stopping_entry_is_removed_at_once_and_permanently() -> None:
    registry = make_registry()
    stopping = replace(registry.entries['entry-0'], stopping=True)
    registry.update(stopping, 1)
    registry.update(replace(stopping, stopping=False), 1)
    assert count_addresses(registry, 300)['10.0.0.0'] == 0


def test_entry_without_configuration_or_recent_state_is_not_returned() -> None:
    registry = make_registry()
    registry.update(replace(registry.entries['entry-0'], ready=False), 1)
    assert count_addresses(registry, 300)['10.0.0.0'] == 0
    assert not registry.select_addresses(60).addresses


def test_lifetimes_differ_so_that_callers_do_not_refresh_together() -> None:
    registry = make_registry()
    lifetimes = [registry.select_addresses(1).lifetime_s for _ in range(100)]
    assert max(lifetimes) - min(lifetimes) > 8
