"""Tests of when versions are fetched and loaded."""

from __future__ import annotations

import pytest

from cassiahitch.direct.staging.loading import is_worth_finishing, load_delay_s

USUAL_S = 5.4


@pytest.mark.parametrize(
    ('newer_s', 'age_s', 'goes_on'),
    [
        (4.0, 4.0, True),
        (4.0, 6.0, True),
        (4.0, 9.0, False),
        (1.0, 1.0, False),
        (1.0, 5.0, False),
    ],
    ids=[
        'it was nearly here',
        'it is a little late',
        'it does not come',
        'it had only begun',
        'the newer one is long under way',
    ],
)
def test_version_is_fetched_on_beside_a_newer_one_if(
    newer_s: float, age_s: float, goes_on: bool
) -> None:
    assert is_worth_finishing(newer_s, age_s, USUAL_S) is goes_on


def test_loads_are_spread_over_the_time_that_is_left() -> None:
    hosts = tuple(f'10.1.0.{number}' for number in range(10))
    turns = sorted(load_delay_s(host, hosts, 2, 3) for host in hosts)
    assert turns[0] == 0
    assert 1 < turns[-1] < 3


def test_loads_begin_at_once_if_no_time_is_left() -> None:
    hosts = tuple(f'10.1.0.{number}' for number in range(10))
    assert not any(load_delay_s(host, hosts, 2, 0.5) for host in hosts)
