"""Tests of the retention sweep."""

from __future__ import annotations

from random import Random

import pytest

from cassiahitch.ledger.rows import TABLE, ClaimRow, row_key
from cassiahitch.ledger.sweep import (
    PageFailed,
    PageScanned,
    RemovalEnded,
    RemoveRows,
    RetentionSweep,
    ScanPage,
    SweepLimits,
    SweepTick,
)
from cassiahitch.stores.api import Condition, Row

WALL = 10_000.0
LIMITS = SweepLimits(retention_s=1000, page_rows=3, interval_s=1, pause_s=60, unknown_after_s=100)


@pytest.fixture
def sweep() -> RetentionSweep:
    return RetentionSweep(Random(1), LIMITS)


def row(name: str, age: float) -> Row:
    key = row_key('okonkwo', 'reorder', name)
    content = ClaimRow(
        key=key,
        organisation='okonkwo',
        body_digest=key,
        agent='host',
        incarnation=1,
        claim_id=name,
        not_after=0,
        created=WALL - age,
    )
    return Row(TABLE, key, content.encode(), 4)


def test_only_rows_past_their_retention_are_removed_by_their_version(
    sweep: RetentionSweep,
) -> None:
    old, new = row('old', 1001), row('new', 999)
    assert sweep.handle(SweepTick(WALL), 0) == (ScanPage(TABLE, '', 3),)
    removal = sweep.handle(PageScanned((old, new), WALL), 0)[0]
    assert isinstance(removal, RemoveRows)
    assert removal.conditions == (Condition(TABLE, old.key, 4),)
    assert not sweep.handle(SweepTick(WALL), 500)
    sweep.handle(RemovalEnded(committed=True), 500)
    assert sweep.removed == 1


def test_keys_without_an_outcome_are_listed_after_a_pass(sweep: RetentionSweep) -> None:
    rows = (row('a', 101), row('b', 99), Row(TABLE, 'broken', b'[', 1))
    sweep.handle(SweepTick(WALL), 0)
    sweep.handle(PageScanned(rows, WALL), 0)
    assert not sweep.unknown_keys
    assert sweep.handle(SweepTick(WALL), 2) == (ScanPage(TABLE, 'broken', 3),)
    sweep.handle(PageScanned((), WALL), 2)
    assert [unknown.claim_id for unknown in sweep.unknown_keys] == ['a']
    assert sweep.corrupt_rows == 1


@pytest.mark.parametrize(
    ('reply', 'mean_s'),
    [
        pytest.param(PageScanned((row('a', 0),) * 3, WALL), 1, id='next-page'),
        pytest.param(PageScanned((), WALL), 60, id='next-pass'),
        pytest.param(PageFailed(), 60, id='failed'),
    ],
)
def test_scans_are_spaced_with_jitter(
    sweep: RetentionSweep, reply: PageScanned | PageFailed, mean_s: float
) -> None:
    sweep.handle(SweepTick(WALL), 0)
    sweep.handle(reply, 0)
    assert mean_s / 2 <= sweep.next_at <= mean_s * 3 / 2
    assert not sweep.handle(SweepTick(WALL), mean_s / 2 - 0.01)
    assert sweep.handle(SweepTick(WALL), mean_s * 3 / 2)
