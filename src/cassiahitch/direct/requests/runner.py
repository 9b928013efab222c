"""Runs requests: checks them, assigns them to replicas, sends and retries them, and responds."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.direct.api import Answered
from cassiahitch.direct.backends.attempt import AttemptSender
from cassiahitch.direct.backends.outcomes import (
    Delivered,
    Lost,
    NotRun,
    NotSent,
    Outcome,
    Unconfirmed,
    Withdrawn,
    Withheld,
)
from cassiahitch.direct.backends.responserelay import is_forwardable
from cassiahitch.direct.backends.streamstate import ProgressTimeouts, StreamState
from cassiahitch.direct.callers.errorresponder import ErrorResponder
from cassiahitch.direct.callers.progress import Phase
from cassiahitch.direct.callers.responsewriter import CallerDisconnected
from cassiahitch.direct.placement.assignments import Assignment, NoCapacity, PlacementRequest
from cassiahitch.direct.placement.candidates import CandidateFilter
from cassiahitch.direct.placement.search import PlacementSearch
from cassiahitch.direct.requests.callertimeouts import CallerTimeouts
from cassiahitch.direct.requests.failover import Failover
from cassiahitch.direct.requests.outcomerecorder import OutcomeRecorder
from cassiahitch.direct.requests.segmentcheck import SegmentCheck
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call, RequestCodec, ResponseHead
    from cassiahitch.direct.callers.exchange import CallerExchange
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.placement.crashdetector import CrashDetector
    from cassiahitch.direct.requests.budget import RetryBudget
    from cassiahitch.direct.requests.filters import RequestFilters
    from cassiahitch.direct.telemetry import Telemetry

#: Longest wait for capacity, as a fraction of the objective of the route.
QUEUE_WAIT_FRACTION = 0.12
#: Shortest time between two searches for capacity, in seconds.
PLACEMENT_RETRY_INTERVAL_S = 0.02
#: Seconds by which the timeout of a caller that repeats its request is shorter than the usual one.
MIN_RETURN_S = 0.1
#: Retry-After, in seconds, when no backend server could be reached.
UNREACHABLE_RETRY_AFTER_S = 0.6
#: Most assignments of a request, including those after which nothing was sent.
MAX_PLACEMENTS = 4
#: Seconds without progress after which a request fails over: an idempotent one before its
#: response (or its objective, if that is longer), and a stream before its first and next events.
RESPONSE_PROGRESS_TIMEOUT_S = 0.4
FIRST_EVENT_TIMEOUT_S = 1.3
NEXT_EVENT_TIMEOUT_S = 1.1
#: Longest time that another backend server is asked for the rest of a stream that may be complete,
#: in seconds; callers wait longer than that for an event.
REST_TIMEOUT_S = 1.6


@dataclass(slots=True)
class RequestRunner:
    """Runs the requests of one entry, from the received request to the end of its response."""

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
    segment_check: SegmentCheck = field(init=False)
    error_responder: ErrorResponder = field(init=False)
    recorder: OutcomeRecorder = field(init=False)

    def __post_init__(self) -> None:
        """Create the parts that depend on the other fields."""
        self.error_responder = ErrorResponder(self.codec, self.telemetry)
        self.recorder = OutcomeRecorder(self.entry_state, self.candidates, self.crash_detector)
        self.segment_check = SegmentCheck(self.entry_state, self.crash_detector)
        self.failover = Failover(
            entry_state=self.entry_state,
            filters=self.filters,
            placement_search=self.placement_search,
            budget=self.budget,
            crash_detector=self.crash_detector,
            telemetry=self.telemetry,
        )

    async def serve(self, caller: CallerExchange) -> None:
        """Serve one request.

        :param caller: the exchange with its caller.
        """
        arrived_at = asyncio.get_running_loop().time()
        incoming = caller.incoming
        call: Call | None = None
        try:
            call = self.telemetry.request_received(
                self.codec.read_request(
                    incoming.method, incoming.target, incoming.headers, incoming.body
                ),
                arrived_at,
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
        """Check a request and send it until its caller has a response.

        :param call: the request.
        :param caller: the exchange with its caller.
        :raises RequestError: if it is refused, fails, or passes its deadline.
        """
        self.filters.check(call)
        self.segment_check.require_allowed(call)
        caller.require_time_left(call.deadline)
        self.telemetry.record_offered_size(call)
        if call.request.caller_timeout_s is not None:
            self.caller_timeouts.record(call.require_route().name, call.request.caller_timeout_s)
        stream = StreamState(caller, deadline=call.deadline)
        with self.failover.releasing_reserved(stream):
            await self.run_in_time(call, caller, stream)

    async def run_in_time(self, call: Call, caller: CallerExchange, stream: StreamState) -> None:
        """Send a request until its caller has a response or its deadline passes.

        :param call: the request.
        :param caller: the exchange with its caller.
        :param stream: what the caller has received of a stream.
        :raises RequestError: if it fails, or passes its deadline.
        """
        try:
            async with asyncio.timeout_at(call.deadline) as timer:
                caller.timer = timer
                await self.send_until_answered(call, caller, stream)
        except TimeoutError:
            if stream.asks_rest:
                raise _incomplete_response_error(Unconfirmed(), call.ran) from None
            detail = 'no complete response before the deadline of the route or the caller'
            ran = HasRun.unknown if call.attempt_count else HasRun.no
            raise RequestError(Code.deadline_exceeded, detail, ran) from None

    async def send_until_answered(
        self,
        call: Call,
        caller: CallerExchange,
        stream: StreamState,
    ) -> None:
        """Send a request, and retry it where that is allowed, until its caller has a response.

        :param call: the request.
        :param caller: the exchange with its caller.
        :param stream: what the caller has received of a stream.
        :raises RequestError: if it failed and may not be retried.
        """
        for _ in range(MAX_PLACEMENTS):
            caller.require_connected()
            caller.progress.phase = Phase.place
            assignment = stream.reserved or await self.assign(call)
            stream.reserved = None
            started_at = asyncio.get_running_loop().time()
            caller.progress.record_attempt(assignment.candidate.replica.id, started_at)
            limit = self.candidates.connection_limit(call)
            progress_timeouts = self.progress_timeouts(call)
            stream.on_first_event = partial(
                self.recorder.record_begin, call, assignment, started_at
            )
            stream.reserve = partial(self.reserve_alternative, call, assignment, stream)
            async with self.segment_check.withdraw_if_refused(call):
                with self.crash_detector.track(call, assignment.candidate.replica):
                    outcome = await self.attempts.send(
                        call, assignment, stream, progress_timeouts, limit
                    )
            self.telemetry.attempt_ended(
                call, assignment, outcome, started_at, stream.first_event_at
            )
            if isinstance(outcome, Lost) and outcome.stalled:
                now = asyncio.get_running_loop().time()
                self.recorder.record_start_delay(assignment, started_at, now)
            self.recorder.record_outcome(call, assignment, outcome)
            if await self.deliver(call, caller, outcome):
                return
            self.limit_question(caller, outcome)
            self.require_retry_allowed(call, assignment, outcome, stream)
            if isinstance(outcome, Lost):
                await self.segment_check.wait_for_evidence(call, assignment.candidate.replica)
            await self.prepare_retry(call, assignment, outcome, stream)
        raise RequestError(
            Code.no_replica,
            'no backend server could be reached',
            call.ran,
            UNREACHABLE_RETRY_AFTER_S,
        )

    async def assign(self, call: Call) -> Assignment:
        """Assign a request to a replica; waits for capacity for a part of the objective.

        :param call: the request.
        :return: the assignment.
        :raises RequestError: ``no_replica`` or ``overloaded``.
        """
        clock = asyncio.get_running_loop().time
        wait_until = call.arrived_at + call.require_route().objective_s * QUEUE_WAIT_FRACTION
        overload = self.placement_search.overload
        while True:
            request = self.placement_request(call)
            result = await self.placement_search.find(call, request)
            if isinstance(result, Assignment):
                overload.record(call.service, request, clock(), begun=True)
                self.require_allowed(call, result)
                return result
            is_over = clock() + result.available_in_s >= wait_until
            if is_over or not overload.may_wait(request, result):
                overload.record(call.service, request, clock(), begun=False)
                refusal = overload.scheduled(call.service, request, result, clock())
                raise self.no_capacity_error(call, refusal)
            await asyncio.sleep(max(PLACEMENT_RETRY_INTERVAL_S, result.available_in_s))

    def require_allowed(self, call: Call, assignment: Assignment) -> None:
        """Check that a request was not refused by its segments while it was assigned.

        :param call: the request.
        :param assignment: its assignment, which is released if it was.
        :raises RequestError: ``poison_refused``.
        """
        try:
            self.segment_check.require_allowed(call)
        except RequestError:
            self.placement_search.release(assignment)
            raise

    async def reserve_alternative(
        self, call: Call, assignment: Assignment, stream: StreamState
    ) -> bool:
        """Reserve another assignment for a request whose backend server is stalled.

        :param call: the request.
        :param assignment: its current assignment.
        :param stream: the response so far; the new assignment is stored as ``reserved``.
        :return: whether the request can move.
        """
        if not stream.splitter.is_resumable:
            return False
        return await self.failover.reserve_alternative(
            call, assignment, stream, self.placement_request(call)
        )

    def limit_question(self, caller: CallerExchange, outcome: Outcome) -> None:
        """Set the time within which another replica must send the rest of a stream.

        :param caller: the exchange with its caller.
        :param outcome: how the attempt ended; others than ``Unconfirmed`` set no limit.
        """
        if isinstance(outcome, Unconfirmed) and caller.timer is not None:
            until = asyncio.get_running_loop().time() + REST_TIMEOUT_S
            caller.timer.reschedule(min(until, caller.timer.when() or until))

    def no_capacity_error(self, call: Call, no_capacity: NoCapacity) -> RequestError:
        """Record and return the refusal of a request that no replica has capacity for.

        :param call: the request.
        :param no_capacity: the result of the placement.
        :return: the error.
        """
        self.telemetry.no_capacity(call, no_capacity)
        detail = 'no backend server has capacity to start the request in time'
        return RequestError(Code.overloaded, detail, call.ran, no_capacity.retry_after_s)

    def placement_request(self, call: Call) -> PlacementRequest:
        """Describe a request to the placement.

        The timeout of a caller that repeats its request is shorter than the usual one of the route.
        The difference counts as time that has already elapsed.

        :param call: the request.
        :return: the route, elapsed and remaining time, prompt length and priority.
        """
        route = call.require_route()
        usual_timeout_s = self.caller_timeouts.usual_timeout_s(route.name)
        caller_timeout_s = (
            usual_timeout_s
            if call.request.caller_timeout_s is None
            else call.request.caller_timeout_s
        )
        now = asyncio.get_running_loop().time()
        before_s = max(0, usual_timeout_s - caller_timeout_s)
        generation = call.request.generation
        priority = route.priority
        if call.organisation is not None and call.organisation.priority is not None:
            priority = call.organisation.priority
        prompt_tokens = generation.prompt_tokens if generation else 0
        return PlacementRequest(
            route,
            now - call.arrived_at + before_s,
            prompt_tokens,
            priority,
            remaining_s=call.deadline - now,
            is_return=before_s >= MIN_RETURN_S,
            organisation=call.organisation.name if call.organisation else '',
        )

    def progress_timeouts(self, call: Call) -> ProgressTimeouts:
        """Return how long a backend server may make no progress before the request fails over.

        :param call: the request.
        :return: the timeouts; no limits if the request may not be sent to another replica.
        """
        route = call.require_route()
        if call.attempt_count + 1 >= route.max_attempts or self.candidates.sendable_count(call) < 2:
            return ProgressTimeouts()
        if route.may_resume:
            return ProgressTimeouts(FIRST_EVENT_TIMEOUT_S, NEXT_EVENT_TIMEOUT_S)
        if route.repeatable:
            return ProgressTimeouts(max(RESPONSE_PROGRESS_TIMEOUT_S, route.objective_s), None)
        return ProgressTimeouts()

    async def deliver(self, call: Call, caller: CallerExchange, outcome: Outcome) -> bool:
        """Send the caller the response of an attempt, unless there is none or a retry is better.

        :param call: the request; a failure that is worth a retry is kept as ``failed_response``.
        :param caller: the exchange with its caller.
        :param outcome: how the attempt ended.
        :return: whether the caller has its response.
        """
        match outcome:
            case Delivered():
                return True
            case Answered(head=head) if self.is_worth_retrying(call, head):
                call.failed_response = outcome
                return False
            case Answered(head=head) if is_forwardable(head):
                await caller.forward(outcome)
                return True
        return False

    def is_worth_retrying(self, call: Call, head: ResponseHead) -> bool:
        """Return whether a failed response is worth a retry at another backend server.

        :param call: the request.
        :param head: the head of the response.
        :return: whether the response is a server error, and both time and a retry are left.
        """
        route = call.require_route()
        failed = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        retryable = route.repeatable and call.attempt_count < route.max_attempts
        left_s = call.deadline - asyncio.get_running_loop().time()
        return (
            failed
            and retryable
            and left_s > RESPONSE_PROGRESS_TIMEOUT_S
            and self.remaining_retries(call) >= 1
        )

    def remaining_retries(self, call: Call) -> float:
        """Return how many retries the budget of a service has left.

        :param call: a request of the service.
        :return: the number of retries.
        """
        now = asyncio.get_running_loop().time()
        return self.budget.remaining(call.service, self.entry_state.live_entries(now), now)

    def require_retry_allowed(
        self,
        call: Call,
        assignment: Assignment,
        outcome: Outcome,
        stream: StreamState,
    ) -> None:
        """Check whether a request may be retried, and avoid the replica of the failed attempt.

        :param call: the request.
        :param assignment: the assignment that failed.
        :param outcome: how the attempt ended.
        :param stream: what the caller has received of a stream.
        :raises RequestError: ``outcome_unknown`` if it may have run and must not be retried.
        """
        stream.splitter.discard_partial()
        if not isinstance(outcome, Withdrawn):
            call.avoided_replicas.add(assignment.candidate.replica.key)
        if isinstance(outcome, NotSent | Withheld):
            return
        call.may_reuse_replica = isinstance(outcome, Answered)
        route = call.require_route()
        if not isinstance(outcome, NotRun):
            call.may_have_run = True
            is_last = call.attempt_count >= route.max_attempts
            if route.runs_once or is_last or not stream.splitter.is_resumable:
                raise _incomplete_response_error(outcome, call.ran)

    async def prepare_retry(
        self, call: Call, assignment: Assignment, outcome: Outcome, stream: StreamState
    ) -> None:
        """Spend a retry; a stream that has started waits for one, and for another assignment.

        :param call: the request.
        :param assignment: the assignment that failed.
        :param outcome: how the attempt ended.
        :param stream: what the caller has received of a stream.
        :raises RequestError: if there is no retry, or no other assignment for a started stream.
        """
        if stream.reserved is not None:
            return
        sent = not isinstance(outcome, NotSent | Withheld)
        if stream.started:
            stream.caller.progress.phase = Phase.place
            key = assignment.candidate.replica.key
            placement_request = partial(self.placement_request, call)
            stream.reserved = await self.failover.resume_stream(
                call, key, placement_request, sent=sent
            )
        elif sent:
            self.failover.spend_retry(call)


def _incomplete_response_error(outcome: Outcome, ran: HasRun) -> RequestError:
    detail = 'the backend server did not send a complete response'
    if isinstance(outcome, Lost | Unconfirmed | Withdrawn):
        detail = f'{detail}: {outcome.detail}'
    return RequestError(Code.outcome_unknown, detail, ran)


__all__ = ('RequestRunner',)
