"""A lease that lets one node at a time run a controller."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.stores.api import ABSENT, Committed, Condition, Conflicted, Write

if TYPE_CHECKING:
    import random

    from cassiahitch.stores.api import Row

#: Table of the leases, by name.
TABLE = 'leases'
#: Name of the lease of all controllers.
CONTROLLERS_LEASE = 'controllers'
#: Seconds that a lease lasts.
LEASE_DURATION_S = 10.0
#: Share of the duration by which a holder stops early and a candidate waits longer.
CLOCK_MARGIN = 0.1
#: Rounds of renewal within one duration.
POLLS_PER_LEASE = 4
#: Share of a round by which polls are jittered.
POLL_JITTER = 0.25
#: Longest lease that a row may grant, in seconds.
MAX_GRANT_S = 86_400


@dataclass(frozen=True, slots=True)
class Grant:
    """Content of a lease row; a missing holder means that it was resigned."""

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
    """Read the lease row and answer with :class:`LeaseRead`."""

    attempt: int
    key: str


@dataclass(frozen=True, slots=True)
class CommitLease:
    """Commit and answer with :class:`LeaseReply`."""

    attempt: int
    condition: Condition
    write: Write


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This node holds the lease until a moment of its own clock."""

    fencing_number: int
    held_until: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This node holds the lease no longer."""

    fencing_number: int


@dataclass(frozen=True, slots=True)
class LeaseGrantedLate:
    """The store granted a lease that had already run out."""

    fencing_number: int


@dataclass(frozen=True, slots=True)
class LeaseCorrupt:
    """The row cannot be parsed; nobody takes the lease until an operator deletes the row."""

    code: Code


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """The row as it was read, or nothing if it does not exist."""

    attempt: int
    row: Row | None


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Answer to a commit; nothing if a commit or a read failed or was lost."""

    attempt: int
    outcome: Committed | Conflicted | None


LeaseAction = ReadLease | CommitLease | LeaseAcquired | LeaseLost | LeaseGrantedLate | LeaseCorrupt


@dataclass(frozen=True, slots=True)
class _ObservedRow:
    """A version of the row and when it was first seen."""

    version: int
    first_seen_at: float
    grant: Grant | None


@dataclass(frozen=True, slots=True)
class _Request:
    """What is under way; ``started_at`` is before it was sent."""

    attempt: int
    started_at: float
    grant: Grant | None = None


class Lease:
    """Acquires, renews and resigns one lease by a row of the table service."""

    def __init__(
        self,
        name: str,
        holder: str,
        rng: random.Random,
        duration_s: float = LEASE_DURATION_S,
    ) -> None:
        """Create a candidate.

        :param name: the lease.
        :param holder: this node in this incarnation.
        :param rng: draws grant ids and jitter.
        :param duration_s: seconds that a grant lasts.
        """
        self.name = name
        self.holder = holder
        self.rng = rng
        self.duration_s = duration_s
        self.fencing_number = 0
        self.held_until: float = 0
        self.next_poll: float = 0
        self.attempt = 0
        self.request: _Request | None = None
        self.unconfirmed: _Request | None = None
        self.observed: _ObservedRow | None = None
        self.resigned = False

    def is_held(self, now: float) -> bool:
        """Tell whether this node may act; to be asked right before each action.

        :param now: seconds of this node's monotonic clock.
        :return: whether the lease is held.
        """
        return self.fencing_number > 0 and now < self.held_until

    def poll(self, now: float) -> tuple[LeaseAction, ...]:
        """Do what is due.

        :param now: seconds of this node's monotonic clock.
        :return: the actions.
        """
        expired = self._expire(now)
        if self.request is not None and now < self.request.started_at + self.duration_s:
            return expired
        if now < self.next_poll:
            return expired
        if self.request is not None and self.request.grant is not None:
            self.unconfirmed = self.request
        self.next_poll = now + self._jittered()
        return (*expired, self._read(now))

    def handle(self, event: LeaseRead | LeaseReply, now: float) -> tuple[LeaseAction, ...]:
        """Take an answer of the store.

        :param event: the answer.
        :param now: seconds of this node's monotonic clock.
        :return: the actions.
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
        """Give the lease up, so that another node need not wait for it to run out.

        :param now: seconds of this node's monotonic clock.
        :return: the actions.
        """
        self.resigned = True
        if not self.is_held(now) or self.observed is None:
            return self._expire(now)
        number = self.fencing_number
        self.fencing_number = 0
        grant = Grant('', number, self._draw_id(), 0)
        return (LeaseLost(number), self._commit(grant, now))

    def _expire(self, now: float) -> tuple[LeaseAction, ...]:
        if self.fencing_number == 0 or now < self.held_until:
            return ()
        number = self.fencing_number
        self.fencing_number = 0
        return (LeaseLost(number),)

    def _on_row(self, row: Row | None, now: float) -> tuple[LeaseAction, ...]:
        confirmed = self._confirm(row, now)
        version = ABSENT if row is None else row.version
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
        outcome: Committed | Conflicted | None,
        request: _Request,
        now: float,
    ) -> tuple[LeaseAction, ...]:
        match outcome:
            case None:
                return self._on_missing_reply(request, now)
            case Conflicted():
                return ()
            case Committed(versions=versions):
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
            return self._drop()
        if current.fencing_number != self.fencing_number:
            return self._drop()
        return (self._commit(replace(current, grant_id=self._draw_id()), now),)

    def _drop(self) -> tuple[LeaseAction, ...]:
        """Stop at once if the row names another grant than the one that is held."""
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
        new_grant = Grant(self.holder, number + 1, self._draw_id(), self.duration_s)
        return (self._commit(new_grant, now),)

    def _commit(self, grant: Grant, now: float) -> CommitLease:
        version = ABSENT if self.observed is None else self.observed.version
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

    def _jittered(self) -> float:
        return self.duration_s / POLLS_PER_LEASE * self.rng.uniform(1 - POLL_JITTER, 1)

    def _draw_id(self) -> str:
        return f'{self.rng.getrandbits(128):032x}'


def decode_grant(raw: bytes) -> Grant | None:
    """Parse the content of a lease row.

    :param raw: JSON.
    :return: the grant, or nothing if it is corrupt.
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
