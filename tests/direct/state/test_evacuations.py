"""Evacuated failure domains follow the rows of the operator.

Guards against requests to a failure domain that the operator evacuates: because its row cannot be
parsed, because a snapshot names it only by leaving it out, or because all entries return at once.
"""

from __future__ import annotations

import random

import pytest

from cassiahitch.direct.state.evacuations import (
    RETURN_RAMP_UP_S,
    Evacuation,
    EvacuationRegistry,
)
from cassiahitch.direct.state.feed import TableFeed, TableRow, TableSnapshot
from cassiahitch.platform.adapter import Platform
from cassiahitch.stores.http_client import HttpClient
from cassiahitch.util.endpoints import Endpoint

DOMAIN = 'north-1'
KEY = f'evacuate/{DOMAIN}'
DRAWS = 2000


def _platform() -> Platform:
    return Platform(HttpClient(), Endpoint('127.0.0.1', 1))


@pytest.mark.parametrize('content', [b'{}', b'', b'{', b'\xff\x00', b'[1', b'null'])
def test_key_alone_names_the_evacuated_failure_domain(content: bytes) -> None:
    row = TableRow(KEY, content, 3)
    assert _platform().read_declaration(row) == Evacuation(DOMAIN, active=True)


def test_removed_rows_end_an_evacuation_and_declare_nothing_else() -> None:
    platform = _platform()
    assert platform.read_declaration(TableRow(KEY, None, 4)) == Evacuation(DOMAIN, active=False)
    for key in ('config', 'version/m1', 'other'):
        assert platform.read_declaration(TableRow(key, None, 4)) is None


def test_snapshot_without_the_row_ends_the_evacuation() -> None:
    feed = TableFeed(random.Random(1))
    registry = EvacuationRegistry()
    platform = _platform()
    for rows, version in (((TableRow(KEY, b'{}', 3),), 5), ((), 9)):
        for row in feed.handle(TableSnapshot(rows, version)):
            declared = platform.read_declaration(row)
            assert isinstance(declared, Evacuation)
            assert registry.apply(declared, version)
        assert registry.is_evacuated(DOMAIN) == bool(rows)


def test_repeated_rows_change_nothing() -> None:
    registry = EvacuationRegistry()
    assert not registry.apply(Evacuation(DOMAIN, active=False), 0)
    assert registry.apply(Evacuation(DOMAIN), 1)
    assert not registry.apply(Evacuation(DOMAIN), 2)
    assert registry.apply(Evacuation(DOMAIN, active=False), 3)
    assert not registry.apply(Evacuation(DOMAIN, active=False), 4)


def test_share_of_a_returned_failure_domain_increases() -> None:
    registry = EvacuationRegistry()
    rng = random.Random(1)
    registry.apply(Evacuation(DOMAIN), 0)
    registry.apply(Evacuation(DOMAIN, active=False), 10)
    shares = [
        sum(
            registry.passes_ramp_up(DOMAIN, 10 + part * RETURN_RAMP_UP_S, rng) for _ in range(DRAWS)
        )
        / DRAWS
        for part in (0.1, 0.5, 0.9, 1)
    ]
    assert shares == pytest.approx([0.1, 0.5, 0.9, 1], abs=0.04)
    assert registry.passes_ramp_up('south-1', 10, rng)
    assert not registry.returned_at
