"""One attempt of a request at one agent, and its settlement after a lost connection."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack, aclosing, suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from cassiahitch.codes import Code, Ran
from cassiahitch.errors import WireError
from cassiahitch.ledger.api import Answer, Failure
from cassiahitch.timeline.events import EventKind
from cassiahitch.wire import messages
from cassiahitch.wire.answers import outcome_of, settled_outcome
from cassiahitch.wire.node import MS_PER_S

if TYPE_CHECKING:
    from cassiahitch.entry.directory import Directory
    from cassiahitch.ledger.api import Outcome
    from cassiahitch.requests.api import Request
    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.node import Node

#: Time beyond a request's deadline in which it may still be settled, in seconds.
SETTLE_GRACE_S = 0.25
#: Time between questions about a request that still runs, in seconds.
SETTLE_POLL_S = 0.05
#: Shortest time for which a settlement tries, in seconds.
SETTLE_LEAST_S = 1.0


class Reconnector(Protocol):
    """Opens new connections to agents."""

    async def reconnect(self, host: str, incarnation: int) -> Connection:
        """Return a new connection to an agent in an incarnation; raises ``WireError``."""


@dataclass(frozen=True, slots=True)
class Target:
    """Where an attempt goes and under which key of the ledger."""

    host: str
    incarnation: int
    ledger_key: str
    claim_key: str = ''
    alone: bool = False


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended; ``crashed`` tells that the backend server went down meanwhile.

    ``crashes`` counts its crashes, that one included.
    """

    outcome: Outcome
    crashed: bool = False
    replayed: bool = False
    silent: bool = False
    crashes: int = 0


class Attempt:
    """Sends a request to an agent once."""

    def __init__(
        self,
        node: Node,
        directory: Directory,
        reconnector: Reconnector,
        request: Request,
        number: int,
    ) -> None:
        """Create an attempt.

        :param node: this process.
        :param directory: the agents.
        :param reconnector: opens new connections for settlements.
        :param request: the request.
        :param number: counts the attempts of the request.
        """
        self.node = node
        self.directory = directory
        self.reconnector = reconnector
        self.request = request
        self.request_id = request.identifier + bytes([number])
        self.streamed = bytearray()

    async def run(self, target: Target) -> AttemptResult:
        """Dispatch, wait for the answer and settle what is unclear.

        :param target: where to.
        :return: how it ended.
        """
        agent = self.directory.agents.get(target.host)
        if agent is None or agent.heartbeat.incarnation != target.incarnation:
            return AttemptResult(Failure(Code.host_unknown, Ran.no))
        if agent.connection.closed is not None:
            return AttemptResult(Failure(Code.connection_closed, Ran.no))
        dispatch = self._dispatch(target, agent.clock_offset_s)
        self._record(EventKind.request_dispatched, target.host)
        remaining_s = self.request.deadline - self.node.clock.monotonic()
        try:
            async with asyncio.timeout(max(0, remaining_s)):
                return await self._exchange(agent.connection, dispatch)
        except WireError as error:
            return await self._settle(target, dispatch, error.code)
        except TimeoutError:
            return await self._give_up(agent.connection, target, dispatch)
        except asyncio.CancelledError:
            self._abandon(agent.connection, target, dispatch)
            raise

    def _dispatch(self, target: Target, clock_offset_s: float) -> messages.Dispatch:
        request = self.request
        deadline_ms = int((request.deadline + clock_offset_s) * MS_PER_S)
        return messages.Dispatch(
            request_id=self.request_id,
            ledger_key=target.ledger_key,
            incarnation=target.incarnation,
            not_after_ms=deadline_ms,
            organisation=request.organisation,
            service_name=request.service,
            body_digest=request.body_digest,
            body=request.body,
            priority=PRIORITIES.index(request.priority.value),
            stream=request.stream,
            claim_key=target.claim_key,
            idempotent=request.idempotent,
            deadline_ms=deadline_ms,
            alone=target.alone,
        )

    async def _exchange(
        self,
        connection: Connection,
        dispatch: messages.Dispatch,
    ) -> AttemptResult:
        async with aclosing(connection.stream_call(dispatch)) as replies:
            async for reply in replies:
                if isinstance(reply, messages.Answer):
                    return self._take_answer(reply)
                self._take_part(reply)
        raise WireError(Code.connection_closed, 'no answer')

    def _take_part(self, part: messages.Message) -> None:
        if not isinstance(part, messages.AnswerPart):
            raise WireError(Code.message_unknown, 'an answer was expected')
        if part.request_id != self.request_id:
            raise WireError(Code.answer_corrupt, 'a part of another answer')
        self.streamed += part.body
        self.request.streamed_bytes += len(part.body)
        self.request.on_part(part.body)

    def _take_answer(self, answer: messages.Answer) -> AttemptResult:
        if answer.request_id != self.request_id or answer.body_digest != self.request.body_digest:
            raise WireError(Code.answer_corrupt, 'an answer to another request')
        whole = answer
        if self.streamed and not answer.body and answer.code == Code.ok:
            whole = messages.Answer(
                code=answer.code,
                ran=answer.ran,
                body=bytes(self.streamed),
                length=answer.length,
                checksum=answer.checksum,
                weights_digest=answer.weights_digest,
            )
        crashes = answer.backend_crashes if answer.backend_crashed else 0
        return AttemptResult(
            outcome_of(whole),
            answer.backend_crashed,
            answer.replayed,
            crashes=crashes,
        )

    async def _give_up(
        self,
        connection: Connection,
        target: Target,
        dispatch: messages.Dispatch,
    ) -> AttemptResult:
        with suppress(WireError):
            await connection.send(messages.Cancel(self.request_id))
        void = self._void(target, dispatch)
        try:
            async with asyncio.timeout(SETTLE_GRACE_S):
                state = await connection.call(void)
        except (TimeoutError, WireError):
            return AttemptResult(Failure(Code.deadline_exceeded, Ran.unknown))
        return AttemptResult(_late_outcome(state))

    def _abandon(
        self,
        connection: Connection,
        target: Target,
        dispatch: messages.Dispatch,
    ) -> None:
        """Stop what runs for a caller that has left, without waiting for it."""
        task = asyncio.create_task(self._withdraw(connection, target, dispatch))
        self.node.background.add(task)
        task.add_done_callback(self.node.background.discard)

    async def _withdraw(
        self,
        connection: Connection,
        target: Target,
        dispatch: messages.Dispatch,
    ) -> None:
        with suppress(WireError):
            await connection.call(self._void(target, dispatch))
            # What must not run twice goes on, so that its caller can ask for its answer again.
            if self.request.idempotent:
                await connection.send(messages.Cancel(self.request_id))

    async def _settle(
        self,
        target: Target,
        dispatch: messages.Dispatch,
        code: Code,
    ) -> AttemptResult:
        """Ask on a new connection what became of a request before its caller is told."""
        silent = code is Code.connection_silent
        if self.request.idempotent:
            return AttemptResult(Failure(code, Ran.unknown), silent=silent)
        now = self.node.clock.monotonic()
        limit_s = max(SETTLE_LEAST_S, self.request.deadline - now)
        try:
            async with asyncio.timeout(limit_s):
                outcome = await self._ask_until_settled(target, dispatch)
        except (TimeoutError, WireError):
            outcome = Failure(code, Ran.unknown)
        self._record(EventKind.request_settled, target.host)
        return AttemptResult(outcome, silent=silent)

    async def _ask_until_settled(self, target: Target, dispatch: messages.Dispatch) -> Outcome:
        connection = await self.reconnector.reconnect(target.host, target.incarnation)
        with ExitStack() as stack:
            stack.callback(connection.close, WireError(Code.connection_closed, 'settled'))
            return await self._poll_state(connection, self._void(target, dispatch))

    async def _poll_state(self, connection: Connection, void: messages.Void) -> Outcome:
        while True:
            state = await connection.call(void)
            if not isinstance(state, messages.LedgerState):
                raise WireError(Code.message_unknown, 'a state was expected')
            outcome = settled_outcome(state)
            if outcome is not None:
                return outcome
            if state.state not in RUNNING_STATES:
                raise WireError(Code.outcome_unknown, f'the key is {state.state}')
            await asyncio.sleep(SETTLE_POLL_S)

    def _void(self, target: Target, dispatch: messages.Dispatch) -> messages.Void:
        return messages.Void(
            target.ledger_key,
            target.incarnation,
            dispatch.not_after_ms,
            body_digest=dispatch.body_digest,
        )

    def _record(self, kind: EventKind, host: str) -> None:
        self.node.timeline.record(kind, request_id=self.request.id, detail=host)


PRIORITIES = ('desk', 'lookup', 'draft')
RUNNING_STATES = frozenset(('queued', 'running'))


def _late_outcome(state: messages.Message) -> Outcome:
    late = Failure(Code.deadline_exceeded, Ran.unknown)
    if not isinstance(state, messages.LedgerState):
        return late
    match settled_outcome(state):
        case Answer() as answer:
            return answer
        case Failure(ran=ran):
            return Failure(Code.deadline_exceeded, ran)
        case _:
            return late


__all__ = (
    'Attempt',
    'AttemptResult',
    'Reconnector',
    'Target',
)
