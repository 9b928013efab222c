"""Tests of followers of a table around a restore of the store.

Guards against a table that mixes rows of two eras: of the store, of a relay that has not noticed
the restore, and of a response that was under way during it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable
from dataclasses import dataclass, field, replace

import pytest
from thrift.protocol.TCompactProtocol import TCompactProtocolFactory
from thrift.TSerialization import serialize

from cassiahitch.direct.members.tablerelay import RelayedState
from cassiahitch.direct.state.eras import StoreEra
from cassiahitch.direct.state.feed import (
    UNCONFIRMED_REPLIES,
    ReadChanges,
    ReadSnapshot,
    Reply,
    TableChanges,
    TableFeed,
    TableRow,
    TableSnapshot,
)
from cassiahitch.direct.state.follower import TableFollower
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.statelog import StateLog
from cassiahitch.stores.api import NO_ERA
from cassiahitch.wire.datagrammessages import RowRecord, TableRows, TableState
from cassiahitch.wire.datagrams import decode_datagram
from cassiahitch.wire.gen.datagrams import ttypes

TABLE = 'declarations'
ROW = TableRow('a', b'1', 8)
OLD_ROW = TableRow('a', b'0', 3)
SNAPSHOT = TableSnapshot((ROW, TableRow('b', b'1', 9)), 9, 4)
RESTORED = TableSnapshot((OLD_ROW,), 5, 5)
WHOLE = TableRows(TABLE, whole=True, since=5, changed=3, rows=(RowRecord('a', b'0', False, 3),))


@dataclass
class ScriptedStore:
    """A store that returns given replies."""

    replies: list[Reply]

    async def read_all(self, table: str) -> Reply:
        return self.replies.pop(0)

    async def read_changes(self, table: str, since: int, wait_s: float) -> Reply:
        return self.replies.pop(0)


@dataclass
class ScriptedRelay:
    """A relay to one reader with a given state and given rows."""

    state: RelayedState | None = None
    rows: TableRows | None = None
    announced: list[int | None] = field(default_factory=list)

    def readers(self) -> tuple[str, ...]:
        return ('reader',)

    async def query(self, table: str) -> RelayedState | None:
        return self.state

    async def read_rows(
        self, readers: tuple[str, ...], table: str, since: int, era: int
    ) -> TableRows | None:
        return self.rows

    def announce(self, table: str, before: int | None, rows: tuple[TableRow, ...]) -> None:
        self.announced.append(before)


@dataclass
class Followed:
    """A follower, the rows that it passed on, and the replies that confirmed them."""

    replies: list[Reply]
    relay: ScriptedRelay = field(default_factory=ScriptedRelay)
    rows: list[TableRow] = field(default_factory=list)
    confirming: list[Reply] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.follower = TableFollower(
            ScriptedStore(self.replies),  # type: ignore[arg-type]
            TABLE,
            TableFeed(random.Random(1)),
            self.record,
            StateLog(),
            0.01,
            self.relay,  # type: ignore[arg-type]
            2,
            era=StoreEra(),
        )

    def record(self, rows: tuple[TableRow, ...], reply: Reply, sent_at: float) -> None:
        self.rows.extend(rows)
        if not isinstance(reply, UNCONFIRMED_REPLIES):
            self.confirming.append(reply)

    async def read(self) -> None:
        await self.follower.read_from_store(self.follower.feed.next_read(), 0)


def run(body: Awaitable[None]) -> None:
    async def run_body() -> None:
        await body

    asyncio.run(run_body())


def test_lagging_response_of_an_older_era_changes_and_confirms_nothing() -> None:
    async def body() -> None:
        lagging = TableChanges((TableRow('a', b'lagging', 10),), 10, era=4)
        followed = Followed([SNAPSHOT, lagging])
        await followed.read()
        followed.follower.era.observe(5)
        await followed.read()
        assert followed.rows == list(SNAPSHOT.rows)
        assert followed.confirming == [SNAPSHOT]
        assert isinstance(followed.follower.feed.next_read(), ReadSnapshot)

    run(body())


def test_rows_of_the_older_era_are_neither_served_nor_announced_after_a_restore() -> None:
    async def body() -> None:
        followed = Followed([SNAPSHOT, RESTORED])
        await followed.read()
        follower = followed.follower
        follower.feed.in_burst = True
        await followed.read()
        message = follower.rows_after(9, boot_time(), 4)
        assert message is not None
        assert message.whole
        assert message.era == 5
        assert message.rows == (RowRecord('a', b'0', False, 3),)
        assert followed.relay.announced == [None, None]
        assert follower.state(1, boot_time()).era == 5
        assert follower.rows_after(0, boot_time(), 6) is None

    run(body())


def test_rows_that_the_copy_lacks_are_dropped_only_after_a_read_of_a_settled_store() -> None:
    async def body() -> None:
        followed = Followed([SNAPSHOT, RESTORED, TableChanges((), 6, era=5)])
        await followed.read()
        followed.follower.feed.synced_version = None
        await followed.read()
        followed.follower.drop_unconfirmed()
        assert TableRow('b', None, 5) not in followed.rows
        followed.follower.settles_at = boot_time()
        followed.follower.drop_unconfirmed()
        assert TableRow('b', None, 5) not in followed.rows
        await followed.read()
        followed.follower.drop_unconfirmed()
        assert followed.rows[-1] == TableRow('b', None, 6)

    run(body())


@pytest.mark.parametrize(
    ('era', 'known_era'),
    [(3, 4), (4, 5), (NO_ERA, 4)],
    ids=['of an older era', 'of an older era than another table', 'without an era'],
)
def test_relayed_state_is_refused(era: int, known_era: int) -> None:
    async def body() -> None:
        state = RelayedState(9, 9, boot_time(), era)
        rows = replace(WHOLE, era=era)
        followed = Followed([SNAPSHOT], ScriptedRelay(state, rows))
        await followed.read()
        followed.follower.era.observe(known_era)
        assert not await followed.follower.poll_relay(10)
        assert not await followed.follower.read_from_relay()
        assert followed.confirming == [SNAPSHOT]
        assert followed.follower.feed.era == 4

    run(body())


def test_complete_table_of_a_newer_era_is_taken_from_the_relay() -> None:
    async def body() -> None:
        state = RelayedState(5, 3, boot_time(), 5)
        followed = Followed([SNAPSHOT], ScriptedRelay(state, replace(WHOLE, era=5)))
        await followed.read()
        assert not await followed.follower.poll_relay(10)
        assert await followed.follower.read_from_relay()
        assert followed.rows[-1] == OLD_ROW
        assert followed.follower.feed.next_read() == ReadChanges(5)
        assert followed.follower.era.latest == 5
        assert followed.follower.cache.rows.keys() == {'a'}

    run(body())


def test_part_of_a_newer_era_is_not_taken_from_the_relay() -> None:
    async def body() -> None:
        rows = replace(WHOLE, era=5, whole=False, after=9, since=12)
        followed = Followed([SNAPSHOT], ScriptedRelay(None, rows))
        await followed.read()
        assert not await followed.follower.read_from_relay()
        followed.follower.apply_pushed(rows)
        assert followed.rows == list(SNAPSHOT.rows)
        assert followed.follower.change_hint.is_set()

    run(body())


def test_pushed_rows_of_an_older_era_are_ignored() -> None:
    async def body() -> None:
        followed = Followed([RESTORED])
        await followed.read()
        pushed = replace(WHOLE, era=4, whole=False, after=5, since=12)
        followed.follower.apply_pushed(replace(pushed, rows=(RowRecord('a', b'1', False, 8),)))
        assert followed.rows == [OLD_ROW]
        assert not followed.follower.change_hint.is_set()

    run(body())


def test_rows_of_a_peer_are_dropped_unless_the_store_has_them() -> None:
    async def body() -> None:
        followed = Followed([RESTORED, TableChanges((), 6, era=5)])
        await followed.read()
        followed.follower.expect_rows(('a', 'evacuation'))
        followed.follower.settles_at = boot_time()
        await followed.read()
        followed.follower.drop_unconfirmed()
        assert followed.rows == [OLD_ROW, TableRow('evacuation', None, 6)]

    run(body())


def test_message_of_a_process_of_an_earlier_version_names_no_era() -> None:
    message = ttypes.TableState(
        table=TABLE, number=1, unasked=False, known=True, since=5, changed=3, age_ms=9
    )
    message.era = None
    datagram = serialize(ttypes.Datagram(table_state=message), TCompactProtocolFactory())
    state = decode_datagram(datagram)
    assert isinstance(state, TableState)
    assert state.era == NO_ERA
