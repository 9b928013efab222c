"""An attempt of a request at an agent, and recovery of its outcome after a lost connection."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack, aclosing, suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import WireError
from cassiahitch.ledger.api import Answer, Failure
from cassiahitch.timeline.events import EventKind
from cassiahitch.wire import messages
from cassiahitch.wire.answers import decode_outcome, final_outcome
from cassiahitch.wire.node import MS_PER_S

if TYPE_CHECKING:
    from cassiahitch.entry.agent_registry import AgentRegistry
    from cassiahitch.ledger.api import Outcome
    from cassiahitch.requests.api import Request
    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.node import Node

#: Seconds after a request's deadline in which its outcome can still be queried.
RESOLVE_GRACE_S = 0.25
#: Seconds between queries for the outcome of a request that is still running.
RESOLVE_POLL_INTERVAL_S = 0.05
#: Minimum time in seconds for querying the outcome after a lost connection.
MIN_RESOLVE_TIMEOUT_S = 1.0


class Reconnector(Protocol):
    """Opens new connections to agents."""

    async def reconnect(self, host: str, incarnation: int) -> Connection:
        """Return a new connection to an agent in an incarnation.

        :raises WireError: if the agent cannot be reached in this incarnation.
        """


@dataclass(frozen=True, slots=True)
class Target:
    """Destination of an attempt, and its keys in the agent's ledger.

    ``claim_key`` is empty for a request without idempotency key. With ``alone``, the agent runs the
    request only while nothing else runs.
    """

    host: str
    incarnation: int
    ledger_key: str
    claim_key: str = ''
    alone: bool = False


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of an attempt.

    ``crashed`` is true if the backend server crashed during the attempt; ``crashes`` is then its
    total number of crashes. ``is_unresponsive`` is true if the agent stopped responding.
    """

    outcome: Outcome
    crashed: bool = False
    replayed: bool = False
    is_unresponsive: bool = False
    crashes: int = 0


class Attempt:
    """Sends a request to an agent once."""

    def __init__(
        self,
        node: Node,
        agent_registry: AgentRegistry,
        reconnector: Reconnector,
        request: Request,
        number: int,
    ) -> None:
        """Create an attempt.

        :param node: this process.
        :param agent_registry: the connected agents.
        :param reconnector: opens new connections to query the outcome after a lost connection.
        :param request: the request.
        :param number: number of the attempt, from 0.
        """
        self.node = node
        self.agent_registry = agent_registry
        self.reconnector = reconnector
        self.request = request
        self.request_id = request.identifier + bytes([number])
        self.streamed = bytearray()

    async def run(self, target: Target) -> AttemptResult:
        """Dispatch the request, wait for the answer and recover an unclear outcome.

        :param target: the destination.
        :return: the result.
        """
        agent = self.agent_registry.agents.get(target.host)
        if agent is None or agent.heartbeat.incarnation != target.incarnation:
            return AttemptResult(Failure(Code.host_unknown, HasRun.no))
        if agent.connection.close_reason is not None:
            return AttemptResult(Failure(Code.connection_closed, HasRun.no))
        dispatch = self._dispatch(target, agent.clock_offset_s)
        self._record(EventKind.request_dispatched, target.host)
        remaining_s = self.request.deadline - self.node.clock.monotonic()
        try:
            async with asyncio.timeout(max(0, remaining_s)):
                return await self._exchange(agent.connection, dispatch)
        except WireError as error:
            return await self._resolve_outcome(target, dispatch, error.code)
        except TimeoutError:
            return await self._cancel_at_deadline(agent.connection, target, dispatch)
        except asyncio.CancelledError:
            self._cancel_in_background(agent.connection, target, dispatch)
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
                    return self._accept_answer(reply)
                self._accept_part(reply)
        raise WireError(Code.connection_closed, 'replies ended without an answer')

    def _accept_part(self, part: messages.Message) -> None:
        if not isinstance(part, messages.AnswerPart):
            raise WireError(Code.message_unknown, 'reply is neither an answer nor a part of one')
        if part.request_id != self.request_id:
            raise WireError(Code.answer_corrupt, 'answer part belongs to another request')
        self.streamed += part.body
        self.request.streamed_bytes += len(part.body)
        self.request.on_part(part.body)

    def _accept_answer(self, answer: messages.Answer) -> AttemptResult:
        if answer.request_id != self.request_id or answer.body_digest != self.request.body_digest:
            raise WireError(Code.answer_corrupt, 'answer belongs to another request')
        complete = answer
        if self.streamed and not answer.body and answer.code == Code.ok:
            complete = messages.Answer(
                code=answer.code,
                ran=answer.ran,
                body=bytes(self.streamed),
                length=answer.length,
                checksum=answer.checksum,
                weights_digest=answer.weights_digest,
            )
        crashes = answer.backend_crashes if answer.backend_crashed else 0
        return AttemptResult(
            decode_outcome(complete),
            answer.backend_crashed,
            answer.replayed,
            crashes=crashes,
        )

    async def _cancel_at_deadline(
        self,
        connection: Connection,
        target: Target,
        dispatch: messages.Dispatch,
    ) -> AttemptResult:
        """Cancel an attempt at the deadline, and query whether it has run or can still run."""
        with suppress(WireError):
            await connection.send(messages.Cancel(self.request_id))
        void = self._void(target, dispatch)
        try:
            async with asyncio.timeout(RESOLVE_GRACE_S):
                state = await connection.call(void)
        except (TimeoutError, WireError):
            return AttemptResult(Failure(Code.deadline_exceeded, HasRun.unknown))
        return AttemptResult(_outcome_at_deadline(state))

    def _cancel_in_background(
        self,
        connection: Connection,
        target: Target,
        dispatch: messages.Dispatch,
    ) -> None:
        """Cancel the attempt of a caller that disconnected, without waiting for the agent."""
        task = asyncio.create_task(self._cancel(connection, target, dispatch))
        self.node.background.add(task)
        task.add_done_callback(self.node.background.discard)

    async def _cancel(
        self,
        connection: Connection,
        target: Target,
        dispatch: messages.Dispatch,
    ) -> None:
        with suppress(WireError):
            await connection.call(self._void(target, dispatch))
            # A non-idempotent request continues, so that its caller can still fetch the answer.
            if self.request.idempotent:
                await connection.send(messages.Cancel(self.request_id))

    async def _resolve_outcome(
        self,
        target: Target,
        dispatch: messages.Dispatch,
        code: Code,
    ) -> AttemptResult:
        """Query the outcome on a new connection before responding to the caller."""
        is_unresponsive = code is Code.connection_silent
        if self.request.idempotent:
            return AttemptResult(Failure(code, HasRun.unknown), is_unresponsive=is_unresponsive)
        now = self.node.clock.monotonic()
        limit_s = max(MIN_RESOLVE_TIMEOUT_S, self.request.deadline - now)
        try:
            async with asyncio.timeout(limit_s):
                outcome = await self._query_until_final(target, dispatch)
        except (TimeoutError, WireError):
            outcome = Failure(code, HasRun.unknown)
        self._record(EventKind.request_settled, target.host)
        return AttemptResult(outcome, is_unresponsive=is_unresponsive)

    async def _query_until_final(self, target: Target, dispatch: messages.Dispatch) -> Outcome:
        connection = await self.reconnector.reconnect(target.host, target.incarnation)
        with ExitStack() as stack:
            stack.callback(connection.close, WireError(Code.connection_closed, 'query done'))
            return await self._poll_state(connection, self._void(target, dispatch))

    async def _poll_state(self, connection: Connection, void: messages.Void) -> Outcome:
        while True:
            state = await connection.call(void)
            if not isinstance(state, messages.LedgerState):
                raise WireError(Code.message_unknown, 'reply is not a ledger state')
            outcome = final_outcome(state)
            if outcome is not None:
                return outcome
            if state.state not in RUNNING_STATES:
                raise WireError(Code.outcome_unknown, f'ledger key has state {state.state}')
            await asyncio.sleep(RESOLVE_POLL_INTERVAL_S)

    def _void(self, target: Target, dispatch: messages.Dispatch) -> messages.Void:
        """Return the query for the ledger state, which voids the key if it has not run yet."""
        return messages.Void(
            target.ledger_key,
            target.incarnation,
            dispatch.not_after_ms,
            body_digest=dispatch.body_digest,
        )

    def _record(self, kind: EventKind, host: str) -> None:
        self.node.timeline.record(kind, request_id=self.request.id, detail=host)


#: Names of the priorities in the order of their numbers on the wire.
PRIORITIES = ('desk', 'lookup', 'draft')
#: Ledger states of a request whose outcome is still open.
RUNNING_STATES = frozenset(('queued', 'running'))


def _outcome_at_deadline(state: messages.Message) -> Outcome:
    """Return the outcome by the ledger state after the deadline; an answer in time still counts."""
    exceeded = Failure(Code.deadline_exceeded, HasRun.unknown)
    if not isinstance(state, messages.LedgerState):
        return exceeded
    match final_outcome(state):
        case Answer() as answer:
            return answer
        case Failure(ran=ran):
            return Failure(Code.deadline_exceeded, ran)
        case _:
            return exceeded


__all__ = (
    'Attempt',
    'AttemptResult',
    'Reconnector',
    'Target',
)
