"""Group commit: the row writes of many claims in one transaction."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from cassiahitch.ledger.claim_api import ClaimLimits, CommitBatch
from cassiahitch.ledger.rows import TABLE
from cassiahitch.stores.api import ABSENT_VERSION, Condition, Row, Write

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Share of a batch that is reserved for outcomes and removals while any are queued.
BACKGROUND_SHARE = 0.25


class WritePurpose(StrEnum):
    """Purpose of a row write."""

    #: Claims a key.
    claim = 'claim'
    #: Records the outcome of a claim.
    record = 'record'
    #: Removes the row of a void claim.
    remove = 'remove'


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A conditional write of one row; the row must have ``expected_version``."""

    claim_id: str
    purpose: WritePurpose
    key: str
    expected_version: int
    content: bytes | None


@dataclass(frozen=True, slots=True)
class ConflictedWrite:
    """A row write whose condition failed, and the row if the table service returned it."""

    row_write: RowWrite
    row: Row | None


class GroupCommit:
    """Queues row writes and commits them in batches, one transaction at a time.

    Claims are written as soon as possible, since requests wait for them. Outcomes and removals
    are background writes, which wait for up to ``background_wait_s`` to share a transaction.
    """

    def __init__(self, limits: ClaimLimits) -> None:
        """Create empty queues.

        :param limits: size and rate of the transactions.
        """
        self.limits = limits
        self.claims: dict[str, RowWrite] = {}
        self.background: dict[str, RowWrite] = {}
        self.in_flight: tuple[RowWrite, ...] = ()
        self.batch = 0
        self.next_at: float = 0
        self.failures = 0
        self.background_due: float | None = None

    def add(self, row_write: RowWrite) -> None:
        """Queue a row write; it replaces a queued one of the same claim.

        :param row_write: the row write.
        """
        self.queue_of(row_write)[row_write.claim_id] = row_write

    def queue_of(self, row_write: RowWrite) -> dict[str, RowWrite]:
        """Return the queue for the purpose of a row write.

        :param row_write: the row write.
        :return: the queued row writes by claim, oldest first.
        """
        return self.claims if row_write.purpose == WritePurpose.claim else self.background

    def discard(self, claim_id: str) -> bool:
        """Remove the row write of a claim from its queue.

        :param claim_id: the claim.
        :return: whether it was queued; false if it is in flight.
        """
        return self.claims.pop(claim_id, None) is not None

    def next_commit(self, now: float) -> CommitBatch | None:
        """Start the next transaction if one is due and none is in flight.

        :param now: monotonic time in seconds.
        :return: the transaction, or ``None``.
        """
        if self.in_flight or now < self.next_at or not self.is_due(now):
            return None
        self.in_flight = self.select_batch()
        self.batch += 1
        self.next_at = now + self.limits.interval_s
        conditions = (
            Condition(TABLE, row_write.key, row_write.expected_version)
            for row_write in self.in_flight
        )
        writes = (Write(TABLE, row_write.key, row_write.content) for row_write in self.in_flight)
        return CommitBatch(self.batch, tuple(conditions), tuple(writes))

    def is_due(self, now: float) -> bool:
        """Return whether a claim is queued or background writes have waited long enough.

        :param now: monotonic time in seconds.
        :return: whether a transaction is due.
        """
        if not self.background:
            self.background_due = None
        elif self.background_due is None:
            self.background_due = now + self.limits.background_wait_s
        due = self.background_due is not None and now >= self.background_due
        return due or bool(self.claims)

    def select_batch(self) -> tuple[RowWrite, ...]:
        """Remove the row writes of the next transaction from the queues.

        A transaction has at most one write of a row, since the conditions of two could not
        both hold.

        :return: the row writes, claims first.
        """
        size = self.limits.batch_size
        reserved = min(len(self.background), int(size * BACKGROUND_SHARE))
        chosen: dict[str, RowWrite] = {}
        fill_batch(chosen, self.claims, size - reserved)
        fill_batch(chosen, self.background, size)
        return tuple(chosen.values())

    def finish(self, batch: int) -> tuple[RowWrite, ...]:
        """End the transaction in flight.

        :param batch: number of the transaction that ended; any other is ignored.
        :return: the row writes of the transaction.
        """
        if batch != self.batch:
            return ()
        row_writes = self.in_flight
        self.in_flight = ()
        return row_writes

    def separate_conflicts(
        self, row_writes: tuple[RowWrite, ...], rows: tuple[Row, ...]
    ) -> tuple[ConflictedWrite, ...]:
        """Requeue the writes of a refused transaction whose conditions held.

        :param row_writes: the row writes of the transaction.
        :param rows: the rows that the table service returned as different; a missing row may
            be left out or have the version ``ABSENT_VERSION``.
        :return: the writes whose conditions failed. If no row of the transaction was returned,
            these are the writes that expect a row to exist.
        """
        by_key = {row.key: row for row in rows}
        conflicted = [row_write for row_write in row_writes if row_write.key in by_key]
        conflicted = conflicted or [
            row_write for row_write in row_writes if row_write.expected_version != ABSENT_VERSION
        ]
        conflicted = conflicted or list(row_writes)
        failed = {row_write.claim_id for row_write in conflicted}
        self.requeue(row_write for row_write in row_writes if row_write.claim_id not in failed)
        present = {key: row for key, row in by_key.items() if row.version != ABSENT_VERSION}
        return tuple(
            ConflictedWrite(row_write, present.get(row_write.key)) for row_write in conflicted
        )

    def requeue(self, row_writes: Iterable[RowWrite]) -> None:
        """Queue row writes again; claims go ahead of those that are queued.

        :param row_writes: the row writes.
        """
        front = tuple(row_writes)
        first = {
            row_write.claim_id: row_write
            for row_write in front
            if row_write.purpose == WritePurpose.claim
        }
        self.claims = first | self.claims
        for row_write in front:
            if row_write.purpose != WritePurpose.claim:
                self.add(row_write)


def fill_batch(chosen: dict[str, RowWrite], queue: dict[str, RowWrite], size: int) -> None:
    """Move row writes from a queue to a batch.

    :param chosen: the row writes of the batch, by row key.
    :param queue: the queued row writes, by claim.
    :param size: number of row writes at which the batch is full.
    """
    for row_write in tuple(queue.values()):
        if len(chosen) >= size:
            return
        if row_write.key not in chosen:
            chosen[row_write.key] = queue.pop(row_write.claim_id)


__all__ = (
    'GroupCommit',
    'RowWrite',
    'WritePurpose',
    'ConflictedWrite',
)
