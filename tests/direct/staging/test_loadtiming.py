"""Tests of when an older version is still fetched, and of the delays of loads."""

from __future__ import annotations

import pytest

from cassiahitch.direct.staging.loadtiming import is_worth_finishing, load_delay_s

EXPECTED_S = 5.4


@pytest.mark.parametrize(
    ('newer_after_s', 'age_s', 'continues'),
    [
        (4.0, 4.0, True),
        (4.0, 6.0, True),
        (4.0, 9.0, False),
        (1.0, 1.0, False),
        (1.0, 5.0, False),
    ],
    ids=[
        'nearly complete',
        'a little late',
        'far too late',
        'only just started',
        'newer fetch started long ago',
    ],
)
def test_whether_a_fetch_continues_beside_a_newer_version(
    newer_after_s: float, age_s: float, continues: bool
) -> None:
    assert is_worth_finishing(newer_after_s, age_s, EXPECTED_S) is continues


def test_loads_are_spread_over_the_remaining_time() -> None:
    hosts = tuple(f'10.1.0.{number}' for number in range(10))
    delays = sorted(load_delay_s(host, hosts, 2, 3) for host in hosts)
    assert delays[0] == 0
    assert 1 < delays[-1] < 3


def test_loads_begin_at_once_if_no_time_is_left() -> None:
    hosts = tuple(f'10.1.0.{number}' for number in range(10))
    assert not any(load_delay_s(host, hosts, 2, 0.5) for host in hosts)
