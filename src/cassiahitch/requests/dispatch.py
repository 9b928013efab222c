"""Dispatch of requests to replicas, with retries."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import RequestError
from cassiahitch.ledger.api import Answer, Failure
from cassiahitch.ledger.rows import row_key
from cassiahitch.limits import retries
from cassiahitch.metrics.names import CounterName
from cassiahitch.requests.api import Response
from cassiahitch.requests.attempts import Attempt, AttemptResult, Target
from cassiahitch.routing.api import Choice, NoReplica, Outcome, RouteQuery
from cassiahitch.timeline.events import EventKind
from cassiahitch.wire.answers import WEIGHTS_KEY

if TYPE_CHECKING:
    from cassiahitch.entry.agent_registry import AgentRegistry
    from cassiahitch.ledger.tickets import Ticket, TicketIssuer
    from cassiahitch.requests.api import Proceed, Request
    from cassiahitch.requests.attempts import Reconnector
    from cassiahitch.requests.poison import Permit, PoisonGate
    from cassiahitch.routing.router import Router
    from cassiahitch.wire.node import Node

#: Leading bytes of a request's body that are matched against cached prefixes.
PREFIX_BYTES = 256
#: Failures that are not retried, because other replicas would return them too.
FINAL_CODES = frozenset(
    (
        Code.key_reused,
        Code.key_expired,
        Code.claim_store_down,
        Code.claim_unclear,
        Code.request_in_progress,
        Code.deadline_exceeded,
    ),
)
#: Failures that occur before the request is sent.
UNSENT_CODES = frozenset((Code.host_unknown, Code.connection_closed))


@dataclass(slots=True)
class SendState:
    """Attempts of a request so far: their number, their hosts, and whether one has run."""

    count: int = 0
    ran: HasRun = HasRun.no
    tried_hosts: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class DispatchFilter:
    """Innermost filter: sends requests to replicas."""

    node: Node
    agent_registry: AgentRegistry
    router: Router
    reconnector: Reconnector
    tickets: TicketIssuer
    budget: retries.RetryBudget
    gate: PoisonGate

    async def handle(self, request: Request, _proceed: Proceed) -> Response:
        """Send a request, with retries, until it succeeds or is given up.

        :param request: the request.
        :return: the response.
        :raises RequestError: the failure of the last attempt.
        """
        if request.ticket:
            return await self._run_ticket(request)
        state = SendState()
        while True:
            permit = await self.gate.admit(request, state.count, state.ran)
            choice = self._choose(request, state, permit)
            target = self._target(request, choice, state, alone=bool(permit.host))
            result = await self._send(request, target, state)
            match result.outcome:
                case Answer() as answer:
                    self.budget.record_success()
                    return _response(answer, replayed=result.replayed)
                case Failure() as failure:
                    state.ran = _merge_ran(state.ran, failure.ran)
                    self._check_retry(request, failure, state)

    def _choose(self, request: Request, state: SendState, permit: Permit) -> Choice:
        prefix = request.body[:PREFIX_BYTES].decode(errors='replace')
        query = RouteQuery(
            request.service,
            prefix,
            frozenset(state.tried_hosts) | permit.avoided,
            only_host=permit.host,
        )
        match self.router.choose(query, self.node.clock.monotonic()):
            case NoReplica(retry_after_s=retry_after_s):
                detail = f'no replica of service {request.service} is available'
                raise RequestError(Code.no_replica, detail, state.ran, retry_after_s)
            case Choice() as choice:
                self.node.timeline.record(
                    EventKind.replica_chosen,
                    request_id=request.id,
                    detail=choice.host,
                )
                return choice

    def _target(
        self,
        request: Request,
        choice: Choice,
        state: SendState,
        *,
        alone: bool,
    ) -> Target:
        key = (request.identifier + bytes([state.count])).hex()
        claim = ''
        if request.idempotency_key and not request.idempotent:
            claim = row_key(request.organisation, request.service, request.idempotency_key)
        return Target(choice.host, choice.incarnation, key, claim, alone)

    async def _send(self, request: Request, target: Target, state: SendState) -> AttemptResult:
        attempt = Attempt(self.node, self.agent_registry, self.reconnector, request, state.count)
        state.count += 1
        state.tried_hosts.add(target.host)
        attempt_id = attempt.request_id.hex()
        self.router.record_dispatch(target.host)
        self.gate.record_dispatch(attempt_id, request, target.host, alone=target.alone)
        self.node.metrics.count(CounterName.requests_dispatched)
        started = self.node.clock.monotonic()
        try:
            result = await attempt.run(target)
        except asyncio.CancelledError:
            self.gate.record_cancellation(attempt_id)
            self._record_outcome(target.host, Outcome.cancelled, started)
            raise
        self.gate.record_end(attempt_id, result)
        self._record_outcome(target.host, _routing_outcome(result), started)
        return result

    def _record_outcome(self, host: str, outcome: Outcome, started: float) -> None:
        now = self.node.clock.monotonic()
        self.router.record_outcome(host, outcome, now - started, now)

    async def _run_ticket(self, request: Request) -> Response:
        wall = self.node.clock.wall()
        ticket = self.tickets.verify(request.ticket, wall)
        target = Target(ticket.agent, ticket.agent_incarnation, request.ticket)
        self._check_owner(ticket, request.service)
        result = await self._send(request, target, SendState())
        match result.outcome:
            case Answer() as answer:
                return _response(answer, replayed=result.replayed)
            case Failure(code=code, ran=HasRun.no) if code not in UNSENT_CODES:
                detail = f'{code.name}; the request of this ticket can no longer run'
                raise RequestError(Code.ticket_voided, detail, HasRun.no, retries.RETRY_AFTER_S)
            case Failure(code=code):
                # Another entry may have sent the same ticket, so the outcome is unknown here.
                raise RequestError(code, f'attempt at {ticket.agent} failed', HasRun.unknown)

    def _check_owner(self, ticket: Ticket, service: str) -> None:
        agent = self.agent_registry.agents.get(ticket.agent)
        if agent is None or agent.heartbeat.incarnation != ticket.agent_incarnation:
            detail = f'agent {ticket.agent} is not connected in the incarnation of the ticket'
            raise RequestError(Code.ticket_owner_gone, detail, HasRun.unknown)
        if self.agent_registry.service_name(agent.heartbeat) != service:
            detail = f'the ticket was not issued for service {service}'
            raise RequestError(Code.ticket_invalid, detail, HasRun.no)

    def _check_retry(self, request: Request, failure: Failure, state: SendState) -> None:
        if failure.code in FINAL_CODES or request.streamed_bytes:
            raise _error(failure, retry_after_s=retries.RETRY_AFTER_S)
        attempt = retries.FailedAttempt(
            state.count,
            failure.ran,
            request.idempotent,
            request.deadline,
        )
        match self.budget.decide(attempt, self.node.clock.monotonic()):
            case retries.GiveUp(retry_after_s=retry_after_s):
                raise _error(failure, retry_after_s)
            case retries.Retry():
                self.node.metrics.count(CounterName.requests_retried)
                self.node.timeline.record(
                    EventKind.request_retried,
                    request_id=request.id,
                    code=failure.code,
                )


def _merge_ran(previous: HasRun, latest: HasRun) -> HasRun:
    return previous if latest is HasRun.no else latest


def _error(failure: Failure, retry_after_s: float) -> RequestError:
    detail = 'the last attempt of the request failed'
    return RequestError(failure.code, detail, failure.ran, retry_after_s)


def _response(answer: Answer, *, replayed: bool) -> Response:
    weights = dict(answer.metadata).get(WEIGHTS_KEY, '')
    return Response(answer.content, answer.digest, weights, replayed)


def _routing_outcome(result: AttemptResult) -> Outcome:
    match result.outcome:
        case Answer():
            return Outcome.success
        case _ if result.crashed:
            return Outcome.crashed
        case Failure(code=Code.deadline_exceeded):
            return Outcome.timed_out
        case Failure(ran=HasRun.no):
            return Outcome.refused
        case _:
            return Outcome.failed


__all__ = ('DispatchFilter',)
