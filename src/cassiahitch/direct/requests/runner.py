"""Runs requests: checks, placement, sends, and the final answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.direct.backends.attempt import (
    Answered,
    AttemptSender,
    CallerDisconnected,
    Delivered,
    Lost,
    NotRun,
    NotSent,
    Outcome,
    ProgressTimeouts,
    StreamState,
    Withheld,
)
from cassiahitch.direct.backends.responserelay import is_forwardable
from cassiahitch.direct.callers.errorresponder import ErrorResponder
from cassiahitch.direct.callers.progress import Phase
from cassiahitch.direct.placement.candidates import CandidateFilter
from cassiahitch.direct.placement.placement import Assignment, NoCapacity, PlacementRequest
from cassiahitch.direct.placement.search import PlacementSearch
from cassiahitch.direct.requests.callertimeouts import CallerTimeouts
from cassiahitch.direct.requests.failover import Failover
from cassiahitch.errors import RequestError
from cassiahitch.routing.api import Outcome as HealthOutcome

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call, RequestCodec, ResponseHead
    from cassiahitch.direct.callers.exchange import CallerExchange
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.placement.crashdetector import CrashDetector
    from cassiahitch.direct.requests.budget import RetryBudget
    from cassiahitch.direct.requests.filters import RequestFilters
    from cassiahitch.direct.telemetry import Telemetry

#: Part of the objective for which a request that finds no place waits for one.
QUEUE_WAIT_FRACTION = 0.12
#: Seconds between two looks for a place.
PLACEMENT_RETRY_INTERVAL_S = 0.02
#: Seconds after which a caller may come back when no backend server could answer.
RETRY_AFTER_S = 0.6
#: Times that a request is placed at most, with those at which nothing was sent.
MAX_PLACEMENTS = 4
#: Seconds of silence after which an idempotent request or a stream goes elsewhere.
RESPONSE_SILENCE_S = 0.4
FIRST_EVENT_SILENCE_S = 1.3
NEXT_EVENT_SILENCE_S = 1.1


@dataclass(slots=True)
class Runner:
    """Runs the requests of one entry."""

    entry_state: EntryState
    codec: RequestCodec
    filters: RequestFilters
    candidates: CandidateFilter
    placement_search: PlacementSearch
    attempts: AttemptSender
    budget: RetryBudget
    crash_detector: CrashDetector
    telemetry: Telemetry
    caller_timeouts: CallerTimeouts = field(default_factory=CallerTimeouts)
    failover: Failover = field(init=False)
    error_responder: ErrorResponder = field(init=False)

    def __post_init__(self) -> None:
        """Create what is made of the other parts."""
        self.error_responder = ErrorResponder(self.codec, self.telemetry)
        self.failover = Failover(
            entry_state=self.entry_state,
            filters=self.filters,
            placement_search=self.placement_search,
            budget=self.budget,
            crash_detector=self.crash_detector,
            telemetry=self.telemetry,
        )

    async def serve(self, caller: CallerExchange) -> None:
        """Answer one request.

        :param caller: the request and where its answer goes.
        """
        arrived = asyncio.get_running_loop().time()
        incoming = caller.incoming
        call: Call | None = None
        try:
            call = self.telemetry.request_received(
                self.codec.read_request(
                    incoming.method, incoming.target, incoming.headers, incoming.body
                ),
                arrived,
            )
            caller.progress.id = call.id
            if caller.refusal is not None:
                raise caller.refusal
            await self.run(call, caller)
        except RequestError as error:
            await self.error_responder.refuse(call, caller, error)
        except (CallerDisconnected, asyncio.CancelledError):
            if not await self.error_responder.respond_to_abandoned(call, caller):
                raise

    async def run(self, call: Call, caller: CallerExchange) -> None:
        """Check, place and send a request until it has its answer.

        :param call: the request.
        :param caller: where its answer goes.
        :raises RequestError: if it fails.
        """
        self.filters.check(call)
        caller.require_time_left(call.deadline)
        self.telemetry.record_offered_size(call)
        if call.request.caller_timeout_s is not None:
            self.caller_timeouts.record(call.require_route().name, call.request.caller_timeout_s)
        stream = StreamState(caller)
        try:
            async with asyncio.timeout_at(call.deadline) as timer:
                caller.timer = timer
                await self.send_until_answered(call, caller, stream)
        except TimeoutError:
            detail = 'no answer within the time of the route or the caller'
            ran = HasRun.unknown if call.attempt_count else HasRun.no
            raise RequestError(Code.deadline_exceeded, detail, ran) from None

    async def send_until_answered(
        self,
        call: Call,
        caller: CallerExchange,
        stream: StreamState,
    ) -> None:
        """Send a request, again if that is allowed, until it has an answer.

        :param call: the request.
        :param caller: where its answer goes.
        :param stream: what the caller has of a stream.
        :raises RequestError: if it may not be sent again.
        """
        for _ in range(MAX_PLACEMENTS):
            caller.require_connected()
            caller.progress.phase = Phase.place
            placed = stream.reserved or await self.place(call)
            stream.reserved = None
            began = asyncio.get_running_loop().time()
            caller.progress.record_attempt(placed.candidate.replica.id, began)
            limit = self.candidates.connection_limit(call)
            silence_limits = self.silence_limits(call)
            stream.on_first_event = partial(self.record_start_delay, placed, began)
            stream.reserve = partial(self.reserve_alternative, call, placed, stream)
            with self.crash_detector.track(call, placed.candidate.replica):
                outcome = await self.attempts.send(call, placed, stream, silence_limits, limit)
            self.telemetry.attempt_ended(call, placed, outcome, began, stream.first_event_at)
            if isinstance(outcome, Lost) and outcome.stalled:
                self.record_start_delay(placed, began, asyncio.get_running_loop().time())
            self.record_outcome(call, placed, outcome)
            if await self.deliver(call, caller, outcome):
                return
            self.require_retry_allowed(call, placed, outcome, stream)
            await self.prepare_retry(call, placed, outcome, stream)
        raise RequestError(
            Code.no_replica, 'no backend server could be reached', call.ran, RETRY_AFTER_S
        )

    async def place(self, call: Call) -> Assignment:
        """Choose where a request goes; waits a moment for a place.

        :param call: the request.
        :return: the place.
        :raises RequestError: ``no_replica`` or ``overloaded``.
        """
        clock = asyncio.get_running_loop().time
        until = call.arrived_at + call.require_route().objective_s * QUEUE_WAIT_FRACTION
        while True:
            placed = await self.placement_search.find(call, self.demand(call))
            if isinstance(placed, Assignment):
                return placed
            if clock() + placed.available_in_s >= until:
                raise self.no_capacity_error(call, placed)
            await asyncio.sleep(max(PLACEMENT_RETRY_INTERVAL_S, placed.available_in_s))

    async def reserve_alternative(
        self, call: Call, placed: Assignment, stream: StreamState
    ) -> bool:
        """Prepare to leave a silent backend server.

        :param call: the request.
        :param placed: where it is.
        :param stream: keeps the next place.
        :return: whether the request can go elsewhere.
        """
        return await self.failover.reserve_alternative(call, placed, stream, self.demand(call))

    def no_capacity_error(self, call: Call, placed: NoCapacity) -> RequestError:
        """Return the refusal of a request for which there is no place.

        :param call: the request.
        :param placed: what was found.
        :return: the error.
        """
        self.telemetry.no_capacity(call, placed)
        detail = 'no backend server can begin it in time'
        return RequestError(Code.overloaded, detail, call.ran, placed.retry_after_s)

    def demand(self, call: Call) -> PlacementRequest:
        """Return what is to be placed.

        A caller that comes back has less time left than callers of its route have at first.

        :param call: the request.
        :return: the demand.
        """
        route = call.require_route()
        usual_timeout_s = self.caller_timeouts.usual_timeout_s(route.name)
        caller_timeout_s = (
            usual_timeout_s
            if call.request.caller_timeout_s is None
            else call.request.caller_timeout_s
        )
        now = asyncio.get_running_loop().time()
        elapsed_s = now - call.arrived_at + max(0, usual_timeout_s - caller_timeout_s)
        generation = call.request.generation
        priority = route.priority
        if call.organisation is not None and call.organisation.priority is not None:
            priority = call.organisation.priority
        prompt_tokens = generation.prompt_tokens if generation else 0
        return PlacementRequest(
            route, elapsed_s, prompt_tokens, priority, remaining_s=call.deadline - now
        )

    def silence_limits(self, call: Call) -> ProgressTimeouts:
        """Return how long silence is borne before the request goes elsewhere.

        :param call: the request.
        :return: seconds; none where it cannot go elsewhere.
        """
        route = call.require_route()
        if call.attempt_count + 1 >= route.max_attempts or self.candidates.sendable_count(call) < 2:
            return ProgressTimeouts()
        if route.may_resume:
            return ProgressTimeouts(FIRST_EVENT_SILENCE_S, NEXT_EVENT_SILENCE_S)
        if route.repeatable:
            return ProgressTimeouts(max(RESPONSE_SILENCE_S, route.objective_s), None)
        return ProgressTimeouts()

    def record_outcome(self, call: Call, placed: Assignment, outcome: Outcome) -> None:
        """Take the end of a send in as evidence about the replica.

        :param call: the request.
        :param placed: where it was.
        :param outcome: how it ended.
        """
        replica = placed.candidate.replica
        now = asyncio.get_running_loop().time()
        ejection = self.candidates.ejection(replica)
        match outcome:
            case NotSent(refused=refused):
                seen = HealthOutcome.crashed if refused else HealthOutcome.timed_out
            case Lost(stalled=stalled):
                seen = HealthOutcome.timed_out if stalled else HealthOutcome.failed
                self.crash_detector.check(replica)
            case Answered(head=head) if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                seen = HealthOutcome.failed
            case NotRun() | Withheld():
                seen = HealthOutcome.refused
            case _:
                seen = HealthOutcome.success
                if call.fingerprint is not None:
                    self.entry_state.crashes.record_completion(call.fingerprint, now)
        ejection.record_outcome(replica.key, seen, now)

    def record_start_delay(self, placed: Assignment, began: float, now: float) -> None:
        """Learn from the time of the first event of a stream, or from its absence.

        :param placed: where the request was.
        :param began: when it was sent, in seconds.
        :param now: when the first event came, or the request was given up there.
        """
        if placed.rank is not None:
            load = self.candidates.placement.engine_load(placed.candidate.replica.key)
            load.record_first_event(placed.expected_s, now - began, now)

    async def deliver(self, call: Call, caller: CallerExchange, outcome: Outcome) -> bool:
        """Give the caller the answer, if there is one that is not better tried again.

        :param call: the request.
        :param caller: where the answer goes.
        :param outcome: how the send ended.
        :return: whether the caller has its answer.
        """
        match outcome:
            case Delivered():
                return True
            case Answered(head=head) if self.is_worth_retrying(call, head):
                call.failed_response = outcome
                return False
            case Answered(head=head, body=body) if is_forwardable(head):
                await caller.respond(head.status, head.reason, head.headers, body)
                return True
        return False

    def is_worth_retrying(self, call: Call, head: ResponseHead) -> bool:
        """Tell whether another backend server may do better than a failure that was received.

        :param call: the request.
        :param head: the start of the answer.
        :return: whether to send the request again.
        """
        route = call.require_route()
        failed = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        again = route.repeatable and call.attempt_count < route.max_attempts
        left_s = call.deadline - asyncio.get_running_loop().time()
        return (
            failed and again and left_s > RESPONSE_SILENCE_S and self.remaining_retries(call) >= 1
        )

    def remaining_retries(self, call: Call) -> float:
        """Return how often requests to the service may be sent again now.

        :param call: a request.
        :return: sends.
        """
        now = asyncio.get_running_loop().time()
        return self.budget.remaining(call.service, self.entry_state.live_entries(now), now)

    def require_retry_allowed(
        self,
        call: Call,
        placed: Assignment,
        outcome: Outcome,
        stream: StreamState,
    ) -> None:
        """Prepare the next send of a request.

        :param call: the request.
        :param placed: where it was.
        :param outcome: how the send ended.
        :param stream: what the caller has of a stream.
        :raises RequestError: if it may not be sent again.
        """
        stream.splitter.discard_partial()
        call.avoided_replicas.add(placed.candidate.replica.key)
        if isinstance(outcome, NotSent | Withheld):
            return
        call.may_reuse_replica = isinstance(outcome, Answered)
        route = call.require_route()
        if not isinstance(outcome, NotRun):
            call.may_have_run = True
            if route.runs_once or call.attempt_count >= route.max_attempts:
                raise _incomplete_response_error(outcome, call.ran)

    async def prepare_retry(
        self, call: Call, placed: Assignment, outcome: Outcome, stream: StreamState
    ) -> None:
        """Spend a retry; a stream that has begun waits for it, and for a place.

        :param call: the request.
        :param placed: where it was.
        :param outcome: how the send ended.
        :param stream: what the caller has of a stream.
        :raises RequestError: if there is none.
        """
        if stream.reserved is not None:
            return
        sent = not isinstance(outcome, NotSent | Withheld)
        if stream.started:
            stream.caller.progress.phase = Phase.place
            key = placed.candidate.replica.key
            demand = partial(self.demand, call)
            stream.reserved = await self.failover.resume_stream(call, key, demand, sent=sent)
        elif sent:
            self.failover.spend_retry(call)


def _incomplete_response_error(outcome: Outcome, ran: HasRun) -> RequestError:
    detail = 'the backend server gave no whole answer'
    if isinstance(outcome, Lost):
        detail = f'{detail}: {outcome.detail}'
    return RequestError(Code.outcome_unknown, detail, ran)


__all__ = ('Runner',)
