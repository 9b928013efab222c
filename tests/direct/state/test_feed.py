"""Tests of following a table."""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahitch.direct import agent, tablefollowers
from cassiahitch.direct.state.feed import (
    CallFailure,
    HistoryUnavailable,
    ReadChanges,
    ReadSnapshot,
    TableChanges,
    TableFeed,
    TableRow,
    TableSnapshot,
)

KEYS = st.sampled_from(('a', 'b', 'c'))
#: A link between regions in bytes a second, and the processes that read the store over it.
LINK_BYTES_S = 15_500_000 / 8
READING = 29
#: Size of the operator's row, seconds of a storm and between its changes, seconds until a change
#: is to be in force everywhere.
ROW_BYTES = 70_000
STORM_S = 2.0
CHANGE_S = 0.08
IN_FORCE_S = 3.0
#: Entries and agents among them.
ENTRIES = 17
AGENTS = READING - ENTRIES


def feed() -> TableFeed:
    return TableFeed(random.Random(1))


def test_table_is_read_whole_and_then_followed() -> None:
    followed = feed()
    assert followed.next_read() == ReadSnapshot()
    followed.handle(TableSnapshot((TableRow('a', b'1', 3),), 5))
    assert followed.next_read() == ReadChanges(5)


def test_gap_in_the_history_leads_to_a_whole_read() -> None:
    followed = feed()
    followed.handle(TableSnapshot((), 5))
    followed.handle(HistoryUnavailable())
    assert followed.next_read() == ReadSnapshot()


def test_whole_read_after_a_gap_tells_which_rows_vanished() -> None:
    followed = feed()
    followed.handle(TableSnapshot((TableRow('a', b'1', 3), TableRow('b', b'1', 4)), 5))
    followed.handle(HistoryUnavailable())
    news = followed.handle(TableSnapshot((TableRow('b', b'1', 4),), 9))
    assert news == (TableRow('a', None, 9),)


def test_whole_read_hides_removals_so_that_the_table_may_have_changed_up_to_its_version() -> None:
    reader = feed()
    reader.handle(TableSnapshot((TableRow('a', b'1', 3),), 9))
    other = feed()
    other.handle(TableSnapshot((TableRow('a', b'1', 3), TableRow('b', b'1', 4)), 5))
    assert reader.since is not None
    assert not other.relayed(reader.since, reader.changed)
    assert other.since == 5


def test_older_row_is_no_news() -> None:
    followed = feed()
    followed.handle(TableSnapshot((TableRow('a', b'2', 7),), 7))
    assert followed.handle(TableChanges((TableRow('a', b'1', 6),), 8)) == ()


def large(version: int) -> TableRow:
    return TableRow('config', bytes(ROW_BYTES), version)


def settled() -> TableFeed:
    """Return a feed that has read a large row, which did not change since."""
    followed = TableFeed(random.Random(1), news_interval_s=0.4)
    followed.handle(TableSnapshot((large(5),), 5))
    return followed


def test_row_that_changes_all_the_time_is_read_now_and_then() -> None:
    followed = settled()
    assert followed.next_read() == ReadChanges(5)
    followed.handle(TableChanges((large(6),), 6))
    assert followed.next_read() == ReadSnapshot(0.4)
    assert followed.handle(TableSnapshot((large(13),), 13)) == (large(13),)
    assert followed.next_read() == ReadSnapshot(0.4)
    followed.handle(TableSnapshot((large(13),), 14))
    assert followed.next_read() == ReadChanges(14)


def test_small_rows_are_followed_without_a_pause() -> None:
    followed = settled()
    followed.handle(TableChanges((TableRow('version', b'2', 6),), 6))
    assert followed.next_read() == ReadChanges(6)


def test_large_row_is_not_read_again_if_another_entry_knows_of_no_change() -> None:
    followed = settled()
    followed.handle(TableChanges((large(6),), 6))
    assert not followed.relayed(8, 7)
    assert followed.next_read() == ReadSnapshot(0.4)
    assert followed.relayed(8, 6)
    assert followed.next_read() == ReadChanges(8)


def test_pauses_grow_with_failures_and_end_with_an_answer() -> None:
    followed = feed()
    pauses = []
    for _ in range(12):
        followed.handle(CallFailure('away'))
        pauses.append(followed.next_read().pause_s)
    assert 0 < max(pauses) <= 1
    followed.handle(TableSnapshot((), 1))
    assert followed.next_read().pause_s == 0


class FollowMachine(RuleBasedStateMachine):
    """A table changes while answers are lost and history is forgotten."""

    def __init__(self) -> None:
        super().__init__()
        self.feed = feed()
        self.version = 0
        self.table: dict[str, TableRow] = {}
        self.changes: list[TableRow] = []
        self.seen: dict[str, bytes] = {}

    @rule(key=KEYS, remove=st.booleans())
    def write(self, key: str, *, remove: bool) -> None:
        self.version += 1
        row = TableRow(key, None if remove else str(self.version).encode(), self.version)
        self.changes.append(row)
        self.table.pop(key, None)
        if not remove:
            self.table[key] = row

    @rule()
    def forget(self) -> None:
        self.changes.clear()
        self.take(self.feed.handle(HistoryUnavailable()))

    @rule()
    def lose(self) -> None:
        self.take(self.feed.handle(CallFailure('lost')))

    @rule()
    def read(self) -> None:
        match self.feed.next_read():
            case ReadSnapshot():
                reply: TableSnapshot | TableChanges = TableSnapshot(
                    tuple(self.table.values()), self.version
                )
            case ReadChanges(since=since):
                rows = tuple(row for row in self.changes if row.version > since)
                reply = TableChanges(rows, self.version)
        self.take(self.feed.handle(reply))
        assert self.seen == {key: row.content for key, row in self.table.items()}

    def take(self, news: tuple[TableRow, ...]) -> None:
        for row in news:
            self.seen.pop(row.key, None)
            if row.content is not None:
                self.seen[row.key] = row.content

    @invariant()
    def versions_do_not_pass_the_store(self) -> None:
        assert (self.feed.since or 0) <= self.version


class StormMachine(FollowMachine):
    """The same, while news that follow news are a storm."""

    def __init__(self) -> None:
        super().__init__()
        self.feed = TableFeed(random.Random(1), news_interval_s=0.4)


TestFollowMachine = FollowMachine.TestCase
TestStormMachine = StormMachine.TestCase


def bytes_read_in_a_storm(followed: TableFeed) -> int:
    """Return the bytes that one process reads of a row that changes all the time."""
    now = float(0)
    known = 0
    read = 0
    while now < STORM_S:
        step = followed.next_read()
        now += max(step.pause_s, CHANGE_S)
        newest = int(now / CHANGE_S)
        rows = tuple(large(version) for version in range(known + 1, newest + 1))
        known = newest
        if isinstance(step, ReadSnapshot):
            read += ROW_BYTES
            followed.handle(TableSnapshot(rows[-1:], newest))
        else:
            read += ROW_BYTES * len(rows)
            followed.handle(TableChanges(rows, newest))
    return read


def test_large_row_that_changes_all_the_time_does_not_fill_the_link_between_regions() -> None:
    followed = TableFeed(random.Random(1), news_interval_s=tablefollowers.DECLARATION_INTERVAL_S)
    read = bytes_read_in_a_storm(followed)
    assert read * READING <= LINK_BYTES_S * (STORM_S + IN_FORCE_S)


#: Seconds of one step of the simulated link.
STEP_S = 0.01


@dataclass
class Reader:
    """A process that reads the row over the link; ``behind_s`` is how late it knew a change."""

    feed: TableFeed
    wait_s: float
    free_at: float = 0
    ends_at: float = 0
    left: float = 0
    reply: TableSnapshot | TableChanges | None = None
    known: int = 1
    behind_s: float = 0

    def __post_init__(self) -> None:
        self.feed.handle(TableSnapshot((large(1),), 1))
        self.step = self.feed.next_read()

    def ask(self, now: float, newest: int) -> None:
        """Ask the store, which answers at once if there is something new."""
        if self.ends_at < self.free_at:
            self.ends_at = now + self.wait_s
        if isinstance(self.step, ReadSnapshot):
            self.reply = TableSnapshot((large(newest),), newest)
        elif newest > self.step.since or now >= self.ends_at:
            versions = range(self.step.since + 1, newest + 1)
            self.reply = TableChanges(tuple(large(version) for version in versions), newest)
        if self.reply is not None:
            self.left = 500 + ROW_BYTES * len(self.reply.rows)

    def take(self, now: float, written: dict[int, float]) -> None:
        """Take a whole answer in."""
        assert self.reply is not None
        self.feed.handle(self.reply)
        if self.reply.version > self.known:
            self.behind_s = max(self.behind_s, now - written[self.known + 1])
        self.known = self.reply.version
        self.reply = None
        self.step = self.feed.next_read()
        self.free_at = now + self.step.pause_s


def read_over_the_link(readers: list[Reader], change_s: float, storm_s: float) -> None:
    """Let processes read over one link, which they share evenly, while a row changes."""
    written = {1: float(0)}
    for tick in range(int((storm_s + 2 * IN_FORCE_S) / STEP_S)):
        now = 1 + tick * STEP_S
        while len(written) - 1 < min(now - 1, storm_s) / change_s:
            written[len(written) + 1] = now
        busy = [one for one in readers if one.reply is not None]
        for reader in busy:
            reader.left -= LINK_BYTES_S * STEP_S / len(busy)
            if reader.left <= 0:
                reader.take(now, written)
        for reader in readers:
            if reader.reply is None and now >= reader.free_at:
                reader.ask(now, len(written))
    assert {reader.known for reader in readers} == {len(written)}


@pytest.mark.parametrize('storm_s', [0.1, STORM_S, 2 * STORM_S])
@pytest.mark.parametrize('change_s', [CHANGE_S, 0.215, 0.5, 1.2])
def test_entries_know_each_change_of_a_large_row_in_time_over_a_shared_link(
    change_s: float, storm_s: float
) -> None:
    def follow(interval_s: float) -> TableFeed:
        return TableFeed(random.Random(1), news_interval_s=interval_s)

    entries = [Reader(follow(tablefollowers.DECLARATION_INTERVAL_S), 0.6) for _ in range(ENTRIES)]
    agents = [
        Reader(follow(agent.DECLARATION_INTERVAL_S), agent.DECLARATION_WAIT_S)
        for _ in range(AGENTS)
    ]
    read_over_the_link([*entries, *agents], change_s, storm_s)
    assert max(one.behind_s for one in entries) < IN_FORCE_S
