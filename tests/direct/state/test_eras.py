"""Tests of the eras of the store, which begin with each restore from an older copy.

Guards against rows of two eras that are compared by their versions, which a restore reuses, and
against an older state of the store that counts as the newest one.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from cassiahitch.direct.state.eras import ERA_SETTLE_S, EraSettlement, StoreEra
from cassiahitch.direct.state.feed import (
    CallFailure,
    HistoryUnavailable,
    PushedRows,
    ReadChanges,
    ReadSnapshot,
    Reply,
    TableChanges,
    TableFeed,
    TableRow,
    TableSnapshot,
)
from cassiahitch.stores.api import NO_ERA

BEGAN_AT = 100.0


def feed_at_era(era: int) -> TableFeed:
    table_feed = TableFeed(random.Random(1))
    rows = (TableRow('a', b'new', 8), TableRow('b', b'1', 9))
    table_feed.handle(TableSnapshot(rows, 9, era))
    return table_feed


@pytest.mark.parametrize(
    'reply',
    [
        HistoryUnavailable(5),
        TableChanges((TableRow('a', b'other', 10),), 12, era=5),
        PushedRows((TableRow('a', b'other', 10),), 12, 5),
        CallFailure('unavailable', 5),
    ],
    ids=['unknown version', 'changes since a reused version', 'pushed rows', 'refused'],
)
def test_reply_of_a_newer_era_leads_to_a_snapshot_and_applies_no_rows(reply: Reply) -> None:
    table_feed = feed_at_era(4)
    assert table_feed.handle(reply) == ()
    assert table_feed.era == 5
    assert isinstance(table_feed.next_read(), ReadSnapshot)


def test_snapshot_of_a_newer_era_replaces_rows_with_higher_versions() -> None:
    table_feed = feed_at_era(4)
    old = TableRow('a', b'old', 3)
    assert table_feed.handle(TableSnapshot((old,), 5, 5)) == (old,)
    assert table_feed.next_read() == ReadChanges(5)
    written = TableRow('a', b'new', 6)
    assert table_feed.handle(TableChanges((written,), 6, era=5)) == (written,)


def test_rows_that_the_copy_lacks_are_dropped_only_once_their_owners_could_write_them() -> None:
    table_feed = feed_at_era(4)
    table_feed.handle(TableSnapshot((TableRow('a', b'old', 3),), 5, 5))
    assert table_feed.unconfirmed == {'b'}
    assert table_feed.take_unconfirmed() == (TableRow('b', None, 5),)
    assert table_feed.take_unconfirmed() == ()


def test_row_that_was_written_again_is_not_dropped() -> None:
    table_feed = feed_at_era(4)
    table_feed.handle(TableSnapshot((), 5, 5))
    table_feed.handle(TableChanges((TableRow('b', b'1', 6),), 6, era=5))
    assert table_feed.take_unconfirmed() == (TableRow('a', None, 6),)


@pytest.mark.parametrize(
    'reply',
    [
        TableChanges((TableRow('a', b'lagging', 50),), 50, era=4),
        TableSnapshot((TableRow('a', b'lagging', 50),), 50, 4),
        PushedRows((TableRow('a', b'lagging', 50),), 50, 4),
    ],
)
def test_lagging_reply_of_an_older_era_is_ignored(reply: Reply) -> None:
    table_feed = feed_at_era(5)
    assert table_feed.handle(reply) == ()
    assert table_feed.era == 5
    assert table_feed.synced_version == 9
    assert isinstance(table_feed.screen(reply), CallFailure)


def test_reply_without_an_era_counts_as_one_of_the_current_era() -> None:
    table_feed = feed_at_era(5)
    changed = TableRow('a', b'2', 10)
    assert table_feed.handle(TableChanges((changed,), 10)) == (changed,)
    assert table_feed.era == 5


def test_store_that_names_no_era_may_not_go_back() -> None:
    table_feed = feed_at_era(NO_ERA)
    assert table_feed.handle(TableSnapshot((TableRow('a', b'old', 3),), 5)) == ()
    assert table_feed.synced_version == 9


def settlement_at_era(era: int) -> EraSettlement:
    settlement = EraSettlement()
    settlement.observe_declarations(TableSnapshot((), 5, era), BEGAN_AT)
    return settlement


def test_reads_of_a_new_era_confirm_nothing_until_the_operator_had_time_to_write() -> None:
    settlement = settlement_at_era(3)
    assert not settlement.is_settled(BEGAN_AT + ERA_SETTLE_S / 2)
    assert settlement.is_settled(BEGAN_AT + ERA_SETTLE_S)


def test_configuration_that_is_written_in_the_new_era_settles_it() -> None:
    settlement = settlement_at_era(3)
    settlement.record_configuration(5)
    assert not settlement.is_settled(BEGAN_AT)
    settlement.record_configuration(6)
    assert settlement.is_settled(BEGAN_AT)


def test_settled_era_says_nothing_about_the_next_one() -> None:
    settlement = settlement_at_era(3)
    settlement.record_configuration(6)
    settlement.observe_declarations(HistoryUnavailable(4), BEGAN_AT + 60)
    settlement.record_configuration(7)
    assert not settlement.is_settled(BEGAN_AT + 60)


@pytest.mark.parametrize('era', [NO_ERA, 0])
def test_store_that_was_never_restored_needs_no_time_to_settle(era: int) -> None:
    assert settlement_at_era(era).is_settled(BEGAN_AT)


def test_waiting_owner_of_a_row_learns_of_a_newer_era() -> None:
    async def body() -> None:
        era = StoreEra(4)
        waiting = asyncio.create_task(era.wait_newer(4, 10))
        await asyncio.sleep(0)
        era.observe(3)
        era.observe(5)
        assert await waiting
        assert not await era.wait_newer(5, 0.01)

    asyncio.run(body())
