"""The task that keeps the cached copy of one table of the store up to date."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiahitch.direct.state.eras import ERA_SETTLE_S, StoreEra
from cassiahitch.direct.state.feed import (
    UNCONFIRMED_REPLIES,
    PushedRows,
    ReadChanges,
    ReadSnapshot,
    Reply,
    TableChanges,
    TableFeed,
    TableRow,
)
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.readlog import ReadLog, ReadSource
from cassiahitch.direct.state.tablecache import TableCache, reply_from_message, rows_from_message
from cassiahitch.stores.api import NO_ERA
from cassiahitch.wire.datagrammessages import TableRows, TableState

if TYPE_CHECKING:
    from cassiahitch.direct.api import TableStore
    from cassiahitch.direct.members.tablerelay import TableRelay
    from cassiahitch.direct.statelog import StateLog
    from cassiahitch.util.endpoints import Endpoint

#: Seconds between two queries to other entries for the state of the table.
RELAY_QUERY_INTERVAL_S = 0.5
#: Seconds for which a process that starts asks other entries for the table.
START_RELAY_S = 2.0
#: Seconds between two rounds of these requests.
START_ROUND_INTERVAL_S = 0.1
#: Read intervals without a large change after which the next one counts as single.
CALM_INTERVALS = 2
MS_PER_S = 1000
#: Applies changed rows and the reply that contained them; the third argument is the boot time in
#: seconds at which the read was sent.
ApplyRows = Callable[[tuple[TableRow, ...], Reply, float], None]


@dataclass(slots=True)
class TableFollower:
    """Reads a table repeatedly and passes its changes to ``apply_rows``.

    With a ``relay``, it reads from other entries first and falls back to the store if they have no
    new rows and confirmed that longer than ``max_relayed_age_s`` ago. Reads of changes at the store
    wait up to ``wait_s`` for a change. ``confirmed_at`` is the latest time, in seconds of the boot
    clock, at which the cached rows are known to have been current. ``era`` is the latest era of the
    store that the process knows. ``settles_at`` is when rows of earlier eras are dropped unless
    they were read again, and ``large_change_at`` when the last large change was read from the
    store, in seconds of the boot clock.
    """

    store: TableStore
    table: str
    feed: TableFeed
    apply_rows: ApplyRows
    state_log: StateLog
    wait_s: float
    relay: TableRelay | None = None
    max_relayed_age_s: float = 0
    confirmed_at: float = float('-inf')
    change_hint: asyncio.Event = field(default_factory=asyncio.Event)
    cache: TableCache = field(default_factory=TableCache)
    era: StoreEra = field(default_factory=StoreEra)
    settles_at: float = float('inf')
    large_change_at: float = float('-inf')
    log: ReadLog = field(init=False)

    def __post_init__(self) -> None:
        """Create the log of reads of the table."""
        self.log = ReadLog(self.table, self.state_log)

    async def work(self) -> None:
        """Keep the cached table up to date until cancelled."""
        await self.read_at_start()
        while True:
            await self.update(self.feed.next_read())

    async def update(self, read: ReadSnapshot | ReadChanges) -> None:
        """Bring the cached table up to date once, by other entries or by the store.

        :param read: the next read at the store, with the delay before it.
        """
        await asyncio.sleep(read.delay_s)
        self.drop_unconfirmed()
        relayed = self.feed.synced_version is not None and self.is_relayed()
        if not relayed:
            await self.read_as_reader(read)
        elif not await self.poll_relay(read.delay_s) and not await self.read_from_relay():
            await self.read_from_store(read, 0)

    async def read_at_start(self) -> None:
        """Read the complete table from another entry, if one of the region has it in time.

        Load pattern: all processes of a region start at the same time, after a loss of power, and
        would all read a large table over the one link to the region of the store.
        """
        if self.relay is None:
            return
        # If no entry has it in time, nothing is read here, and the store is read next.
        with suppress(TimeoutError):
            async with asyncio.timeout(START_RELAY_S):
                readers = await self.relay.start_readers()
                while readers and not await self.read_from(readers):
                    await asyncio.sleep(START_ROUND_INTERVAL_S)
                    readers = await self.relay.start_readers()

    def is_relayed(self) -> bool:
        """Return whether other entries read the table from the store for this one."""
        return self.relay is not None and bool(self.relay.readers())

    async def poll_relay(self, elapsed_s: float) -> bool:
        """Query other entries for the state of the table after the poll interval.

        A hint that the table changed ends the interval early.

        :param elapsed_s: seconds that have passed since the last read.
        :return: whether the cached rows are current, by a sufficiently recent state.
        """
        with suppress(TimeoutError):
            await asyncio.wait_for(
                self.change_hint.wait(), max(0, RELAY_QUERY_INTERVAL_S - elapsed_s)
            )
        hinted = self.change_hint.is_set()
        self.change_hint.clear()
        if hinted or self.relay is None:
            return False
        state = await self.relay.query(self.table)
        if state is None or boot_time() - state.confirmed_at > self.max_relayed_age_s:
            return False
        if state.era != self.feed.era or state.era != self.latest_era():
            return False
        if not self.feed.apply_relayed_state(state.since, state.changed):
            return False
        self.apply((), TableChanges((), state.since, era=state.era), state.confirmed_at)
        self.log.entries_replied()
        return True

    async def read_from_relay(self) -> bool:
        """Read the changed rows from the entries that read the table for this one.

        :return: whether they returned new rows, or confirmed recently that there are none.
        """
        return self.relay is not None and await self.read_from(self.relay.readers())

    async def read_from(self, readers: tuple[Endpoint, ...]) -> bool:
        """Read the changed rows, or all rows at the start, from other entries.

        Load pattern: large rows cross a narrow link to many processes at once, so that they arrive
        long after they were confirmed. They are used nevertheless: reading them again from the
        store would fill its links with what is already here. Their confirmation keeps its age. Only
        a first table must be recent.

        :param readers: the entries to ask, in this order.
        :return: whether one returned new rows, or confirmed recently that there are none.
        """
        if self.relay is None:
            return False
        sent_at = boot_time()
        since = self.feed.synced_version or 0
        message = await self.relay.read_rows(readers, self.table, since, self.feed.era)
        if message is None or not self.is_usable(message):
            self.log.entries_gave_nothing(message, sent_at)
            return False
        confirmed_at = sent_at - message.age_ms / MS_PER_S
        is_recent = boot_time() - confirmed_at <= self.max_relayed_age_s
        if not is_recent and self.feed.synced_version is None:
            self.log.entries_gave_nothing(message, sent_at)
            return False
        reply = reply_from_message(message)
        self.log.large_read(reply, ReadSource.entry, sent_at)
        self.start_era(message.era)
        rows = self.feed.handle(reply)
        self.apply(rows, reply, confirmed_at)
        if not rows and not is_recent:
            self.log.entries_gave_nothing(message, sent_at)
            return False
        self.log.entries_replied()
        return True

    def is_usable(self, message: TableRows) -> bool:
        """Return whether rows of another entry lead from the cached table to a later state.

        :param message: the rows.
        :return: False if they are older or of an older era, or only a part of a newer era.
        """
        if message.era != self.feed.era or self.feed.synced_version is None:
            return message.whole and message.era >= self.latest_era()
        if message.era < self.latest_era():
            return False
        return message.since >= self.feed.synced_version

    def latest_era(self) -> int:
        """Return the latest era of the store that this process knows.

        :return: the era, ``NO_ERA`` if none is known.
        """
        return max(self.feed.era, self.era.latest)

    def apply_pushed(self, message: TableRows) -> None:
        """Apply rows that another entry pushed.

        If this process lacks changes before them, only trigger a read.

        :param message: the rows.
        """
        is_other_era = message.era != self.feed.era
        version = self.feed.synced_version
        if is_other_era or version is None or message.after > version:
            self.note_remote_change(message.changed, message.era)
            return
        reply = PushedRows(rows_from_message(message), message.since, message.era)
        self.apply(self.feed.handle(reply), reply, float('-inf'))

    async def read_as_reader(self, read: ReadSnapshot | ReadChanges) -> None:
        """Read from the store, and confirm at once that a large change was the last one.

        Load pattern: the rows of a large change leave the store long before they are here, so that
        their confirmation would be too old for the processes that read from this one; they would
        all turn to the store. The second read is small unless the row goes on changing.

        :param read: the read to make.
        """
        was_in_burst = self.feed.in_burst
        calm_s = boot_time() - self.large_change_at
        await self.read_from_store(read, self.wait_s)
        if not self.feed.in_burst:
            return
        self.large_change_at = boot_time()
        is_single = not was_in_burst and calm_s > CALM_INTERVALS * self.feed.large_change_interval_s
        if is_single and self.relay is not None and self.relay.subscribers():
            await self.read_from_store(ReadChanges(self.feed.synced_version or 0), 0)

    async def read_from_store(self, read: ReadSnapshot | ReadChanges, wait_s: float) -> None:
        """Read from the store and apply the reply.

        :param read: the read to make.
        :param wait_s: seconds for which the store may wait for a change.
        """
        sent_at = boot_time()
        before = self.feed.synced_version
        reply = await self.call_store(read, wait_s)
        if max(reply.era, self.era.latest) > self.feed.era:
            before = None
            self.start_era(max(reply.era, self.era.latest))
        reply = self.feed.screen(reply)
        self.log.store_replied(reply, self.feed.synced_version)
        self.log.large_read(reply, ReadSource.store, sent_at)
        if isinstance(reply, TableChanges):
            reply = replace(reply, long_polled=wait_s > 0)
        rows = self.feed.handle(reply)
        self.apply(rows, reply, sent_at)
        if rows and self.relay is not None:
            self.relay.announce(self.table, before, rows)

    def start_era(self, era: int) -> None:
        """Discard the versions of all rows if an era is newer than that of the cached table.

        :param era: the era, ``NO_ERA`` if it is unknown.
        """
        before = self.feed.era
        if era <= before:
            return
        version = self.feed.synced_version
        is_restored = version is not None or bool(self.feed.unconfirmed)
        self.feed.start_era(era)
        self.cache.start_era(era)
        self.era.observe(era)
        if is_restored:
            self.settles_at = boot_time() + ERA_SETTLE_S
            self.state_log.state_changed(
                'store restored', table=self.table, era=era, before=before, version=version
            )

    def expect_rows(self, keys: Iterable[str]) -> None:
        """Drop rows that another process gave to this one unless the store has them in time.

        :param keys: keys of the rows.
        """
        self.feed.unconfirmed.update(key for key in keys if key not in self.feed.versions)
        self.settles_at = min(self.settles_at, boot_time() + ERA_SETTLE_S)

    def drop_unconfirmed(self) -> None:
        """Drop rows of earlier eras once their owners have had the time to write them again."""
        if self.confirmed_at < self.settles_at or self.feed.synced_version is None:
            return
        self.settles_at = float('inf')
        rows = self.feed.take_unconfirmed()
        if rows:
            version = self.feed.synced_version
            self.state_log.state_changed(
                'rows not written again', table=self.table, rows=len(rows), era=self.feed.era
            )
            self.apply(rows, PushedRows(rows, version, self.feed.era), float('-inf'))

    def apply(self, rows: tuple[TableRow, ...], reply: Reply, sent_at: float) -> None:
        """Update the cache, and pass the changed rows on.

        :param rows: new, changed and removed rows.
        :param reply: the reply that contained them.
        :param sent_at: boot time in seconds as of which the reply confirms the rows.
        """
        if not isinstance(reply, UNCONFIRMED_REPLIES):
            self.confirmed_at = max(self.confirmed_at, sent_at)
        self.cache.apply_rows(rows, reply)
        self.apply_rows(rows, reply, sent_at)

    def state(self, number: int, now: float, *, unasked: bool = False) -> TableState:
        """Return the state of the cached table as a message to another entry.

        :param number: number of that entry's query.
        :param now: current time of the boot clock in seconds.
        :param unasked: whether the message is sent without a query.
        :return: the message.
        """
        if self.feed.synced_version is None:
            return TableState(self.table, number, unasked=unasked)
        return TableState(
            self.table,
            number,
            unasked=unasked,
            known=True,
            since=self.feed.synced_version,
            changed=self.feed.last_changed_version,
            age_ms=math.ceil((now - self.confirmed_at) * MS_PER_S),
            era=self.feed.era,
        )

    def rows_after(self, version: int, now: float, era: int = NO_ERA) -> TableRows | None:
        """Return the changes of the table since a version as a message to another process.

        :param version: version of the store as of which that process has the table.
        :param now: current time of the boot clock in seconds.
        :param era: era of that version; the rows of a newer one are those of the complete table.
        :return: the message, or None if the cached table is older than that version.
        """
        is_same_era = era == self.feed.era
        if self.feed.synced_version is None or era > self.feed.era:
            return None
        if is_same_era and self.feed.synced_version < version:
            return None
        is_snapshot, rows = self.cache.records_since(version if is_same_era else None)
        return TableRows(
            self.table,
            whole=is_snapshot,
            after=version,
            since=self.feed.synced_version,
            changed=self.feed.last_changed_version,
            age_ms=math.ceil((now - self.confirmed_at) * MS_PER_S),
            rows=rows,
            era=self.feed.era,
        )

    def note_remote_change(self, changed: int, era: int = NO_ERA) -> None:
        """Trigger a read if another entry reports a change that this process lacks.

        :param changed: version of the store at which the table changed.
        :param era: era of the store of that version.
        """
        version = self.feed.synced_version
        if version is None or era < self.feed.era:
            return
        if era > self.feed.era or changed > version:
            self.change_hint.set()

    async def call_store(self, read: ReadSnapshot | ReadChanges, wait_s: float) -> Reply:
        """Make one read at the store.

        :param read: the read to make.
        :param wait_s: seconds for which the store may wait for a change.
        :return: the reply.
        """
        match read:
            case ReadChanges(since=since):
                return await self.store.read_changes(self.table, since, wait_s)
            case _:
                return await self.store.read_all(self.table)


__all__ = ('TableFollower',)
