"""The request ledger of an agent, which runs each key at most once."""

from __future__ import annotations

from typing import assert_never

from cassiahitch.codes import Code, HasRun
from cassiahitch.ledger.api import (
    Action,
    Dispatch,
    Enqueue,
    Execute,
    Fail,
    Failure,
    Finish,
    Join,
    KeyState,
    LedgerLimits,
    Message,
    Outcome,
    RecordsSwept,
    RequestAnswered,
    RequestJoined,
    RequestRefused,
    StateReply,
    Status,
    Sweep,
    TryStart,
    Void,
)
from cassiahitch.ledger.records import Record, RecordStore


class Ledger:
    """Decides whether a key may run at this agent, and keeps the outcomes for retries.

    A request is refused with ``ran: no`` only after its key was recorded as void, so that
    no other copy of its dispatch can run later. If the void key cannot be recorded, or an
    earlier copy may have run in another incarnation, the refusal has ``ran: unknown``.
    """

    def __init__(self, incarnation: int, limits: LedgerLimits | None = None) -> None:
        """Create an empty ledger.

        :param incarnation: the random number that this agent drew at its start.
        :param limits: limits of the ledger.
        """
        self.incarnation = incarnation
        self.limits = limits or LedgerLimits()
        self.records = RecordStore(self.limits)

    def handle(self, message: Message, now: float) -> tuple[Action, ...]:
        """Handle a message.

        :param message: the message.
        :param now: seconds of the agent's monotonic clock; must not decrease.
        :return: the actions to perform, in order.
        """
        match message:
            case Dispatch():
                return self.dispatch(message, now)
            case Join(key=key, request_id=request_id):
                return self.join(key, request_id)
            case TryStart() | Finish() | Fail():
                return self.handle_progress(message, now)
            case Void():
                return self.void(message, now)
            case Status():
                return (self.status(message, now),)
            case Sweep(limit=limit):
                return (RecordsSwept(self.records.sweep(limit, now)),)
            case _:
                assert_never(message)

    def handle_progress(self, message: TryStart | Finish | Fail, now: float) -> tuple[Action, ...]:
        """Handle the progress of a key at the backend server.

        :param message: the message.
        :param now: monotonic time in seconds.
        :return: the actions to perform, in order.
        """
        match message:
            case TryStart(key=key):
                return self.try_start(key)
            case Finish(key=key, answer=answer):
                return self.complete(key, answer, now)
            case Fail(key=key, code=code, ran=ran):
                return self.fail(key, Failure(code, ran), now)

    def state(self, key: str) -> KeyState:
        """Return the state of a key.

        :param key: the key.
        :return: its state, or that of the key that it is an alias of.
        """
        record = self.records.find(key)
        return record.state if record else KeyState.absent

    def dispatch(self, message: Dispatch, now: float) -> tuple[Action, ...]:
        """Queue a request, join it to a key that has a record, or refuse it.

        :param message: the request.
        :param now: monotonic time in seconds.
        :return: one action.
        """
        if message.incarnation != self.incarnation:
            return (RequestRefused(message.request_id, Code.wrong_incarnation, HasRun.unknown),)
        record = self.records.find(message.key)
        if record is not None:
            return self.handle_known_key(record, message)
        if not now <= message.not_after <= now + self.limits.horizon_s:
            return (self.refuse(message, Code.dispatch_too_late, now),)
        if not self.records.has_capacity():
            return (self.refuse(message, Code.ledger_full, now),)
        self.records.queue(message)
        return (Enqueue(message.key),)

    def handle_known_key(self, record: Record, message: Dispatch) -> tuple[Action, ...]:
        """Join a request to a key that has a record, or refuse it.

        :param record: the record of its key.
        :param message: the request.
        :return: one action.
        """
        request_id = message.request_id
        if record.state == KeyState.void:
            return (RequestRefused(request_id, Code.request_voided, HasRun.no),)
        if record.body_digest != message.body_digest:
            return (RequestRefused(request_id, Code.key_reused, HasRun.no),)
        return self.join(record.key, request_id)

    def join(self, key: str, request_id: str) -> tuple[Action, ...]:
        """Make a request wait for a key, or replay the outcome of the key.

        :param key: a key that has a record.
        :param request_id: the request.
        :return: one action.
        """
        record = self.records.by_key[key]
        if record.outcome is not None:
            return (RequestAnswered(key, request_id, record.outcome, replayed=True),)
        if request_id not in record.waiters:
            if len(record.waiters) >= self.limits.max_waiters:
                return (RequestRefused(request_id, Code.request_in_progress, HasRun.unknown),)
            record.waiters.append(request_id)
        return (RequestJoined(key, request_id),)

    def refuse(self, message: Dispatch, code: Code, now: float) -> RequestRefused:
        """Make a key that has no record void, and refuse its request.

        :param message: the request.
        :param code: the code of the refusal.
        :param now: monotonic time in seconds.
        :return: the refusal, with ``ran: unknown`` if the key could not be made void.
        """
        certain = not self.is_forgotten(message.not_after, now)
        certain = certain and self.records.void(message.key, now)
        return RequestRefused(message.request_id, code, HasRun.no if certain else HasRun.unknown)

    def try_start(self, key: str) -> tuple[Action, ...]:
        """Mark a queued key as running.

        :param key: the key.
        :return: ``Execute``, or no action if the key must not run.
        """
        record = self.records.find(key)
        if record is None or record.state != KeyState.queued:
            return ()
        record.state = KeyState.running
        return (Execute(key),)

    def complete(self, key: str, outcome: Outcome, now: float) -> tuple[Action, ...]:
        """Record the outcome of a key and send it to the waiting requests.

        :param key: a key that is queued or running; others are ignored.
        :param outcome: the outcome.
        :param now: monotonic time in seconds.
        :return: a ``RequestAnswered`` for each waiting request.
        """
        record = self.records.find(key)
        if record is None or record.state not in {KeyState.queued, KeyState.running}:
            return ()
        self.records.finish(record, outcome, now)
        return tuple(
            RequestAnswered(record.key, waiter, outcome) for waiter in remove_waiters(record)
        )

    def fail(self, key: str, failure: Failure, now: float) -> tuple[Action, ...]:
        """End a key without an answer; a key that did not run becomes void.

        :param key: a key that is queued or running; others are ignored.
        :param failure: the code, and whether the key has run.
        :param now: monotonic time in seconds.
        :return: an action for each waiting request.
        """
        record = self.records.find(key)
        if record is None or failure.ran != HasRun.no:
            return self.complete(key, failure, now)
        if record.state not in {KeyState.queued, KeyState.running}:
            return ()
        return self.void_record(record, failure, now)

    def void(self, message: Void, now: float) -> tuple[Action, ...]:
        """Make a key void, unless it is running or done.

        :param message: the key and the ``not_after`` of its dispatch.
        :param now: monotonic time in seconds.
        :return: refusals of the waiting requests, then the resulting state of the key.
        """
        reply = self.status(message, now)
        match reply.state:
            case KeyState.absent:
                recorded = self.records.void(message.key, now)
                state = KeyState.void if recorded else KeyState.forgotten
                return (StateReply(message.key, state),)
            case KeyState.queued if message.key not in self.records.aliases:
                failure = Failure(Code.request_voided, HasRun.no)
                if message.takeover:
                    failure = Failure(Code.claimed_elsewhere, HasRun.unknown)
                refusals = self.void_record(self.records.by_key[message.key], failure, now)
                return (*refusals, StateReply(message.key, KeyState.void))
            case _:
                return (reply,)

    def void_record(self, record: Record, failure: Failure, now: float) -> tuple[Action, ...]:
        """Make a queued or running key void and refuse the requests that wait for it.

        :param record: the record of the key.
        :param failure: the code and ``ran`` of the refusals.
        :param now: monotonic time in seconds.
        :return: a refusal for each waiting request.
        """
        self.records.void(record.key, now)
        return tuple(
            RequestRefused(waiter, failure.code, failure.ran) for waiter in remove_waiters(record)
        )

    def status(self, message: Status | Void, now: float) -> StateReply:
        """Return the state of a key, with its outcome if it is done.

        :param message: the key, the digest of the body and the ``not_after`` of its dispatch.
        :param now: monotonic time in seconds.
        :return: the state.
        """
        if message.incarnation != self.incarnation:
            return StateReply(message.key, KeyState.forgotten)
        record = self.records.find(message.key)
        if record is None:
            forgotten = self.is_forgotten(message.not_after, now)
            return StateReply(message.key, KeyState.forgotten if forgotten else KeyState.absent)
        if record.state != KeyState.void and record.body_digest != message.body_digest:
            return StateReply(message.key, KeyState.reused)
        return StateReply(message.key, record.state, record.outcome)

    def is_forgotten(self, not_after: float, now: float) -> bool:
        """Return whether a sweep may have removed the record of a key that has none now.

        :param not_after: the ``not_after`` of its dispatch.
        :param now: monotonic time in seconds.
        :return: whether the shortest retention has passed.
        """
        return now > not_after + self.limits.min_retention_s


def remove_waiters(record: Record) -> list[str]:
    """Remove the waiting requests from a record.

    :param record: the record.
    :return: the identifiers of the requests.
    """
    waiters = record.waiters
    record.waiters = []
    return waiters


__all__ = ('Ledger',)
