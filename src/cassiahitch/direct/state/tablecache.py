"""Rows of a table that other processes take from this one instead of the store."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.state.feed import Reply, TableChanges, TableRow, TableSnapshot
from cassiahitch.wire.beats import RowRecord

if TYPE_CHECKING:
    from cassiahitch.wire.beats import TableRows

#: Removed rows that are remembered; who knows an older state gets the whole table.
REMOVED = 2000


@dataclass(slots=True)
class TableCache:
    """The rows as of the last news, and the versions at which others were removed.

    All removals after version ``complete_from`` of the store are known.
    """

    rows: dict[str, TableRow] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    complete_from: int | None = None

    def take(self, rows: tuple[TableRow, ...], reply: Reply) -> None:
        """Take news in.

        :param rows: the rows that are news.
        :param reply: the answer that brought them.
        """
        if isinstance(reply, TableSnapshot) and self.complete_from is None:
            self.complete_from = reply.version
        for row in rows:
            if row.content is None:
                self.remove(row)
            else:
                self.removed.pop(row.key, None)
                self.rows[row.key] = row

    def remove(self, row: TableRow) -> None:
        """Take in that a row was removed.

        :param row: the row, without content.
        """
        self.rows.pop(row.key, None)
        # The one that was removed last stands last.
        self.removed.pop(row.key, None)
        self.removed[row.key] = row.version
        if len(self.removed) > REMOVED:
            oldest = next(iter(self.removed))
            self.complete_from = max(self.complete_from or 0, self.removed.pop(oldest))

    def after(self, version: int) -> tuple[bool, tuple[RowRecord, ...]]:
        """Return what somebody needs who knows the table as of a version of the store.

        :param version: the version.
        :return: whether it is the whole table, and the rows.
        """
        whole = self.complete_from is None or version < self.complete_from
        changed = (row for row in self.rows.values() if whole or row.version > version)
        records = [RowRecord(row.key, row.content or b'', False, row.version) for row in changed]
        if not whole:
            removed = ((key, at) for key, at in self.removed.items() if at > version)
            records += [RowRecord(key, b'', True, at) for key, at in removed]
        return whole, tuple(sorted(records, key=lambda record: record.version))


def rows_of(message: TableRows) -> tuple[TableRow, ...]:
    """Return the rows that another process sent.

    :param message: its message.
    :return: the rows.
    """
    return tuple(
        TableRow(row.key, None if row.removed else row.content, row.version) for row in message.rows
    )


def reply_of(message: TableRows) -> TableSnapshot | TableChanges:
    """Return what another process sent as if the store had answered.

    :param message: its message.
    :return: the answer.
    """
    rows = rows_of(message)
    if message.whole:
        return TableSnapshot(rows, message.since)
    return TableChanges(rows, message.since)


__all__ = (
    'TableCache',
    'reply_of',
    'rows_of',
)
