"""A lease that lets one node at a time run a controller."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.stores.api import ABSENT_VERSION, CommitConflict, CommitSuccess, Condition, Write

if TYPE_CHECKING:
    import random

    from cassiahitch.stores.api import Row

#: Table of the leases, by name.
TABLE = 'leases'
#: Name of the lease of all controllers.
CONTROLLERS = 'controllers'
#: Seconds that a lease lasts.
DURATION_S = 10.0
#: Share of the duration by which a holder stops early and a candidate waits longer.
MARGIN = 0.1
#: Rounds of renewal within one duration.
ROUNDS = 4
#: Share of a round by which polls are jittered.
JITTER = 0.25
#: Longest lease that a row may grant, in seconds.
LONGEST_GRANT_S = 86_400


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
    """Commit and answer with :class:`LeaseAnswer`."""

    attempt: int
    condition: Condition
    write: Write


@dataclass(frozen=True, slots=True)
class Gained:
    """This node holds the lease until a moment of its own clock."""

    fencing_number: int
    until: float


@dataclass(frozen=True, slots=True)
class Lost:
    """This node holds the lease no longer."""

    fencing_number: int


@dataclass(frozen=True, slots=True)
class GrantedLate:
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
class LeaseAnswer:
    """Answer to a commit; nothing if a commit or a read failed or was lost."""

    attempt: int
    outcome: CommitSuccess | CommitConflict | None


LeaseAction = ReadLease | CommitLease | Gained | Lost | GrantedLate | LeaseCorrupt


@dataclass(frozen=True, slots=True)
class _Seen:
    """A version of the row and when it was first seen."""

    version: int
    since: float
    grant: Grant | None


@dataclass(frozen=True, slots=True)
class _Request:
    """What is under way; ``began`` is before it was sent."""

    attempt: int
    began: float
    grant: Grant | None = None


class Lease:
    """Acquires, renews and resigns one lease by a row of the table service."""

    def __init__(
        self,
        name: str,
        holder: str,
        rng: random.Random,
        duration_s: float = DURATION_S,
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
        self.until: float = 0
        self.next_poll: float = 0
        self.attempt = 0
        self.request: _Request | None = None
        self.unsettled: _Request | None = None
        self.seen: _Seen | None = None
        self.resigned = False

    def held(self, now: float) -> bool:
        """Tell whether this node may act; to be asked right before each action.

        :param now: seconds of this node's monotonic clock.
        :return: whether the lease is held.
        """
        return self.fencing_number > 0 and now < self.until

    def poll(self, now: float) -> tuple[LeaseAction, ...]:
        """Do what is due.

        :param now: seconds of this node's monotonic clock.
        :return: the actions.
        """
        lapsed = self._lapse(now)
        if self.request is not None and now < self.request.began + self.duration_s:
            return lapsed
        if now < self.next_poll:
            return lapsed
        if self.request is not None and self.request.grant is not None:
            self.unsettled = self.request
        self.next_poll = now + self._jittered()
        return (*lapsed, self._read(now))

    def handle(self, event: LeaseRead | LeaseAnswer, now: float) -> tuple[LeaseAction, ...]:
        """Take an answer of the store.

        :param event: the answer.
        :param now: seconds of this node's monotonic clock.
        :return: the actions.
        """
        request = self.request
        lapsed = self._lapse(now)
        if request is None or request.attempt != event.attempt:
            return lapsed
        self.request = None
        match event:
            case LeaseRead(row=row):
                return (*lapsed, *self._on_row(row, now))
            case LeaseAnswer(outcome=outcome):
                return (*lapsed, *self._on_answer(outcome, request, now))

    def resign(self, now: float) -> tuple[LeaseAction, ...]:
        """Give the lease up, so that another node need not wait for it to run out.

        :param now: seconds of this node's monotonic clock.
        :return: the actions.
        """
        self.resigned = True
        if not self.held(now) or self.seen is None:
            return self._lapse(now)
        number = self.fencing_number
        self.fencing_number = 0
        grant = Grant('', number, self._draw_id(), 0)
        return (Lost(number), self._commit(grant, now))

    def _lapse(self, now: float) -> tuple[LeaseAction, ...]:
        if self.fencing_number == 0 or now < self.until:
            return ()
        number = self.fencing_number
        self.fencing_number = 0
        return (Lost(number),)

    def _on_row(self, row: Row | None, now: float) -> tuple[LeaseAction, ...]:
        settled = self._settle(row, now)
        version = ABSENT_VERSION if row is None else row.version
        if self.seen is None or self.seen.version != version:
            self.seen = _Seen(version, now, None if row is None else decode_grant(row.content))
        if row is not None and self.seen.grant is None:
            return (*settled, LeaseCorrupt(Code.store_row_corrupt))
        if settled or self.resigned:
            return settled
        if self.held(now):
            return (*settled, *self._renew(now))
        return (*settled, *self._acquire(now))

    def _on_answer(
        self,
        outcome: CommitSuccess | CommitConflict | None,
        request: _Request,
        now: float,
    ) -> tuple[LeaseAction, ...]:
        match outcome:
            case None:
                return self._on_lost(request, now)
            case CommitConflict():
                return ()
            case CommitSuccess(versions=versions):
                self.seen = _Seen(versions[0], now, request.grant)
                return self._granted(request, now)

    def _on_lost(self, request: _Request, now: float) -> tuple[LeaseAction, ...]:
        if request.grant is None:
            return ()
        self.unsettled = request
        return (self._read(now),)

    def _settle(self, row: Row | None, now: float) -> tuple[LeaseAction, ...]:
        unsettled = self.unsettled
        self.unsettled = None
        if unsettled is None or unsettled.grant is None or row is None:
            return ()
        if row.content != unsettled.grant.encode():
            return ()
        self.seen = _Seen(row.version, now, unsettled.grant)
        return self._granted(unsettled, now)

    def _granted(self, request: _Request, now: float) -> tuple[LeaseAction, ...]:
        grant = request.grant
        if grant is None or grant.holder != self.holder or self.resigned:
            return ()
        until = request.began + self.duration_s * (1 - MARGIN)
        if now >= until:
            return (GrantedLate(grant.fencing_number),)
        self.fencing_number = grant.fencing_number
        self.until = until
        return (Gained(grant.fencing_number, until),)

    def _renew(self, now: float) -> tuple[LeaseAction, ...]:
        held = self.seen.grant if self.seen else None
        if held is None or held.holder != self.holder:
            return self._dispossessed()
        if held.fencing_number != self.fencing_number:
            return self._dispossessed()
        return (self._commit(replace(held, grant_id=self._draw_id()), now),)

    def _dispossessed(self) -> tuple[LeaseAction, ...]:
        """Stop at once if the row names another grant than the one that is held."""
        number = self.fencing_number
        self.fencing_number = 0
        return (Lost(number),)

    def _acquire(self, now: float) -> tuple[LeaseAction, ...]:
        if self.seen is None:
            return ()
        grant = self.seen.grant
        number = grant.fencing_number if grant else 0
        if grant and grant.holder != self.holder:
            if now < self.seen.since + grant.duration_s * (1 + MARGIN):
                return ()
        fresh = Grant(self.holder, number + 1, self._draw_id(), self.duration_s)
        return (self._commit(fresh, now),)

    def _commit(self, grant: Grant, now: float) -> CommitLease:
        version = ABSENT_VERSION if self.seen is None else self.seen.version
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
        return self.duration_s / ROUNDS * self.rng.uniform(1 - JITTER, 1)

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
            0 <= duration_s <= LONGEST_GRANT_S
        ):
            return Grant(holder, number, grant_id, float(duration_s))
        case _:
            return None


__all__ = (
    'CONTROLLERS',
    'DURATION_S',
    'CommitLease',
    'Gained',
    'Grant',
    'GrantedLate',
    'Lease',
    'LeaseAction',
    'LeaseAnswer',
    'LeaseCorrupt',
    'LeaseRead',
    'Lost',
    'ReadLease',
    'decode_grant',
)
