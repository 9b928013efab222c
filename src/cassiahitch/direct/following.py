"""The task that follows one table of the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.feed import (
    CallFailure,
    HistoryGone,
    ReadChanges,
    ReadWhole,
    Reply,
    TableFeed,
    TableRow,
    Whole,
)
from cassiahitch.direct.freshness import boot_time

if TYPE_CHECKING:
    from cassiahitch.direct.api import TableStore
    from cassiahitch.direct.journal import BeliefLog

#: Takes the news of a table; ``asked_at`` is when it was asked, on the boot clock.
TakeNews = Callable[[tuple[TableRow, ...], Reply, float], None]


@dataclass(slots=True)
class TableFollower:
    """Reads a table again and again; owns its feed."""

    store: TableStore
    table: str
    feed: TableFeed
    take: TakeNews
    journal: BeliefLog
    wait_s: float
    reached: bool = True

    async def work(self) -> None:
        """Follow the table until cancelled."""
        while True:
            step = self.feed.next_read()
            await asyncio.sleep(step.pause_s)
            asked_at = boot_time()
            reply = await self.read(step)
            self.note(reply)
            self.take(self.feed.handle(reply), reply, asked_at)

    async def read(self, step: ReadWhole | ReadChanges) -> Reply:
        """Make one call.

        :param step: what to read.
        :return: the answer.
        """
        match step:
            case ReadChanges(since=since):
                return await self.store.read_changes(self.table, since, self.wait_s)
            case _:
                return await self.store.read_whole(self.table)

    def note(self, reply: Reply) -> None:
        """Log that the store was lost or reached again, and reads that begin anew.

        :param reply: the answer of a call.
        """
        match reply:
            case CallFailure(reason=reason) if self.reached:
                self.reached = False
                self.journal.believed('store lost', table=self.table, reason=reason)
            case CallFailure():
                return
            case HistoryGone():
                self.journal.believed('history gone', table=self.table)
            case _ if not self.reached or isinstance(reply, Whole):
                self.reached = True
                self.journal.believed('store reached', table=self.table, version=self.feed.since)


__all__ = ('TableFollower',)
