"""Tests of the table feed.

Guards against reads that saturate the links between regions: while a large row changes many times
a second, a change read returns every version of it to every process.
"""

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
#: Bandwidth of a link between regions in bytes a second, and processes that share it.
LINK_BYTES_PER_S = 15_500_000 / 8
PROCESSES = 29
#: Size of the operator's row, duration of a burst, interval of its changes, and time within which
#: a change has to be applied everywhere.
ROW_BYTES = 70_000
BURST_S = 2.0
CHANGE_INTERVAL_S = 0.08
PROPAGATION_LIMIT_S = 3.0
#: Entries and agents among these processes.
ENTRIES = 17
AGENTS = PROCESSES - ENTRIES


def feed() -> TableFeed:
    return TableFeed(random.Random(1))


def test_table_is_read_as_a_snapshot_and_then_by_changes() -> None:
    table_feed = feed()
    assert table_feed.next_read() == ReadSnapshot()
    table_feed.handle(TableSnapshot((TableRow('a', b'1', 3),), 5))
    assert table_feed.next_read() == ReadChanges(5)


def test_missing_history_leads_to_a_snapshot_read() -> None:
    table_feed = feed()
    table_feed.handle(TableSnapshot((), 5))
    table_feed.handle(HistoryUnavailable())
    assert table_feed.next_read() == ReadSnapshot()


def test_snapshot_after_missing_history_returns_the_removed_rows() -> None:
    table_feed = feed()
    table_feed.handle(TableSnapshot((TableRow('a', b'1', 3), TableRow('b', b'1', 4)), 5))
    table_feed.handle(HistoryUnavailable())
    changed = table_feed.handle(TableSnapshot((TableRow('b', b'1', 4),), 9))
    assert changed == (TableRow('a', None, 9),)


def test_last_change_of_a_snapshot_is_its_version_since_it_omits_removals() -> None:
    reader = feed()
    reader.handle(TableSnapshot((TableRow('a', b'1', 3),), 9))
    other = feed()
    other.handle(TableSnapshot((TableRow('a', b'1', 3), TableRow('b', b'1', 4)), 5))
    assert reader.synced_version is not None
    assert not other.apply_relayed_state(reader.synced_version, reader.last_changed_version)
    assert other.synced_version == 5


def test_older_row_is_ignored() -> None:
    table_feed = feed()
    table_feed.handle(TableSnapshot((TableRow('a', b'2', 7),), 7))
    assert table_feed.handle(TableChanges((TableRow('a', b'1', 6),), 8)) == ()


def large_row(version: int) -> TableRow:
    return TableRow('config', bytes(ROW_BYTES), version)


def feed_of_large_row() -> TableFeed:
    """Return a feed that has read a large row and is not in a burst."""
    table_feed = TableFeed(random.Random(1), large_change_interval_s=0.4)
    table_feed.handle(TableSnapshot((large_row(5),), 5))
    return table_feed


def test_row_that_changes_continuously_is_read_at_intervals() -> None:
    table_feed = feed_of_large_row()
    assert table_feed.next_read() == ReadChanges(5)
    table_feed.handle(TableChanges((large_row(6),), 6))
    assert table_feed.next_read() == ReadSnapshot(0.4)
    assert table_feed.handle(TableSnapshot((large_row(13),), 13)) == (large_row(13),)
    assert table_feed.next_read() == ReadSnapshot(0.4)
    table_feed.handle(TableSnapshot((large_row(13),), 14))
    assert table_feed.next_read() == ReadChanges(14)


def test_small_changes_are_read_without_a_delay() -> None:
    table_feed = feed_of_large_row()
    table_feed.handle(TableChanges((TableRow('version', b'2', 6),), 6))
    assert table_feed.next_read() == ReadChanges(6)


def test_large_row_is_not_read_again_if_another_entry_reports_no_change() -> None:
    table_feed = feed_of_large_row()
    table_feed.handle(TableChanges((large_row(6),), 6))
    assert not table_feed.apply_relayed_state(8, 7)
    assert table_feed.next_read() == ReadSnapshot(0.4)
    assert table_feed.apply_relayed_state(8, 6)
    assert table_feed.next_read() == ReadChanges(8)


def test_retry_delay_grows_with_failures_and_ends_with_a_reply() -> None:
    table_feed = feed()
    delays = []
    for _ in range(12):
        table_feed.handle(CallFailure('unreachable'))
        delays.append(table_feed.next_read().delay_s)
    assert 0 < max(delays) <= 1
    table_feed.handle(TableSnapshot((), 1))
    assert table_feed.next_read().delay_s == 0


class FeedMachine(RuleBasedStateMachine):
    """Stateful test of a table that changes while replies are lost and history is compacted."""

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
    def compact_history(self) -> None:
        self.changes.clear()
        self.apply(self.feed.handle(HistoryUnavailable()))

    @rule()
    def lose_reply(self) -> None:
        self.apply(self.feed.handle(CallFailure('lost')))

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
        self.apply(self.feed.handle(reply))
        assert self.seen == {key: row.content for key, row in self.table.items()}

    def apply(self, rows: tuple[TableRow, ...]) -> None:
        for row in rows:
            self.seen.pop(row.key, None)
            if row.content is not None:
                self.seen[row.key] = row.content

    @invariant()
    def synced_version_does_not_exceed_the_store(self) -> None:
        assert (self.feed.synced_version or 0) <= self.version


class BurstMachine(FeedMachine):
    """The same with a delay after large changes."""

    def __init__(self) -> None:
        super().__init__()
        self.feed = TableFeed(random.Random(1), large_change_interval_s=0.4)


TestFeedMachine = FeedMachine.TestCase
TestBurstMachine = BurstMachine.TestCase


def bytes_read_in_a_burst(table_feed: TableFeed) -> int:
    """Return the bytes that one process reads of a row that changes continuously."""
    now = float(0)
    read_version = 0
    read_bytes = 0
    while now < BURST_S:
        step = table_feed.next_read()
        now += max(step.delay_s, CHANGE_INTERVAL_S)
        newest = int(now / CHANGE_INTERVAL_S)
        rows = tuple(large_row(version) for version in range(read_version + 1, newest + 1))
        read_version = newest
        if isinstance(step, ReadSnapshot):
            read_bytes += ROW_BYTES
            table_feed.handle(TableSnapshot(rows[-1:], newest))
        else:
            read_bytes += ROW_BYTES * len(rows)
            table_feed.handle(TableChanges(rows, newest))
    return read_bytes


def test_continuous_changes_of_a_large_row_do_not_saturate_the_link_between_regions() -> None:
    table_feed = TableFeed(
        random.Random(1), large_change_interval_s=tablefollowers.DECLARATION_INTERVAL_S
    )
    read_bytes = bytes_read_in_a_burst(table_feed)
    assert read_bytes * PROCESSES <= LINK_BYTES_PER_S * (BURST_S + PROPAGATION_LIMIT_S)


#: Time step of the simulated link in seconds.
STEP_S = 0.01


@dataclass
class Reader:
    """A process that reads the row over the link.

    ``remaining_bytes`` of its ``reply`` are still to be transferred. ``max_delay_s`` is the longest
    time until it received a change.
    """

    feed: TableFeed
    wait_s: float
    next_read_at: float = 0
    wait_ends_at: float = 0
    remaining_bytes: float = 0
    reply: TableSnapshot | TableChanges | None = None
    read_version: int = 1
    max_delay_s: float = 0

    def __post_init__(self) -> None:
        self.feed.handle(TableSnapshot((large_row(1),), 1))
        self.step = self.feed.next_read()

    def send_read(self, now: float, newest: int) -> None:
        """Read from the store, which responds at once if the row has changed."""
        if self.wait_ends_at < self.next_read_at:
            self.wait_ends_at = now + self.wait_s
        if isinstance(self.step, ReadSnapshot):
            self.reply = TableSnapshot((large_row(newest),), newest)
        elif newest > self.step.since or now >= self.wait_ends_at:
            versions = range(self.step.since + 1, newest + 1)
            self.reply = TableChanges(tuple(large_row(version) for version in versions), newest)
        if self.reply is not None:
            self.remaining_bytes = 500 + ROW_BYTES * len(self.reply.rows)

    def receive_reply(self, now: float, written: dict[int, float]) -> None:
        """Apply a reply that was completely transferred."""
        assert self.reply is not None
        self.feed.handle(self.reply)
        if self.reply.version > self.read_version:
            self.max_delay_s = max(self.max_delay_s, now - written[self.read_version + 1])
        self.read_version = self.reply.version
        self.reply = None
        self.step = self.feed.next_read()
        self.next_read_at = now + self.step.delay_s


def simulate_shared_link(readers: list[Reader], change_interval_s: float, burst_s: float) -> None:
    """Simulate processes that read over one link, shared evenly, while a row changes."""
    written = {1: float(0)}
    for tick in range(int((burst_s + 2 * PROPAGATION_LIMIT_S) / STEP_S)):
        now = 1 + tick * STEP_S
        while len(written) - 1 < min(now - 1, burst_s) / change_interval_s:
            written[len(written) + 1] = now
        receiving = [reader for reader in readers if reader.reply is not None]
        for reader in receiving:
            reader.remaining_bytes -= LINK_BYTES_PER_S * STEP_S / len(receiving)
            if reader.remaining_bytes <= 0:
                reader.receive_reply(now, written)
        for reader in readers:
            if reader.reply is None and now >= reader.next_read_at:
                reader.send_read(now, len(written))
    assert {reader.read_version for reader in readers} == {len(written)}


@pytest.mark.parametrize('burst_s', [0.1, BURST_S, 2 * BURST_S])
@pytest.mark.parametrize('change_interval_s', [CHANGE_INTERVAL_S, 0.215, 0.5, 1.2])
def test_entries_receive_each_change_of_a_large_row_in_time_over_a_shared_link(
    change_interval_s: float, burst_s: float
) -> None:
    def feed_with(interval_s: float) -> TableFeed:
        return TableFeed(random.Random(1), large_change_interval_s=interval_s)

    entries = [
        Reader(feed_with(tablefollowers.DECLARATION_INTERVAL_S), 0.6) for _ in range(ENTRIES)
    ]
    agents = [
        Reader(feed_with(agent.DECLARATION_INTERVAL_S), agent.DECLARATION_WAIT_S)
        for _ in range(AGENTS)
    ]
    simulate_shared_link([*entries, *agents], change_interval_s, burst_s)
    assert max(entry.max_delay_s for entry in entries) < PROPAGATION_LIMIT_S
