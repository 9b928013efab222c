"""Cached rows of a table, which other processes read from this one instead of the store."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.state.feed import Reply, TableChanges, TableRow, TableSnapshot
from cassiahitch.stores.api import NO_ERA
from cassiahitch.wire.datagrammessages import RowRecord

if TYPE_CHECKING:
    from cassiahitch.wire.datagrammessages import TableRows

#: Removed rows that are kept; a process whose state is older gets a snapshot of the table.
MAX_REMOVED_ROWS = 2000


@dataclass(slots=True)
class TableCache:
    """The rows of a table in an era, and the versions at which other rows were removed.

    ``removed`` holds all removals after version ``complete_from`` of the store, oldest first.
    """

    rows: dict[str, TableRow] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    complete_from: int | None = None
    era: int = NO_ERA

    def apply_rows(self, rows: tuple[TableRow, ...], reply: Reply) -> None:
        """Apply changed rows.

        :param rows: new, changed and removed rows.
        :param reply: the reply that contained them.
        """
        self.start_era(reply.era)
        if isinstance(reply, TableSnapshot) and self.complete_from is None:
            self.complete_from = reply.version
        for row in rows:
            if row.content is None:
                self.remove(row)
            else:
                self.removed.pop(row.key, None)
                self.rows[row.key] = row

    def start_era(self, era: int) -> None:
        """Discard all rows if an era is newer than that of the rows.

        :param era: the era, ``NO_ERA`` if it is unknown.
        """
        if era > self.era:
            self.era = era
            self.rows.clear()
            self.removed.clear()
            self.complete_from = None

    def remove(self, row: TableRow) -> None:
        """Record the removal of a row.

        :param row: the row, without content.
        """
        self.rows.pop(row.key, None)
        # Reinserting the key keeps the removals in order, so that the oldest one is evicted first.
        self.removed.pop(row.key, None)
        self.removed[row.key] = row.version
        if len(self.removed) > MAX_REMOVED_ROWS:
            oldest = next(iter(self.removed))
            self.complete_from = max(self.complete_from or 0, self.removed.pop(oldest))

    def records_since(self, version: int | None) -> tuple[bool, tuple[RowRecord, ...]]:
        """Return the changes of the table since a version of the store.

        If removals since then may have been evicted, return a snapshot of the table.

        :param version: version as of which the requesting process has the table, None to return a
            snapshot in any case.
        :return: whether the records are a snapshot, and the records in order of their versions.
        """
        is_whole = version is None or self.complete_from is None or version < self.complete_from
        since = 0 if version is None else version
        changed = (row for row in self.rows.values() if is_whole or row.version > since)
        records = [RowRecord(row.key, row.content or b'', False, row.version) for row in changed]
        if not is_whole:
            removed = ((key, at) for key, at in self.removed.items() if at > since)
            records += [RowRecord(key, b'', True, at) for key, at in removed]
        return is_whole, tuple(sorted(records, key=lambda record: record.version))


def rows_from_message(message: TableRows) -> tuple[TableRow, ...]:
    """Convert the rows of a message from another process.

    :param message: the message.
    :return: the rows.
    """
    return tuple(
        TableRow(row.key, None if row.removed else row.content, row.version) for row in message.rows
    )


def reply_from_message(message: TableRows) -> TableSnapshot | TableChanges:
    """Convert a message from another process to the equivalent reply of the store.

    :param message: the message.
    :return: the reply.
    """
    rows = rows_from_message(message)
    if message.whole:
        return TableSnapshot(rows, message.since, message.era)
    return TableChanges(rows, message.since, era=message.era)


__all__ = (
    'TableCache',
    'reply_from_message',
    'rows_from_message',
)
