"""Tracks the rows of a table by snapshot and change reads.

The first read is a snapshot, further ones read the changes since the last version. When the store
no longer has these changes, the table is read as a snapshot again. A restore of the store from an
older copy begins a new era, in which row versions go back: the known versions are discarded, and
the table is read as a snapshot again.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from cassiahitch.stores.api import NO_ERA

#: Shortest and longest delay before a retry after failures in a row, in seconds.
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
#: Bytes of changed rows from which on a change is large.
LARGE_CHANGE_BYTES = 4096


@dataclass(frozen=True, slots=True)
class TableRow:
    """A row; ``content`` is None once it was removed."""

    key: str
    content: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class TableSnapshot:
    """All rows of a table as of one version of the store in an era."""

    rows: tuple[TableRow, ...]
    version: int
    era: int = NO_ERA


@dataclass(frozen=True, slots=True)
class TableChanges:
    """Rows that changed since the requested version, as of a version of the store.

    ``long_polled`` is set if the store may have held the read open until there was a change.
    """

    rows: tuple[TableRow, ...]
    version: int
    long_polled: bool = False
    era: int = NO_ERA


@dataclass(frozen=True, slots=True)
class PushedRows:
    """Rows that another process pushed; when it read them from the store is unknown."""

    rows: tuple[TableRow, ...]
    version: int
    era: int = NO_ERA


@dataclass(frozen=True, slots=True)
class HistoryUnavailable:
    """The store does not have the changes since the requested version."""

    era: int = NO_ERA


@dataclass(frozen=True, slots=True)
class CallFailure:
    """The store did not respond, or refused the request."""

    reason: str
    era: int = NO_ERA


Reply = TableSnapshot | TableChanges | PushedRows | HistoryUnavailable | CallFailure
#: Replies that do not confirm that the rows were current when the read was sent.
UNCONFIRMED_REPLIES = (PushedRows, HistoryUnavailable, CallFailure)


@dataclass(frozen=True, slots=True)
class ReadSnapshot:
    """Read a snapshot of the table, after a delay in seconds."""

    delay_s: float = 0


@dataclass(frozen=True, slots=True)
class ReadChanges:
    """Read the changes since a version, after a delay in seconds."""

    since: int
    delay_s: float = 0


@dataclass(slots=True)
class TableFeed:
    """Decides how a table is read next, and which rows of a reply are new.

    ``versions`` holds the newest version of each row in ``era``; older ones are ignored. All
    changes up to version ``synced_version`` of the store were read. ``last_changed_version`` is the
    latest version of the store at which the table is known to have changed. ``interval_s`` is the
    minimum interval of change reads. ``large_change_interval_s`` is the delay after a large change,
    and ``in_burst`` is set until no further large change is read. ``unconfirmed`` holds the keys of
    rows of earlier eras that were not read in this one.

    Load pattern: the operator changes a large row many times a second, and a change read returns
    every version of it. If all processes read all versions, the links to the store would be
    saturated, and the slower the reads, the more versions each of them returns. Therefore the
    table is read by snapshots after a large change, until one contains no large change.
    """

    rng: random.Random
    interval_s: float = 0
    large_change_interval_s: float = 0
    in_burst: bool = False
    versions: dict[str, int] = field(default_factory=dict)
    synced_version: int | None = None
    last_changed_version: int = 0
    failures: int = 0
    era: int = NO_ERA
    unconfirmed: set[str] = field(default_factory=set)

    def next_read(self) -> ReadSnapshot | ReadChanges:
        """Return the next read to make.

        :return: the read, with the delay before it.
        """
        delay_s = self.delay_s()
        if self.synced_version is None:
            return ReadSnapshot(delay_s)
        if self.in_burst:
            return ReadSnapshot(max(delay_s, self.large_change_interval_s))
        return ReadChanges(self.synced_version, max(delay_s, self.interval_s))

    def delay_s(self) -> float:
        """Return the delay before the next read, which grows with failures in a row.

        :return: seconds.
        """
        if not self.failures:
            return 0
        longest = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2**self.failures)
        return self.rng.uniform(MIN_RETRY_DELAY_S, longest)

    def handle(self, reply: Reply) -> tuple[TableRow, ...]:
        """Apply a reply to a read, or rows that another process pushed.

        :param reply: the reply.
        :return: new and changed rows; those without content were removed.
        """
        reply = self.screen(reply)
        self.start_era(reply.era)
        match reply:
            case TableSnapshot(rows=rows, version=version):
                self.failures = 0
                self.synced_version = max(version, self.synced_version or 0)
                # A snapshot omits removed rows, so the last removal may be as late as its version.
                self.last_changed_version = max(self.last_changed_version, version)
                removed = self.drop_missing(rows, version)
                is_first = not self.versions
                newer = self.newer_rows(rows)
                self.in_burst = self.is_large_change(newer) and not is_first
                return removed + newer
            case TableChanges(rows=rows, version=version):
                self.failures = 0
                self.synced_version = max(version, self.synced_version or 0)
                self.record_change_versions(rows)
                newer = self.newer_rows(rows)
                self.in_burst = self.is_large_change(newer)
                return newer
            case PushedRows(rows=rows, version=version):
                self.synced_version = max(version, self.synced_version or 0)
                self.record_change_versions(rows)
                return self.newer_rows(rows)
            case HistoryUnavailable():
                self.synced_version = None
            case CallFailure():
                self.failures = min(self.failures + 1, 8)
        return ()

    def screen(self, reply: Reply) -> Reply:
        """Replace a reply whose rows cannot be applied, since they are of another era.

        A response of an older era was delayed. Changes of a newer era are incomplete, since they
        were requested since a version of an older one.

        :param reply: the reply; without an era, it counts as one of the current era.
        :return: the reply, or the failure that it counts as.
        """
        if NO_ERA < reply.era < self.era:
            return CallFailure(f'the response is of era {reply.era}, the store is at {self.era}')
        is_incomplete = reply.era > self.era or (self.era > NO_ERA and self.synced_version is None)
        if is_incomplete and isinstance(reply, TableChanges | PushedRows):
            return HistoryUnavailable(reply.era)
        return reply

    def start_era(self, era: int) -> None:
        """Discard the versions of all rows if an era is newer than the current one.

        :param era: the era, ``NO_ERA`` if it is unknown.
        """
        if era <= self.era:
            return
        self.era = era
        self.unconfirmed.update(self.versions)
        self.versions.clear()
        self.synced_version = None
        self.last_changed_version = 0
        self.in_burst = False

    def take_unconfirmed(self) -> tuple[TableRow, ...]:
        """Drop the rows of earlier eras that were not read in this one.

        They are dropped only once their owners have had the time to write them again.

        :return: the dropped rows, without content.
        """
        if self.synced_version is None:
            return ()
        version = self.synced_version
        dropped = tuple(TableRow(key, None, version) for key in sorted(self.unconfirmed))
        self.unconfirmed.clear()
        return dropped

    def is_large_change(self, rows: tuple[TableRow, ...]) -> bool:
        """Return whether rows are so large that reading each version of them loads the links.

        :param rows: the changed rows.
        :return: whether further changes are to be read by snapshots.
        """
        return self.large_change_interval_s > 0 and content_bytes(rows) >= LARGE_CHANGE_BYTES

    def record_change_versions(self, rows: tuple[TableRow, ...]) -> None:
        """Record the versions at which the table changed.

        :param rows: changed rows.
        """
        self.last_changed_version = max((self.last_changed_version, *(row.version for row in rows)))

    def apply_relayed_state(self, since: int, changed: int) -> bool:
        """Advance to the state that another entry reports if it has no further changes.

        :param since: version of the store up to which that entry has read all changes.
        :param changed: latest version at which the table changed, as reported by that entry.
        :return: whether this process already has all changes.
        """
        if self.synced_version is None or changed > self.synced_version:
            return False
        self.synced_version = max(self.synced_version, since)
        self.in_burst = False
        return True

    def drop_missing(self, rows: tuple[TableRow, ...], version: int) -> tuple[TableRow, ...]:
        """Drop the rows that a snapshot no longer contains.

        :param rows: all rows of the snapshot.
        :param version: version of the store that the snapshot is of.
        :return: the dropped rows, without content.
        """
        missing = self.versions.keys() - {row.key for row in rows}
        removed = sorted(key for key in missing if self.versions[key] <= version)
        for row_key in removed:
            self.versions.pop(row_key)
        return tuple(TableRow(key, None, version) for key in removed)

    def newer_rows(self, rows: tuple[TableRow, ...]) -> tuple[TableRow, ...]:
        """Return the rows that are newer than the cached versions, and record their versions.

        :param rows: rows in order of their versions.
        :return: the newer ones.
        """
        newer = tuple(row for row in rows if row.version > self.versions.get(row.key, 0))
        self.versions.update({row.key: row.version for row in newer})
        self.unconfirmed.difference_update(row.key for row in newer)
        return newer


def content_bytes(rows: tuple[TableRow, ...]) -> int:
    """Return the size of the contents of rows.

    :param rows: the rows.
    :return: bytes.
    """
    return sum(len(row.content or b'') for row in rows)


__all__ = (
    'UNCONFIRMED_REPLIES',
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
    'content_bytes',
)
