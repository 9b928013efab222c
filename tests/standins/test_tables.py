"""Tests of the in-memory table service."""

from __future__ import annotations

import asyncio
import random

import pytest

from cassiahitch.codes import Code
from cassiahitch.errors import PlatformError
from cassiahitch.standins.tables import MemoryTables
from cassiahitch.stores.api import (
    ABSENT_VERSION,
    CommitConflict,
    CommitSuccess,
    Condition,
    Row,
    Write,
)


def test_commit_applies_all_or_nothing() -> None:
    async def check() -> None:
        tables = MemoryTables()
        first = await tables.commit(
            (Condition('t', 'a', ABSENT_VERSION),), (Write('t', 'a', b'1'),)
        )
        assert isinstance(first, CommitSuccess)
        writes = (Write('t', 'a', b'2'), Write('t', 'b', b'2'))
        stale = (Condition('t', 'a', ABSENT_VERSION), Condition('t', 'b', ABSENT_VERSION))
        outcome = await tables.commit(stale, writes)
        assert outcome == CommitConflict((Row('t', 'a', b'1', first.versions[0]),))
        assert await tables.read('t', 'b') is None

    asyncio.run(check())


def test_version_rises_over_deletion() -> None:
    async def check() -> None:
        tables = MemoryTables()
        await tables.commit((), (Write('t', 'a', b'1'),))
        before = await tables.read('t', 'a')
        await tables.commit((), (Write('t', 'a', None),))
        await tables.commit((), (Write('t', 'a', b'1'),))
        after = await tables.read('t', 'a')
        assert before is not None
        assert after is not None
        assert after.version > before.version

    asyncio.run(check())


def test_scan_follows_prefix_start_and_limit() -> None:
    async def check() -> None:
        tables = MemoryTables()
        keys = ('a/1', 'b/1', 'b/2', 'b/3', 'c/1')
        await tables.commit((), tuple(Write('t', key, b'') for key in keys))
        rows = await tables.scan('t', 'b/', 'b/1', 1)
        assert [row.key for row in rows] == ['b/2']
        assert len(await tables.scan('t', 'b/', '', 9)) == 3

    asyncio.run(check())


def test_lost_answer_comes_after_the_write() -> None:
    async def check() -> None:
        tables = MemoryTables(random.Random(1))
        tables.faults.lost_share = 1
        with pytest.raises(PlatformError) as caught:
            await tables.commit((), (Write('t', 'a', b'1'),))
        assert caught.value.code is Code.store_outcome_unknown
        assert await tables.read('t', 'a') is not None

    asyncio.run(check())


def test_outage_and_bound_refuse_calls() -> None:
    async def check() -> None:
        tables = MemoryTables(max_calls=1)
        tables.faults.down = True
        outcomes = await asyncio.gather(
            tables.read('t', 'a'),
            tables.read('t', 'a'),
            return_exceptions=True,
        )
        codes = {error.code for error in outcomes if isinstance(error, PlatformError)}
        assert codes == {Code.store_unavailable, Code.store_busy}
        assert tables.calls_in_flight == 0

    asyncio.run(check())
