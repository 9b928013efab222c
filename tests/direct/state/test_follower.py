"""Tests of the task that keeps a table up to date, with scripted stores and entries.

Guards against a reader that reads each version of a row that changes all the time, and against a
process that starts late, or by an old table, since it asks other entries first.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from virtual_loop import virtual_time

from cassiahitch.direct.state.feed import (
    LARGE_CHANGE_BYTES,
    Reply,
    TableChanges,
    TableFeed,
    TableRow,
    TableSnapshot,
)
from cassiahitch.direct.state.follower import START_RELAY_S, TableFollower
from cassiahitch.direct.statelog import StateLog
from cassiahitch.wire.datagrammessages import RowRecord, TableRows

TABLE = 'op'
WAIT_S = 0.6
MAX_RELAYED_AGE_S = 1.5
MS_PER_S = 1000
#: A large row changes at this interval, for this time, and is then read at this interval.
CHANGE_INTERVAL_S = 1 / 12
CHANGES_S = 6.0
READ_INTERVAL_S = 0.95
#: Seconds until the changes begin.
CALM_S = 0.5


def now() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class ChangingStore:
    """A store with one large row; counts the versions that it sends."""

    round_trip_s: float = 0.002
    changes_from: float = float('inf')
    versions_sent: int = 0
    snapshots_at: list[float] = field(default_factory=list)

    def newest(self) -> int:
        changing_s = max(0, min(CHANGES_S, now() - self.changes_from))
        return 1 + int(changing_s / CHANGE_INTERVAL_S)

    def rows(self, first: int, last: int) -> tuple[TableRow, ...]:
        self.versions_sent += last - first + 1
        content = bytes(LARGE_CHANGE_BYTES)
        return tuple(TableRow('config', content, version) for version in range(first, last + 1))

    async def read_all(self, table: str) -> Reply:
        self.snapshots_at.append(now())
        await asyncio.sleep(self.round_trip_s / 2)
        version = self.newest()
        rows = self.rows(version, version)
        await asyncio.sleep(self.round_trip_s / 2)
        return TableSnapshot(rows, version)

    async def read_changes(self, table: str, since: int, wait_s: float) -> Reply:
        await asyncio.sleep(self.round_trip_s / 2)
        until = now() + wait_s
        while self.newest() <= since and now() < until:
            await asyncio.sleep(self.round_trip_s)
        version = self.newest()
        rows = self.rows(since + 1, version)
        await asyncio.sleep(self.round_trip_s / 2)
        return TableChanges(rows, version)


@dataclass
class ScriptedRelay:
    """The relay of an entry that reads the table itself, for ``subscribed`` others.

    At its start it asks ``start_with``, whose reply is ``rows`` after ``takes_s``.
    """

    subscribed: tuple[str, ...] = ()
    start_with: tuple[str, ...] = ()
    rows: TableRows | None = None
    takes_s: float = 0

    def readers(self) -> tuple[str, ...]:
        return ()

    def subscribers(self) -> tuple[str, ...]:
        return self.subscribed

    async def start_readers(self) -> tuple[str, ...]:
        return self.start_with

    async def read_rows(
        self, readers: tuple[str, ...], table: str, since: int, era: int
    ) -> TableRows | None:
        await asyncio.sleep(self.takes_s)
        return self.rows

    def announce(self, table: str, before: int | None, rows: tuple[TableRow, ...]) -> None:
        """Nobody listens."""


def follow(
    store: ChangingStore, relay: ScriptedRelay, seconds: float, begin: Callable[[], None]
) -> TableFollower:
    """Follow the table for some seconds of virtual time, after a call of ``begin``."""
    follower = TableFollower(
        store,  # type: ignore[arg-type]
        TABLE,
        TableFeed(random.Random(1), large_change_interval_s=READ_INTERVAL_S),
        lambda rows, reply, sent_at: None,
        StateLog(),
        WAIT_S,
        relay,  # type: ignore[arg-type]
        MAX_RELAYED_AGE_S,
    )

    async def body() -> None:
        begin()
        task = asyncio.create_task(follower.work())
        await asyncio.sleep(seconds)
        task.cancel()

    with virtual_time() as runner:
        runner.run(body())
    return follower


@pytest.mark.parametrize('round_trip_s', [0.002, 0.03, 0.07, 0.15])
def test_reader_for_others_does_not_read_each_version_of_a_row_that_changes_all_the_time(
    round_trip_s: float,
) -> None:
    store = ChangingStore(round_trip_s)

    def begin() -> None:
        store.changes_from = now() + CALM_S

    follow(store, ScriptedRelay(('entry', 'agent')), CALM_S + CHANGES_S, begin)
    # At most those that came within two round trips in addition to one for each interval.
    extra = 2 + 2 * round_trip_s / CHANGE_INTERVAL_S
    assert store.versions_sent <= 1 + CHANGES_S / READ_INTERVAL_S + extra


@pytest.mark.parametrize(
    ('age_s', 'takes_s'), [(0, 10), (2, 0)], ids=['entry hangs', 'entry has an old table']
)
def test_start_does_not_wait_for_an_entry_without_a_recent_table(
    age_s: float, takes_s: float
) -> None:
    store = ChangingStore()
    record = RowRecord('config', b'old', version=1)
    rows = TableRows(
        TABLE, whole=True, since=1, changed=1, age_ms=int(age_s * MS_PER_S), rows=(record,)
    )
    started: list[float] = []
    relay = ScriptedRelay(start_with=('entry', 'other'), rows=rows, takes_s=takes_s)
    follower = follow(store, relay, 3 * START_RELAY_S, lambda: started.append(now()))
    assert store.snapshots_at[0] - started[0] <= START_RELAY_S + store.round_trip_s
    assert follower.cache.rows['config'].content == bytes(LARGE_CHANGE_BYTES)
