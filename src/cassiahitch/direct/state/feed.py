"""Follows a table of rows: a whole read, then its changes; after a gap a whole read again."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

#: First and longest pause after failures in a row, in seconds.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0
#: Bytes of news from which on they are large.
LARGE_BYTES = 4096


@dataclass(frozen=True, slots=True)
class TableRow:
    """A row; ``content`` is missing once it was removed."""

    key: str
    content: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class TableSnapshot:
    """All rows of a table as of one version of the store."""

    rows: tuple[TableRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class TableChanges:
    """Rows that changed since the version that was asked for."""

    rows: tuple[TableRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class PushedRows:
    """Rows that another process has passed on; when it had them from the store is not known."""

    rows: tuple[TableRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class HistoryUnavailable:
    """The changes since the version that was asked for are no longer available."""


@dataclass(frozen=True, slots=True)
class CallFailure:
    """The store did not answer, or refused."""

    reason: str


Reply = TableSnapshot | TableChanges | PushedRows | HistoryUnavailable | CallFailure
#: Answers that do not tell since when there is nothing newer.
UNCONFIRMED = (PushedRows, HistoryUnavailable, CallFailure)


@dataclass(frozen=True, slots=True)
class ReadSnapshot:
    """Read the table, after a pause in seconds."""

    pause_s: float = 0


@dataclass(frozen=True, slots=True)
class ReadChanges:
    """Read the changes since a version, after a pause in seconds."""

    since: int
    pause_s: float = 0


@dataclass(slots=True)
class TableFeed:
    """Decides how a table is read next, and which rows are news.

    ``versions`` holds the version of each row that is known; older ones are never news again.
    ``changed`` is the version of the store at which the table changed last, as far as it is
    known. ``interval_s`` is the least time between two reads of changes, ``news_interval_s``
    the pause after large news.

    Load pattern: the operator changes a large row many times a second, and the changes of a table
    hold every state of it. Were all processes to read them, the links to the store would carry
    nothing else, and the slower they get, the more changes come meanwhile. After large news, the
    table is read whole until that brings none.
    """

    rng: random.Random
    interval_s: float = 0
    news_interval_s: float = 0
    unsettled: bool = False
    versions: dict[str, int] = field(default_factory=dict)
    since: int | None = None
    changed: int = 0
    failures: int = 0

    def next_read(self) -> ReadSnapshot | ReadChanges:
        """Return the call to make next.

        :return: the call, with the pause before it.
        """
        pause_s = self.pause_s()
        if self.since is None:
            return ReadSnapshot(pause_s)
        if self.unsettled:
            return ReadSnapshot(max(pause_s, self.news_interval_s))
        return ReadChanges(self.since, max(pause_s, self.interval_s))

    def pause_s(self) -> float:
        """Return the pause before the next call, which grows with failures in a row.

        :return: seconds.
        """
        if not self.failures:
            return 0
        longest = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**self.failures)
        return self.rng.uniform(FIRST_PAUSE_S, longest)

    def handle(self, reply: Reply) -> tuple[TableRow, ...]:
        """Take an answer of the store in.

        :param reply: the answer.
        :return: the rows that are news; those without content are removed.
        """
        match reply:
            case TableSnapshot(rows=rows, version=version):
                self.failures = 0
                self.since = max(version, self.since or 0)
                # Rows that were removed before are not among them.
                self.changed = max(self.changed, version)
                vanished = self.vanished(rows, version)
                is_first = not self.versions
                news = self.news(rows)
                self.unsettled = self.is_unsettling(news) and not is_first
                return vanished + news
            case TableChanges(rows=rows, version=version):
                self.failures = 0
                self.since = max(version, self.since or 0)
                self.note_changes(rows)
                news = self.news(rows)
                self.unsettled = self.is_unsettling(news)
                return news
            case PushedRows(rows=rows, version=version):
                self.since = max(version, self.since or 0)
                self.note_changes(rows)
                return self.news(rows)
            case HistoryUnavailable():
                self.since = None
            case CallFailure():
                self.failures = min(self.failures + 1, 8)
        return ()

    def is_unsettling(self, news: tuple[TableRow, ...]) -> bool:
        """Tell whether to read news of the same rows again would load the links.

        :param news: the rows.
        :return: whether it would.
        """
        return self.news_interval_s > 0 and size_of(news) >= LARGE_BYTES

    def note_changes(self, rows: tuple[TableRow, ...]) -> None:
        """Note the versions at which the table changed."""
        self.changed = max((self.changed, *(row.version for row in rows)))

    def relayed(self, since: int, changed: int) -> bool:
        """Take in what another entry knows of the table.

        :param since: version of the store up to which it has seen all changes.
        :param changed: version at which the table changed last, as far as it knows.
        :return: whether there is nothing that is not known here.
        """
        if self.since is None or changed > self.since:
            return False
        self.since = max(self.since, since)
        self.unsettled = False
        return True

    def vanished(self, rows: tuple[TableRow, ...], version: int) -> tuple[TableRow, ...]:
        """Return the known rows that a whole read no longer holds.

        :param rows: all rows.
        :param version: the version of the store that they are of.
        :return: rows without content.
        """
        gone = self.versions.keys() - {row.key for row in rows}
        older = sorted(key for key in gone if self.versions[key] <= version)
        for known in older:
            self.versions.pop(known)
        return tuple(TableRow(key, None, version) for key in older)

    def news(self, rows: tuple[TableRow, ...]) -> tuple[TableRow, ...]:
        """Return the rows that are later than those known.

        :param rows: rows in order.
        :return: the later ones.
        """
        fresh = tuple(row for row in rows if row.version > self.versions.get(row.key, 0))
        self.versions.update({row.key: row.version for row in fresh})
        return fresh


def size_of(rows: tuple[TableRow, ...]) -> int:
    """Return the bytes that rows hold.

    :param rows: the rows.
    :return: bytes.
    """
    return sum(len(row.content or b'') for row in rows)


__all__ = (
    'UNCONFIRMED',
    'CallFailure',
    'TableChanges',
    'HistoryUnavailable',
    'PushedRows',
    'ReadChanges',
    'ReadSnapshot',
    'Reply',
    'TableFeed',
    'TableRow',
    'TableSnapshot',
)
