"""The request ledger of an agent: each key runs at most once."""

from __future__ import annotations

from typing import assert_never

from cassiahitch.codes import Code, HasRun
from cassiahitch.ledger.api import (
    Action,
    Answered,
    Begin,
    Dispatch,
    Fail,
    Failure,
    Finish,
    Join,
    Joined,
    LedgerLimits,
    Message,
    Outcome,
    Refused,
    Run,
    Start,
    State,
    StateReply,
    Status,
    Sweep,
    Swept,
    Void,
)
from cassiahitch.ledger.records import Record, Records


class Ledger:
    """Decides for each key whether it may run here, now or ever.

    A request is refused with ``ran: no`` only after its key was recorded as void, so that
    no other copy of its dispatch can run later. Where that can't be recorded or an earlier
    copy may have run in another incarnation, the refusal says ``unknown``.
    """

    def __init__(self, incarnation: int, limits: LedgerLimits | None = None) -> None:
        """Create an empty ledger.

        :param incarnation: the random number that this agent drew at its start.
        :param limits: its bounds.
        """
        self.incarnation = incarnation
        self.limits = limits or LedgerLimits()
        self.records = Records(self.limits)

    def handle(self, message: Message, now: float) -> tuple[Action, ...]:
        """Take in a message.

        :param message: the message.
        :param now: seconds of the agent's monotonic clock; never goes back.
        :return: what to do, in order.
        """
        match message:
            case Dispatch():
                return self.dispatch(message, now)
            case Join(key=key, request_id=request_id):
                return self.join(key, request_id)
            case Start() | Finish() | Fail():
                return self.progress(message, now)
            case Void():
                return self.void(message, now)
            case Status():
                return (self.status(message, now),)
            case Sweep(limit=limit):
                return (Swept(self.records.sweep(limit, now)),)
            case _:
                assert_never(message)

    def progress(self, message: Start | Finish | Fail, now: float) -> tuple[Action, ...]:
        """Take in what became of a key at the backend server.

        :param message: the message.
        :param now: seconds.
        :return: what to do, in order.
        """
        match message:
            case Start(key=key):
                return self.start(key)
            case Finish(key=key, answer=answer):
                return self.settle(key, answer, now)
            case Fail(key=key, code=code, ran=ran):
                return self.fail(key, Failure(code, ran), now)

    def state(self, key: str) -> State:
        """Return the state of a key.

        :param key: the key.
        :return: its state, or that of the key that it joined.
        """
        record = self.records.find(key)
        return record.state if record else State.absent

    def dispatch(self, message: Dispatch, now: float) -> tuple[Action, ...]:
        """Queue a request, join it to its key or refuse it.

        :param message: the request.
        :param now: seconds.
        :return: one action.
        """
        if message.incarnation != self.incarnation:
            return (Refused(message.request_id, Code.wrong_incarnation, HasRun.unknown),)
        record = self.records.find(message.key)
        if record is not None:
            return self.repeat(record, message)
        if not now <= message.not_after <= now + self.limits.horizon_s:
            return (self.refuse(message, Code.dispatch_too_late, now),)
        if not self.records.has_room():
            return (self.refuse(message, Code.ledger_full, now),)
        self.records.queue(message)
        return (Run(message.key),)

    def repeat(self, record: Record, message: Dispatch) -> tuple[Action, ...]:
        """Answer a request whose key is known.

        :param record: the record of its key.
        :param message: the request.
        :return: one action.
        """
        request_id = message.request_id
        if record.state == State.void:
            return (Refused(request_id, Code.request_voided, HasRun.no),)
        if record.body_digest != message.body_digest:
            return (Refused(request_id, Code.key_reused, HasRun.no),)
        return self.join(record.key, request_id)

    def join(self, key: str, request_id: str) -> tuple[Action, ...]:
        """Let a request wait for a key, or replay its outcome.

        :param key: a key that is known.
        :param request_id: the request.
        :return: one action.
        """
        record = self.records.by_key[key]
        if record.outcome is not None:
            return (Answered(key, request_id, record.outcome, replayed=True),)
        if request_id not in record.waiters:
            if len(record.waiters) >= self.limits.waiters:
                return (Refused(request_id, Code.request_in_progress, HasRun.unknown),)
            record.waiters.append(request_id)
        return (Joined(key, request_id),)

    def refuse(self, message: Dispatch, code: Code, now: float) -> Refused:
        """Refuse a request whose key is unknown, once the key is void.

        :param message: the request.
        :param code: the reason.
        :param now: seconds.
        :return: the refusal.
        """
        certain = not self.is_forgotten(message.not_after, now)
        certain = certain and self.records.void(message.key, now)
        return Refused(message.request_id, code, HasRun.no if certain else HasRun.unknown)

    def start(self, key: str) -> tuple[Action, ...]:
        """Let a queued key run, once.

        :param key: the key.
        :return: ``Begin``, or nothing if the key may not run.
        """
        record = self.records.find(key)
        if record is None or record.state != State.queued:
            return ()
        record.state = State.running
        return (Begin(key),)

    def settle(self, key: str, outcome: Outcome, now: float) -> tuple[Action, ...]:
        """Keep the outcome of a key and tell the requests that wait.

        :param key: a key that is queued or running; others are ignored.
        :param outcome: what came of it.
        :param now: seconds.
        :return: an ``Answered`` for each request that waits.
        """
        record = self.records.find(key)
        if record is None or record.state not in {State.queued, State.running}:
            return ()
        self.records.finish(record, outcome, now)
        return tuple(Answered(record.key, waiter, outcome) for waiter in drain(record))

    def fail(self, key: str, failure: Failure, now: float) -> tuple[Action, ...]:
        """End a key without an answer.

        :param key: a key that is queued or running; others are ignored.
        :param failure: its code, and whether it has run.
        :param now: seconds.
        :return: an action for each request that waits.
        """
        record = self.records.find(key)
        if record is None or failure.ran != HasRun.no:
            return self.settle(key, failure, now)
        if record.state not in {State.queued, State.running}:
            return ()
        return self.void_record(record, failure, now)

    def void(self, message: Void, now: float) -> tuple[Action, ...]:
        """Make sure that a key never runs, if it has not begun to.

        :param message: the key, and the bound of its dispatch.
        :param now: seconds.
        :return: the state of the key last, after refusals of the requests that wait for it.
        """
        reply = self.status(message, now)
        match reply.state:
            case State.absent:
                recorded = self.records.void(message.key, now)
                state = State.void if recorded else State.forgotten
                return (StateReply(message.key, state),)
            case State.queued if message.key not in self.records.aliases:
                failure = Failure(Code.request_voided, HasRun.no)
                if message.takeover:
                    failure = Failure(Code.claimed_elsewhere, HasRun.unknown)
                refusals = self.void_record(self.records.by_key[message.key], failure, now)
                return (*refusals, StateReply(message.key, State.void))
            case _:
                return (reply,)

    def void_record(self, record: Record, failure: Failure, now: float) -> tuple[Action, ...]:
        """Make a queued key void and refuse the requests that wait for it.

        :param record: its record.
        :param failure: what the requests are told.
        :param now: seconds.
        :return: a refusal for each request.
        """
        self.records.void(record.key, now)
        return tuple(Refused(waiter, failure.code, failure.ran) for waiter in drain(record))

    def status(self, message: Status | Void, now: float) -> StateReply:
        """Return the state of a request, with its outcome if it is done.

        :param message: its key and body, and the bound of its dispatch.
        :param now: seconds.
        :return: the state.
        """
        if message.incarnation != self.incarnation:
            return StateReply(message.key, State.forgotten)
        record = self.records.find(message.key)
        if record is None:
            forgotten = self.is_forgotten(message.not_after, now)
            return StateReply(message.key, State.forgotten if forgotten else State.absent)
        if record.state != State.void and record.body_digest != message.body_digest:
            return StateReply(message.key, State.reused)
        return StateReply(message.key, record.state, record.outcome)

    def is_forgotten(self, not_after: float, now: float) -> bool:
        """Whether an unknown key may have been done and swept.

        :param not_after: the bound of its dispatch.
        :param now: seconds.
        :return: whether an outcome that old may have been removed.
        """
        return now > not_after + self.limits.settle_s


def drain(record: Record) -> list[str]:
    """Take the requests that wait off a record.

    :param record: the record.
    :return: the request identifiers.
    """
    waiters = record.waiters
    record.waiters = []
    return waiters


__all__ = ('Ledger',)
