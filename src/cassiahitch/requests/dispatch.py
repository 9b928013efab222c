"""Chooses replicas for a request and sends it until it is answered or given up."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, Ran
from cassiahitch.errors import RequestError
from cassiahitch.ledger.api import Answer, Failure
from cassiahitch.ledger.rows import row_key
from cassiahitch.limits import retries
from cassiahitch.metrics.names import CounterName
from cassiahitch.requests.api import Response
from cassiahitch.requests.attempts import Attempt, AttemptResult, Target
from cassiahitch.routing.api import Choice, NoReplica, Outcome, RouteQuery
from cassiahitch.timeline.events import EventKind
from cassiahitch.wire.answers import WEIGHTS

if TYPE_CHECKING:
    from cassiahitch.entry.directory import Directory
    from cassiahitch.ledger.tickets import Ticket, TicketOffice
    from cassiahitch.requests.api import Proceed, Request
    from cassiahitch.requests.attempts import Reconnector
    from cassiahitch.requests.poison import Permit, PoisonGate
    from cassiahitch.routing.router import Router
    from cassiahitch.wire.node import Node

#: Bytes of a request's body that identify its cached prefix.
PREFIX_CHARACTERS = 256
#: Failures that another replica would answer in the same way.
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
#: Failures before anything was sent.
UNSENT_CODES = frozenset((Code.host_unknown, Code.connection_closed))


@dataclass(slots=True)
class Sends:
    """What was sent for a request so far, and whether it has run."""

    count: int = 0
    ran: Ran = Ran.no
    tried: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class DispatchFilter:
    """The innermost filter."""

    node: Node
    directory: Directory
    router: Router
    reconnector: Reconnector
    tickets: TicketOffice
    budget: retries.RetryBudget
    gate: PoisonGate

    async def handle(self, request: Request, _proceed: Proceed) -> Response:
        """Send a request until it is answered or given up.

        :param request: the request.
        :return: the answer.
        :raises RequestError: whatever ended the last attempt.
        """
        if request.ticket:
            return await self._run_ticket(request)
        sends = Sends()
        while True:
            permit = await self.gate.admit(request, sends.count, sends.ran)
            choice = self._choose(request, sends, permit)
            target = self._target(request, choice, sends, alone=bool(permit.host))
            ended = await self._send(request, target, sends)
            match ended.outcome:
                case Answer() as answer:
                    self.budget.record_success()
                    return _answered(answer, replayed=ended.replayed)
                case Failure() as failure:
                    sends.ran = _later(sends.ran, failure.ran)
                    self._check_retry(request, failure, sends)

    def _choose(self, request: Request, sends: Sends, permit: Permit) -> Choice:
        prefix = request.body[:PREFIX_CHARACTERS].decode(errors='replace')
        query = RouteQuery(
            request.service,
            prefix,
            frozenset(sends.tried) | permit.avoided,
            only_host=permit.host,
        )
        match self.router.choose(query, self.node.clock.monotonic()):
            case NoReplica(retry_after_s=retry_after_s):
                detail = f'no replica serves {request.service}'
                raise RequestError(Code.no_replica, detail, sends.ran, retry_after_s)
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
        sends: Sends,
        *,
        alone: bool,
    ) -> Target:
        key = (request.identifier + bytes([sends.count])).hex()
        claim = ''
        if request.idempotency_key and not request.idempotent:
            claim = row_key(request.organisation, request.service, request.idempotency_key)
        return Target(choice.host, choice.incarnation, key, claim, alone)

    async def _send(self, request: Request, target: Target, sends: Sends) -> AttemptResult:
        attempt = Attempt(self.node, self.directory, self.reconnector, request, sends.count)
        sends.count += 1
        sends.tried.add(target.host)
        attempt_id = attempt.request_id.hex()
        self.router.record_dispatch(target.host)
        self.gate.record_dispatch(attempt_id, request, target.host, alone=target.alone)
        self.node.metrics.count(CounterName.requests_dispatched)
        started = self.node.clock.monotonic()
        try:
            ended = await attempt.run(target)
        except asyncio.CancelledError:
            self.gate.cancelled(attempt_id)
            self._finished(target.host, Outcome.cancelled, started)
            raise
        self.gate.ended(attempt_id, ended)
        self._finished(target.host, _routing_outcome(ended), started)
        return ended

    def _finished(self, host: str, outcome: Outcome, started: float) -> None:
        now = self.node.clock.monotonic()
        self.router.record_outcome(host, outcome, now - started, now)

    async def _run_ticket(self, request: Request) -> Response:
        wall = self.node.clock.wall()
        ticket = self.tickets.verify(request.ticket, wall)
        target = Target(ticket.agent, ticket.agent_incarnation, request.ticket)
        self._check_owner(ticket, request.service)
        ended = await self._send(request, target, Sends())
        match ended.outcome:
            case Answer() as answer:
                return _answered(answer, replayed=ended.replayed)
            case Failure(code=code, ran=Ran.no) if code not in UNSENT_CODES:
                detail = f'{code.name}; the ticket runs nowhere any more'
                raise RequestError(Code.ticket_voided, detail, Ran.no, retries.RETRY_AFTER_S)
            case Failure(code=code):
                # Another entry may have sent the same ticket, so its fate is not known here.
                raise RequestError(code, f'at {ticket.agent}', Ran.unknown)

    def _check_owner(self, ticket: Ticket, service: str) -> None:
        agent = self.directory.agents.get(ticket.agent)
        if agent is None or agent.heartbeat.incarnation != ticket.agent_incarnation:
            detail = f'{ticket.agent} is not connected in that incarnation'
            raise RequestError(Code.ticket_owner_gone, detail, Ran.unknown)
        if self.directory.service_of(agent.heartbeat) != service:
            detail = f'the ticket is not for {service}'
            raise RequestError(Code.ticket_invalid, detail, Ran.no)

    def _check_retry(self, request: Request, failure: Failure, sends: Sends) -> None:
        if failure.code in FINAL_CODES or request.streamed_bytes:
            raise _error(failure, retry_after_s=retries.RETRY_AFTER_S)
        attempt = retries.FailedAttempt(
            sends.count,
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


def _later(known: Ran, latest: Ran) -> Ran:
    return known if latest is Ran.no else latest


def _error(failure: Failure, retry_after_s: float) -> RequestError:
    detail = 'the request was not answered'
    return RequestError(failure.code, detail, failure.ran, retry_after_s)


def _answered(answer: Answer, *, replayed: bool) -> Response:
    weights = dict(answer.metadata).get(WEIGHTS, '')
    return Response(answer.content, answer.digest, weights, replayed)


def _routing_outcome(ended: AttemptResult) -> Outcome:
    match ended.outcome:
        case Answer():
            return Outcome.success
        case _ if ended.crashed:
            return Outcome.crashed
        case Failure(code=Code.deadline_exceeded):
            return Outcome.timed_out
        case Failure(ran=Ran.no):
            return Outcome.refused
        case _:
            return Outcome.failed


__all__ = ('DispatchFilter',)
