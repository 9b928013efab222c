"""Group commit: the row writes of many claims in one transaction."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from cassiahitch.ledger.claim_api import ClaimLimits, CommitBatch
from cassiahitch.ledger.rows import TABLE
from cassiahitch.stores.api import ABSENT, Condition, Row, Write

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Part of a batch that is kept for rows of finished and void claims while there are any.
BACKGROUND_SHARE = 0.25


class WritePurpose(StrEnum):
    """Why a row is written."""

    claim = 'claim'
    record = 'record'
    remove = 'remove'


@dataclass(frozen=True, slots=True)
class RowWrite:
    """One row of a batch; ``expected_version`` is the version that it must have."""

    claim_id: str
    purpose: WritePurpose
    key: str
    expected_version: int
    content: bytes | None


@dataclass(frozen=True, slots=True)
class ConflictedWrite:
    """A member whose condition failed, with its row where the store named it."""

    row_write: RowWrite
    row: Row | None


class GroupCommit:
    """Gathers row writes and keeps one transaction under way at a time."""

    def __init__(self, limits: ClaimLimits) -> None:
        """Create it with nothing to write.

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
        """Queue a member; it replaces one of the same claim.

        :param row_write: the member.
        """
        self.queue_of(row_write)[row_write.claim_id] = row_write

    def queue_of(self, row_write: RowWrite) -> dict[str, RowWrite]:
        """Return the queue for a member's purpose.

        :param row_write: the member.
        :return: the members by claim, oldest first.
        """
        return self.claims if row_write.purpose == WritePurpose.claim else self.background

    def discard(self, claim_id: str) -> bool:
        """Drop the claim write of a claim, if it is not under way.

        :param claim_id: the claim.
        :return: whether it was dropped.
        """
        return self.claims.pop(claim_id, None) is not None

    def next_commit(self, now: float) -> CommitBatch | None:
        """Start the next transaction, if it is time.

        :param now: seconds.
        :return: the transaction, or nothing.
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
        """Whether there is something to write that waits no longer.

        :param now: seconds.
        :return: whether a claim waits, or other rows have waited long enough.
        """
        if not self.background:
            self.background_due = None
        elif self.background_due is None:
            self.background_due = now + self.limits.background_wait_s
        due = self.background_due is not None and now >= self.background_due
        return due or bool(self.claims)

    def select_batch(self) -> tuple[RowWrite, ...]:
        """Take the members of the next transaction off the queues.

        A row is in a transaction once only: a write and a removal of it must not both hold.

        :return: the members, claims first.
        """
        size = self.limits.batch_size
        reserved = min(len(self.background), int(size * BACKGROUND_SHARE))
        chosen: dict[str, RowWrite] = {}
        fill_batch(chosen, self.claims, size - reserved)
        fill_batch(chosen, self.background, size)
        return tuple(chosen.values())

    def finish(self, batch: int) -> tuple[RowWrite, ...]:
        """End the transaction under way.

        :param batch: its number; a reply to another one is ignored.
        :return: its members.
        """
        if batch != self.batch:
            return ()
        row_writes = self.in_flight
        self.in_flight = ()
        return row_writes

    def separate_conflicts(
        self, row_writes: tuple[RowWrite, ...], rows: tuple[Row, ...]
    ) -> tuple[ConflictedWrite, ...]:
        """Queue the members of a refused transaction again whose conditions held.

        :param row_writes: its members.
        :param rows: the rows that the store named as different; a missing one may be left
            out or have the version ``ABSENT``.
        :return: the others; if the store named no member's row, those that need a row to exist.
        """
        by_key = {row.key: row for row in rows}
        conflicted = [row_write for row_write in row_writes if row_write.key in by_key]
        conflicted = conflicted or [
            row_write for row_write in row_writes if row_write.expected_version != ABSENT
        ]
        conflicted = conflicted or list(row_writes)
        failed = {row_write.claim_id for row_write in conflicted}
        self.requeue(row_write for row_write in row_writes if row_write.claim_id not in failed)
        present = {key: row for key, row in by_key.items() if row.version != ABSENT}
        return tuple(
            ConflictedWrite(row_write, present.get(row_write.key)) for row_write in conflicted
        )

    def requeue(self, row_writes: Iterable[RowWrite]) -> None:
        """Queue members again, ahead of the others.

        :param row_writes: the members.
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
    """Move members from a queue to a batch.

    :param chosen: the batch by row key.
    :param queue: the queue by claim.
    :param size: number of members at which the batch is full.
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
