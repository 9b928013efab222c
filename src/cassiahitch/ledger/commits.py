"""Group commit: the row writes of many claims in one transaction."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from cassiahitch.ledger.claim_api import ClaimLimits, Commit
from cassiahitch.ledger.rows import TABLE
from cassiahitch.stores.api import ABSENT_VERSION, Condition, Row, Write

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Part of a batch that is kept for rows of finished and void claims while there are any.
BACKGROUND_SHARE = 0.25


class Purpose(StrEnum):
    """Why a row is written."""

    claim = 'claim'
    record = 'record'
    remove = 'remove'


@dataclass(frozen=True, slots=True)
class Member:
    """One row of a batch; ``expected`` is the version that it must have."""

    claim_id: str
    purpose: Purpose
    key: str
    expected: int
    content: bytes | None


@dataclass(frozen=True, slots=True)
class Suspect:
    """A member whose condition failed, with its row where the store named it."""

    member: Member
    row: Row | None


class GroupCommit:
    """Gathers row writes and keeps one transaction under way at a time."""

    def __init__(self, limits: ClaimLimits) -> None:
        """Create it with nothing to write.

        :param limits: size and rate of the transactions.
        """
        self.limits = limits
        self.claims: dict[str, Member] = {}
        self.background: dict[str, Member] = {}
        self.flight: tuple[Member, ...] = ()
        self.batch = 0
        self.next_at: float = 0
        self.failures = 0
        self.background_due: float | None = None

    def add(self, member: Member) -> None:
        """Queue a member; it replaces one of the same claim.

        :param member: the member.
        """
        self.queue_of(member)[member.claim_id] = member

    def queue_of(self, member: Member) -> dict[str, Member]:
        """Return the queue for a member's purpose.

        :param member: the member.
        :return: the members by claim, oldest first.
        """
        return self.claims if member.purpose == Purpose.claim else self.background

    def discard(self, claim_id: str) -> bool:
        """Drop the claim write of a claim, if it is not under way.

        :param claim_id: the claim.
        :return: whether it was dropped.
        """
        return self.claims.pop(claim_id, None) is not None

    def take(self, now: float) -> Commit | None:
        """Start the next transaction, if it is time.

        :param now: seconds.
        :return: the transaction, or nothing.
        """
        if self.flight or now < self.next_at or not self.is_due(now):
            return None
        self.flight = self.choose()
        self.batch += 1
        self.next_at = now + self.limits.interval_s
        conditions = (Condition(TABLE, member.key, member.expected) for member in self.flight)
        writes = (Write(TABLE, member.key, member.content) for member in self.flight)
        return Commit(self.batch, tuple(conditions), tuple(writes))

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

    def choose(self) -> tuple[Member, ...]:
        """Take the members of the next transaction off the queues.

        A row is in a transaction once only: a write and a removal of it must not both hold.

        :return: the members, claims first.
        """
        size = self.limits.batch_size
        reserved = min(len(self.background), int(size * BACKGROUND_SHARE))
        chosen: dict[str, Member] = {}
        fill(chosen, self.claims, size - reserved)
        fill(chosen, self.background, size)
        return tuple(chosen.values())

    def finish(self, batch: int) -> tuple[Member, ...]:
        """End the transaction under way.

        :param batch: its number; a reply to another one is ignored.
        :return: its members.
        """
        if batch != self.batch:
            return ()
        members = self.flight
        self.flight = ()
        return members

    def split(self, members: tuple[Member, ...], rows: tuple[Row, ...]) -> tuple[Suspect, ...]:
        """Queue the members of a refused transaction again whose conditions held.

        :param members: its members.
        :param rows: the rows that the store named as different; a missing one may be left
            out or have the version ``ABSENT_VERSION``.
        :return: the others; if the store named no member's row, those that need a row to exist.
        """
        by_key = {row.key: row for row in rows}
        suspects = [member for member in members if member.key in by_key]
        suspects = suspects or [member for member in members if member.expected != ABSENT_VERSION]
        suspects = suspects or list(members)
        failed = {member.claim_id for member in suspects}
        self.requeue(member for member in members if member.claim_id not in failed)
        present = {key: row for key, row in by_key.items() if row.version != ABSENT_VERSION}
        return tuple(Suspect(member, present.get(member.key)) for member in suspects)

    def requeue(self, members: Iterable[Member]) -> None:
        """Queue members again, ahead of the others.

        :param members: the members.
        """
        front = tuple(members)
        first = {member.claim_id: member for member in front if member.purpose == Purpose.claim}
        self.claims = first | self.claims
        for member in front:
            if member.purpose != Purpose.claim:
                self.add(member)


def fill(chosen: dict[str, Member], queue: dict[str, Member], size: int) -> None:
    """Move members from a queue to a batch.

    :param chosen: the batch by row key.
    :param queue: the queue by claim.
    :param size: number of members at which the batch is full.
    """
    for member in tuple(queue.values()):
        if len(chosen) >= size:
            return
        if member.key not in chosen:
            chosen[member.key] = queue.pop(member.claim_id)


__all__ = (
    'GroupCommit',
    'Member',
    'Purpose',
    'Suspect',
)
