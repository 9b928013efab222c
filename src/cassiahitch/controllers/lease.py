"""Lease that lets one node at a time run the controllers."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.stores.api import ABSENT_VERSION, CommitConflict, CommitSuccess, Condition, Write

if TYPE_CHECKING:
    import random

    from cassiahitch.stores.api import Row

#: Table of the lease rows, by name of the lease.
TABLE = 'leases'
#: Name of the lease that all controllers share.
CONTROLLERS_LEASE = 'controllers'
#: Seconds for which a grant is valid.
LEASE_DURATION_S = 10.0
#: Share of the duration by which a holder stops early and a candidate waits longer, to allow
#: for clocks that drift.
CLOCK_MARGIN = 0.1
#: Polls within one duration; each renews the lease or reads its row.
POLLS_PER_LEASE = 4
#: Largest share by which the time between two polls is shortened at random.
POLL_JITTER = 0.25
#: Longest valid duration of a grant in seconds.
MAX_GRANT_S = 86_400


@dataclass(frozen=True, slots=True)
class Grant:
    """Content of a lease row; an empty ``holder`` means that the lease was resigned."""

    holder: str
    fencing_number: int
    grant_id: str
    duration_s: float

    def encode(self) -> bytes:
        """Serialise the grant.

        :return: JSON.
        """
        return json.dumps(
            [self.holder, self.fencing_number, self.grant_id, self.duration_s],
        ).encode()


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease row and report it as :class:`LeaseRead`."""

    attempt: int
    key: str


@dataclass(frozen=True, slots=True)
class CommitLease:
    """Write the lease row under a condition and report the outcome as :class:`LeaseReply`."""

    attempt: int
    condition: Condition
    write: Write


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This node holds the lease; ``held_until`` is in seconds of its monotonic clock."""

    fencing_number: int
    held_until: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This node no longer holds the lease."""

    fencing_number: int


@dataclass(frozen=True, slots=True)
class LeaseGrantedLate:
    """The table service granted the lease only after the grant had expired."""

    fencing_number: int


@dataclass(frozen=True, slots=True)
class LeaseCorrupt:
    """The row cannot be parsed; no node acquires the lease until an operator deletes it."""

    code: Code


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """The row that was read, or ``None`` if it does not exist."""

    attempt: int
    row: Row | None


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Outcome of a commit, or ``None`` if the commit or a read failed or got no reply."""

    attempt: int
    outcome: CommitSuccess | CommitConflict | None


LeaseAction = ReadLease | CommitLease | LeaseAcquired | LeaseLost | LeaseGrantedLate | LeaseCorrupt


@dataclass(frozen=True, slots=True)
class _ObservedRow:
    """A version of the row and the local time at which it was first seen."""

    version: int
    first_seen_at: float
    grant: Grant | None


@dataclass(frozen=True, slots=True)
class _Request:
    """A read or commit in flight; ``started_at`` is the time before it was sent."""

    attempt: int
    started_at: float
    grant: Grant | None = None


class Lease:
    """State machine that acquires, renews and resigns one lease.

    A lease is a row of the table service that is written under the condition of its version.
    Validity counts from before the commit was sent. A candidate waits for the duration of the
    grant from when it first saw the row, so that clocks of nodes are never compared.
    """

    def __init__(
        self,
        name: str,
        holder: str,
        rng: random.Random,
        duration_s: float = LEASE_DURATION_S,
    ) -> None:
        """Create a candidate for a lease.

        :param name: name of the lease.
        :param holder: identifier of this node in this incarnation.
        :param rng: source of grant ids and jitter.
        :param duration_s: seconds for which a grant is valid.
        """
        self.name = name
        self.holder = holder
        self.rng = rng
        self.duration_s = duration_s
        self.fencing_number = 0
        self.held_until: float = 0
        self.next_poll_at: float = 0
        self.attempt = 0
        self.request: _Request | None = None
        self.unconfirmed: _Request | None = None
        self.observed: _ObservedRow | None = None
        self.resigned = False

    def is_held(self, now: float) -> bool:
        """Return whether this node holds the lease; check it right before each action.

        :param now: seconds of this node's monotonic clock.
        :return: whether the lease is held.
        """
        return self.fencing_number > 0 and now < self.held_until

    def poll(self, now: float) -> tuple[LeaseAction, ...]:
        """Expire the lease if its time is over, and read its row if a read is due.

        :param now: seconds of this node's monotonic clock.
        :return: the actions to perform.
        """
        expired = self._expire(now)
        if self.request is not None and now < self.request.started_at + self.duration_s:
            return expired
        if now < self.next_poll_at:
            return expired
        if self.request is not None and self.request.grant is not None:
            self.unconfirmed = self.request
        self.next_poll_at = now + self._poll_delay_s()
        return (*expired, self._read(now))

    def handle(self, event: LeaseRead | LeaseReply, now: float) -> tuple[LeaseAction, ...]:
        """Apply a reply of the table service; replies to earlier requests are ignored.

        :param event: the reply.
        :param now: seconds of this node's monotonic clock.
        :return: the actions to perform.
        """
        request = self.request
        expired = self._expire(now)
        if request is None or request.attempt != event.attempt:
            return expired
        self.request = None
        match event:
            case LeaseRead(row=row):
                return (*expired, *self._on_row(row, now))
            case LeaseReply(outcome=outcome):
                return (*expired, *self._on_reply(outcome, request, now))

    def resign(self, now: float) -> tuple[LeaseAction, ...]:
        """Give up the lease, so that another node can acquire it before it expires.

        :param now: seconds of this node's monotonic clock.
        :return: the actions to perform.
        """
        self.resigned = True
        if not self.is_held(now) or self.observed is None:
            return self._expire(now)
        number = self.fencing_number
        self.fencing_number = 0
        grant = Grant('', number, self._new_grant_id(), 0)
        return (LeaseLost(number), self._commit(grant, now))

    def _expire(self, now: float) -> tuple[LeaseAction, ...]:
        if self.fencing_number == 0 or now < self.held_until:
            return ()
        number = self.fencing_number
        self.fencing_number = 0
        return (LeaseLost(number),)

    def _on_row(self, row: Row | None, now: float) -> tuple[LeaseAction, ...]:
        confirmed = self._confirm(row, now)
        version = ABSENT_VERSION if row is None else row.version
        if self.observed is None or self.observed.version != version:
            self.observed = _ObservedRow(
                version, now, None if row is None else decode_grant(row.content)
            )
        if row is not None and self.observed.grant is None:
            return (*confirmed, LeaseCorrupt(Code.store_row_corrupt))
        if confirmed or self.resigned:
            return confirmed
        if self.is_held(now):
            return (*confirmed, *self._renew(now))
        return (*confirmed, *self._acquire(now))

    def _on_reply(
        self,
        outcome: CommitSuccess | CommitConflict | None,
        request: _Request,
        now: float,
    ) -> tuple[LeaseAction, ...]:
        match outcome:
            case None:
                return self._on_missing_reply(request, now)
            case CommitConflict():
                return ()
            case CommitSuccess(versions=versions):
                self.observed = _ObservedRow(versions[0], now, request.grant)
                return self._on_granted(request, now)

    def _on_missing_reply(self, request: _Request, now: float) -> tuple[LeaseAction, ...]:
        if request.grant is None:
            return ()
        self.unconfirmed = request
        return (self._read(now),)

    def _confirm(self, row: Row | None, now: float) -> tuple[LeaseAction, ...]:
        unconfirmed = self.unconfirmed
        self.unconfirmed = None
        if unconfirmed is None or unconfirmed.grant is None or row is None:
            return ()
        if row.content != unconfirmed.grant.encode():
            return ()
        self.observed = _ObservedRow(row.version, now, unconfirmed.grant)
        return self._on_granted(unconfirmed, now)

    def _on_granted(self, request: _Request, now: float) -> tuple[LeaseAction, ...]:
        grant = request.grant
        if grant is None or grant.holder != self.holder or self.resigned:
            return ()
        held_until = request.started_at + self.duration_s * (1 - CLOCK_MARGIN)
        if now >= held_until:
            return (LeaseGrantedLate(grant.fencing_number),)
        self.fencing_number = grant.fencing_number
        self.held_until = held_until
        return (LeaseAcquired(grant.fencing_number, held_until),)

    def _renew(self, now: float) -> tuple[LeaseAction, ...]:
        current = self.observed.grant if self.observed else None
        if current is None or current.holder != self.holder:
            return self._lose()
        if current.fencing_number != self.fencing_number:
            return self._lose()
        return (self._commit(replace(current, grant_id=self._new_grant_id()), now),)

    def _lose(self) -> tuple[LeaseAction, ...]:
        """Mark the lease as lost, because its row holds the grant of another node or term."""
        number = self.fencing_number
        self.fencing_number = 0
        return (LeaseLost(number),)

    def _acquire(self, now: float) -> tuple[LeaseAction, ...]:
        if self.observed is None:
            return ()
        grant = self.observed.grant
        number = grant.fencing_number if grant else 0
        if grant and grant.holder != self.holder:
            if now < self.observed.first_seen_at + grant.duration_s * (1 + CLOCK_MARGIN):
                return ()
        new_grant = Grant(self.holder, number + 1, self._new_grant_id(), self.duration_s)
        return (self._commit(new_grant, now),)

    def _commit(self, grant: Grant, now: float) -> CommitLease:
        version = ABSENT_VERSION if self.observed is None else self.observed.version
        self.attempt += 1
        self.request = _Request(self.attempt, now, grant)
        return CommitLease(
            self.attempt,
            Condition(TABLE, self.name, version),
            Write(TABLE, self.name, grant.encode()),
        )

    def _read(self, now: float) -> ReadLease:
        self.attempt += 1
        self.request = _Request(self.attempt, now)
        return ReadLease(self.attempt, self.name)

    def _poll_delay_s(self) -> float:
        return self.duration_s / POLLS_PER_LEASE * self.rng.uniform(1 - POLL_JITTER, 1)

    def _new_grant_id(self) -> str:
        return f'{self.rng.getrandbits(128):032x}'


def decode_grant(raw: bytes) -> Grant | None:
    """Parse the content of a lease row.

    :param raw: output of :meth:`Grant.encode`.
    :return: the grant, or ``None`` if the content is corrupt.
    """
    try:
        fields = json.loads(raw)
    except (ValueError, RecursionError):
        return None
    match fields:
        case [str(holder), int(number), str(grant_id), float() | int() as duration_s] if (
            0 <= duration_s <= MAX_GRANT_S
        ):
            return Grant(holder, number, grant_id, float(duration_s))
        case _:
            return None


__all__ = (
    'CONTROLLERS_LEASE',
    'LEASE_DURATION_S',
    'CommitLease',
    'LeaseAcquired',
    'Grant',
    'LeaseGrantedLate',
    'Lease',
    'LeaseAction',
    'LeaseReply',
    'LeaseCorrupt',
    'LeaseRead',
    'LeaseLost',
    'ReadLease',
    'decode_grant',
)
