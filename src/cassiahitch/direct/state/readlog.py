"""Log lines about the reads of one table of the store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from cassiahitch.direct.state.feed import (
    LARGE_CHANGE_BYTES,
    CallFailure,
    HistoryUnavailable,
    Reply,
    TableChanges,
    TableSnapshot,
    content_bytes,
)
from cassiahitch.direct.state.freshness import boot_time

if TYPE_CHECKING:
    from cassiahitch.direct.statelog import StateLog
    from cassiahitch.wire.datagrammessages import TableRows

MS_PER_S = 1000


class ReadSource(StrEnum):
    """Who sent the rows of a read."""

    store = 'store'
    entry = 'entry'


@dataclass(slots=True)
class ReadLog:
    """Logs large reads of a table, and failed reads from the store or from other entries.

    ``store_reachable`` is False after a failed read of the store, ``entries_help`` after a read
    from other entries that returned nothing usable.
    """

    table: str
    state_log: StateLog
    store_reachable: bool = True
    entries_help: bool = True

    def large_read(self, reply: Reply, source: ReadSource, sent_at: float) -> None:
        """Log how long rows took that are large enough to fill a link.

        :param reply: the reply to a read.
        :param source: who sent the rows.
        :param sent_at: when the read was sent, in seconds of the boot clock.
        """
        rows = reply.rows if isinstance(reply, TableSnapshot | TableChanges) else ()
        size = content_bytes(rows)
        if size >= LARGE_CHANGE_BYTES:
            self.state_log.state_changed(
                'rows read',
                table=self.table,
                source=source,
                content_bytes=size,
                took_s=boot_time() - sent_at,
            )

    def entries_replied(self) -> None:
        """Record that other entries sent rows, or confirmed that there are no newer ones."""
        self.entries_help = True

    def entries_gave_nothing(self, message: TableRows | None, sent_at: float) -> None:
        """Log the first time that other entries sent no rows that this process can use.

        :param message: the rows, None if none came in time.
        :param sent_at: when they were requested, in seconds of the boot clock.
        """
        if not self.entries_help:
            return
        self.entries_help = False
        self.state_log.state_changed(
            'no rows from entries',
            table=self.table,
            received=message is not None,
            age_s=message.age_ms / MS_PER_S if message else None,
            took_s=boot_time() - sent_at,
        )

    def store_replied(self, reply: Reply, version: int | None) -> None:
        """Log when the store becomes unreachable or reachable, and each read of a snapshot.

        :param reply: the reply to a read.
        :param version: version of the store that the table had before it, None if none.
        """
        match reply:
            case CallFailure(reason=reason) if self.store_reachable:
                self.store_reachable = False
                self.state_log.state_changed('store lost', table=self.table, reason=reason)
            case CallFailure():
                return
            case HistoryUnavailable():
                self.state_log.state_changed('history gone', table=self.table)
            case _ if not self.store_reachable or isinstance(reply, TableSnapshot):
                self.store_reachable = True
                self.state_log.state_changed('store reached', table=self.table, version=version)


__all__ = (
    'ReadLog',
    'ReadSource',
)
