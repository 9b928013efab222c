"""The task that follows one table of the store."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.state.feed import (
    UNCONFIRMED,
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
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.tablecache import TableCache, reply_of, rows_of
from cassiahitch.wire.beats import TableRows, TableState

if TYPE_CHECKING:
    from cassiahitch.direct.api import TableStore
    from cassiahitch.direct.members.tablerelay import TableRelay
    from cassiahitch.direct.telemetry import StateLog

#: Seconds between two questions to another entry.
RELAY_S = 0.5
MS_PER_S = 1000
#: Takes the news of a table; ``asked_at`` is when it was asked, on the boot clock.
TakeNews = Callable[[tuple[TableRow, ...], Reply, float], None]


@dataclass(slots=True)
class TableFollower:
    """Reads a table again and again; owns its feed.

    With a ``relay``, it asks other entries first, whose knowledge may be up to ``relayed_age_s``
    seconds old, and takes rows from them. ``confirmed_at`` is when nothing newer existed, on the
    boot clock.
    """

    store: TableStore
    table: str
    feed: TableFeed
    take: TakeNews
    state_log: StateLog
    wait_s: float
    relay: TableRelay | None = None
    relayed_age_s: float = 0
    reached: bool = True
    confirmed_at: float = float('-inf')
    news: asyncio.Event = field(default_factory=asyncio.Event)
    copy: TableCache = field(default_factory=TableCache)

    async def work(self) -> None:
        """Follow the table until cancelled."""
        while True:
            step = self.feed.next_read()
            await asyncio.sleep(step.pause_s)
            relayed = self.feed.since is not None and self.is_relayed()
            if not relayed:
                await self.read_once(step, self.wait_s)
            elif not await self.ask(step.pause_s) and not await self.read_relayed():
                await self.read_once(step, 0)

    def is_relayed(self) -> bool:
        """Tell whether other entries read the table for this one."""
        return self.relay is not None and bool(self.relay.readers())

    async def ask(self, paused_s: float) -> bool:
        """Ask another entry, after a pause that ends with the first sign of news.

        :param paused_s: seconds since the last read.
        :return: whether there is nothing new, as was known not long ago.
        """
        with suppress(TimeoutError):
            await asyncio.wait_for(self.news.wait(), max(0, RELAY_S - paused_s))
        hinted = self.news.is_set()
        self.news.clear()
        if hinted or self.relay is None:
            return False
        state = await self.relay.query(self.table)
        if state is None or boot_time() - state.confirmed_at > self.relayed_age_s:
            return False
        if not self.feed.relayed(state.since, state.changed):
            return False
        self.confirm((), TableChanges((), state.since), state.confirmed_at)
        return True

    async def read_relayed(self) -> bool:
        """Take the rows that changed from another entry.

        :return: whether it had them, and knew not long ago that there are no newer ones.
        """
        if self.relay is None or self.feed.since is None:
            return False
        asked_at = boot_time()
        found = await self.relay.read_rows(self.table, self.feed.since)
        if found is None or found.since < self.feed.since:
            return False
        confirmed_at = asked_at - found.age_ms / MS_PER_S
        if boot_time() - confirmed_at > self.relayed_age_s:
            return False
        reply = reply_of(found)
        self.confirm(self.feed.handle(reply), reply, confirmed_at)
        return True

    def pushed(self, message: TableRows) -> None:
        """Take rows in that another entry has passed on as news.

        :param message: the rows.
        """
        if self.feed.since is None or message.after > self.feed.since:
            self.hint(message.changed)
            return
        reply = PushedRows(rows_of(message), message.since)
        self.confirm(self.feed.handle(reply), reply, float('-inf'))

    async def read_once(self, step: ReadSnapshot | ReadChanges, wait_s: float) -> None:
        """Call the store and take its answer in.

        :param step: what to read.
        :param wait_s: how long to wait for a change.
        """
        asked_at = boot_time()
        before = self.feed.since
        reply = await self.read(step, wait_s)
        self.note(reply)
        rows = self.feed.handle(reply)
        self.confirm(rows, reply, asked_at)
        if rows and self.relay is not None:
            self.relay.announce(self.table, before, rows)

    def confirm(self, rows: tuple[TableRow, ...], reply: Reply, asked_at: float) -> None:
        """Pass on what was learned."""
        if not isinstance(reply, UNCONFIRMED):
            self.confirmed_at = max(self.confirmed_at, asked_at)
        self.copy.take(rows, reply)
        self.take(rows, reply, asked_at)

    def state(self, number: int, now: float, *, unasked: bool = False) -> TableState:
        """Return what is known of the table, for another entry.

        :param number: number of its question.
        :param now: seconds of the boot clock.
        :param unasked: whether it did not ask.
        :return: the message.
        """
        if self.feed.since is None:
            return TableState(self.table, number, unasked=unasked)
        return TableState(
            self.table,
            number,
            unasked=unasked,
            known=True,
            since=self.feed.since,
            changed=self.feed.changed,
            age_ms=math.ceil((now - self.confirmed_at) * MS_PER_S),
        )

    def rows_after(self, version: int, now: float) -> TableRows | None:
        """Return the rows that changed, for another process.

        :param version: version of the store as of which it knows the table.
        :param now: seconds of the boot clock.
        :return: the rows, if the table is known as of that version or a later one.
        """
        if self.feed.since is None or self.feed.since < version:
            return None
        whole, rows = self.copy.after(version)
        return TableRows(
            self.table,
            whole=whole,
            after=version,
            since=self.feed.since,
            changed=self.feed.changed,
            age_ms=math.ceil((now - self.confirmed_at) * MS_PER_S),
            rows=rows,
        )

    def hint(self, changed: int) -> None:
        """Note that another entry has seen a change.

        :param changed: version of the store at which the table changed.
        """
        if self.feed.since is not None and changed > self.feed.since:
            self.news.set()

    async def read(self, step: ReadSnapshot | ReadChanges, wait_s: float) -> Reply:
        """Make one call.

        :param step: what to read.
        :param wait_s: how long to wait for a change.
        :return: the answer.
        """
        match step:
            case ReadChanges(since=since):
                return await self.store.read_changes(self.table, since, wait_s)
            case _:
                return await self.store.read_all(self.table)

    def note(self, reply: Reply) -> None:
        """Log that the store was lost or reached again, and reads that begin anew.

        :param reply: the answer of a call.
        """
        match reply:
            case CallFailure(reason=reason) if self.reached:
                self.reached = False
                self.state_log.state_changed('store lost', table=self.table, reason=reason)
            case CallFailure():
                return
            case HistoryUnavailable():
                self.state_log.state_changed('history gone', table=self.table)
            case _ if not self.reached or isinstance(reply, TableSnapshot):
                self.reached = True
                self.state_log.state_changed(
                    'store reached', table=self.table, version=self.feed.since
                )


__all__ = ('TableFollower',)
