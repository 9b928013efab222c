"""Attempts: one try of a request at a backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import ExitStack, aclosing, contextmanager, suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.api import Answered, Destination, ResponseHead
from cassiahitch.direct.backends.connection import BackendConnection, ConnectFailed
from cassiahitch.direct.backends.continuation import continues_stream
from cassiahitch.direct.backends.endings import EndVerifier
from cassiahitch.direct.backends.events import EventSplitter, EventTooLarge
from cassiahitch.direct.backends.exchange import Exchange, ResponseLost
from cassiahitch.direct.backends.outcomes import (
    Delivered,
    Lost,
    NotRun,
    NotSent,
    Unconfirmed,
    Withdrawn,
    Withheld,
)
from cassiahitch.direct.backends.stalls import ReplicaStalled, StallDetector
from cassiahitch.direct.backends.withdrawal import AttemptWithdrawn, WithdrawalWatch

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cassiahitch.direct.api import Call, RequestCodec
    from cassiahitch.direct.backends.outcomes import Outcome
    from cassiahitch.direct.backends.pool import ConnectionPool
    from cassiahitch.direct.backends.replicasignals import ReplicaSignals
    from cassiahitch.direct.backends.responserelay import ResponseRelay
    from cassiahitch.direct.callers.exchange import CallerExchange
    from cassiahitch.direct.placement.placement import Assignment, Placement
    from cassiahitch.direct.placement.reservation import ReservationClient
    from cassiahitch.direct.requests.filters import RequestFilters
    from cassiahitch.direct.state.versions import VersionPolicy

SUCCESS_STATUSES = range(200, 300)


@dataclass(slots=True)
class StreamState:
    """What the caller has received of a stream, across all backend servers that sent parts of it.

    ``head`` is the head with which it began, None before its first event. ``reserved`` is the
    assignment at which the request continues after the current backend server; its retry is already
    spent. ``stalled_key`` is the stalled backend server at which the request stayed because no
    other one, or no retry, was available. ``reserve`` tries to set ``reserved`` and returns whether
    it could; ``on_first_event`` is called with the time of the first event. ``may_confirm`` returns
    whether another backend server may be asked for the rest of a stream that is probably complete,
    ``presumed_complete`` is set while that is being done, and ``blank_rest`` holds the blank lines
    after the last event. ``deadline`` is that of the request, in seconds of the event loop.
    """

    caller: CallerExchange
    splitter: EventSplitter = field(default_factory=EventSplitter)
    head: ResponseHead | None = None
    first_event_at: float | None = None
    on_first_event: Callable[[float], None] | None = None
    reserve: Callable[[], Awaitable[bool]] | None = None
    reserved: Assignment | None = None
    stalled_key: str = ''
    may_confirm: Callable[[], bool] | None = None
    presumed_complete: bool = False
    blank_rest: bytes = b''
    deadline: float | None = None

    @property
    def started(self) -> bool:
        """Whether the caller has received the head of the response."""
        return self.head is not None

    def is_continued_by(self, head: ResponseHead) -> bool:
        """Return whether a response can follow what the caller has received.

        :param head: the head of the response.
        :return: true before the start of the stream.
        """
        return self.head is None or continues_stream(self.head, head)

    def begin_confirmation(self) -> bool:
        """Note that another backend server is asked for the rest, if that is possible.

        :return: whether it is; it is not if this is already the answer of such a one.
        """
        if self.presumed_complete or self.may_confirm is None or not self.may_confirm():
            return False
        self.presumed_complete = True
        self.blank_rest = self.splitter.partial_event
        return True

    def continue_presumed(self) -> None:
        """Note that another backend server had further events, so that the stream goes on."""
        if self.presumed_complete:
            self.presumed_complete = False
            self.blank_rest = b''
            if self.caller.timer is not None:
                self.caller.timer.reschedule(self.deadline)

    async def end_presumed(self) -> None:
        """End a stream for which no other backend server had further events."""
        if self.blank_rest:
            await self.caller.write_body(self.blank_rest)
        self.caller.end_response()

    async def reserve_alternative(self) -> bool:
        """Reserve another assignment for a request whose backend server is stalled.

        :return: whether there is one.
        """
        return self.reserve is not None and await self.reserve()


@dataclass(frozen=True, slots=True)
class ProgressTimeouts:
    """Seconds without progress after which the request moves to another backend server, if any.

    ``first_s`` applies up to the head of the response and from there to the first event or the next
    part of the body, ``next_s`` between the events of a stream. None stands for no limit.
    """

    first_s: float | None = None
    next_s: float | None = None


@dataclass(slots=True)
class AttemptSender:
    """Sends requests on pooled connections and counts those in flight."""

    pool: ConnectionPool
    codec: RequestCodec
    filters: RequestFilters
    placement: Placement
    signals: ReplicaSignals
    response_relay: ResponseRelay
    reservations: ReservationClient
    versions: VersionPolicy
    withdrawals: WithdrawalWatch = field(init=False)
    end_verifier: EndVerifier = field(init=False)

    def __post_init__(self) -> None:
        """Create the parts that depend on the other fields."""
        self.withdrawals = WithdrawalWatch(self.versions)
        self.end_verifier = EndVerifier(self.pool, self.signals)

    async def send(
        self,
        call: Call,
        assignment: Assignment,
        stream: StreamState,
        timeouts: ProgressTimeouts,
        limit: int,
    ) -> Outcome:
        """Send a request to its assigned backend server and relay the response.

        :param call: the request.
        :param assignment: its assignment.
        :param stream: what the caller has received so far.
        :param timeouts: how long to wait for progress.
        :param limit: connections to the backend server that this process may have.
        :return: how the attempt ended.
        :raises RequestError: if the caller's key was revoked before the request was sent.
        :raises CallerDisconnected: if the caller disconnected before the request was sent.
        """
        replica = assignment.candidate.replica
        with ExitStack() as stack:
            unsent = stack.enter_context(ExitStack())
            unsent.callback(self.release_reservation, assignment)
            if not self.signals.may_send(assignment):
                return Withheld()
            try:
                connection = await self.pool.acquire(
                    replica,
                    limit,
                    at_most_once=call.require_route().runs_once,
                    attempt_id=call.request.attempt_id,
                )
            except ConnectFailed as error:
                return NotSent(str(error), error.refused)
            stall_detector = StallDetector(stream.reserve_alternative)
            exchange = Exchange(
                connection,
                self.codec,
                stall_detector,
                self.signals.receive_head,
                self.end_verifier.require_complete,
            )
            stack.callback(self.release, connection, exchange)
            if not self.signals.may_send(assignment) or not self.withdrawals.may_begin(
                assignment.candidate, assignment.expected_s
            ):
                return Withheld()
            self.filters.require_valid_key(call)
            stream.caller.require_connected()
            stack.enter_context(
                stream.caller.allow_outliving(outlives=call.require_route().runs_without_caller)
            )
            stack.enter_context(self.count_in_flight(call, assignment))
            unsent.pop_all()
            return await self.run_exchange(call, assignment, exchange, stream, timeouts)

    def release_reservation(self, assignment: Assignment) -> None:
        """Release the reservation of a request that is not sent.

        :param assignment: the assignment of the request.
        """
        if assignment.reservation is not None:
            self.reservations.release(assignment.reservation)

    def release(self, connection: BackendConnection, exchange: Exchange) -> None:
        """Return the connection of an exchange to the pool, or close it.

        A connection whose server may still run the request is reset, so that the server drops it.

        :param connection: the connection.
        :param exchange: the exchange on it.
        """
        if exchange.is_open:
            connection.abort()
        head = exchange.head
        unused = connection.requests == 0 and exchange.written is None
        idle_timeout_s = head.idle_timeout_s if head else None
        kept_alive = exchange.reusable and head is not None and not head.closes_connection
        stopping = self.signals.availability.is_stopping(connection.replica.key)
        reusable = (unused or kept_alive) and not stopping
        self.pool.release(connection, reusable=reusable, idle_timeout_s=idle_timeout_s)

    @contextmanager
    def count_in_flight(self, call: Call, assignment: Assignment) -> Iterator[None]:
        """Count a request as in flight in the load of its backend server.

        :param call: the request.
        :param assignment: its assignment.
        :yield: while it is in flight.
        """
        clock = asyncio.get_running_loop().time
        started_at = clock()
        key = assignment.candidate.replica.key
        call.attempt_count += 1
        if assignment.rank is None:
            plain = self.placement.plain_load(key)
            plain.in_flight += 1
            try:
                yield
            finally:
                plain.record_ended(clock() - started_at, clock())
            return
        load = self.placement.engine_load(key)
        generation = call.request.generation
        prompt_tokens = generation.prompt_tokens if generation else 0
        load.record_sent(prompt_tokens, started_at)
        try:
            yield
        finally:
            load.record_ended(clock())

    async def run_exchange(
        self,
        call: Call,
        assignment: Assignment,
        exchange: Exchange,
        stream: StreamState,
        timeouts: ProgressTimeouts,
    ) -> Outcome:
        """Send the request on a connection and relay the response.

        :param call: the request.
        :param assignment: its assignment.
        :param exchange: the exchange on the connection.
        :param stream: what the caller has received so far.
        :param timeouts: how long to wait for progress.
        :return: how the attempt ended.
        """
        destination = Destination(
            replica=assignment.candidate.replica,
            remaining_s=call.deadline - asyncio.get_running_loop().time(),
            organisation=call.organisation,
            version=assignment.candidate.version,
            rank=assignment.rank,
            last_event_id=stream.splitter.last_event_id,
        )
        headers = self.codec.write_headers(call.request, destination)
        exchange.stall_detector.restart(timeouts.first_s)
        try:
            async with self.withdrawals.watch(assignment) as pending:
                exchange.on_begin = pending.begin
                head = await exchange.send(call.request, headers)
                exchange.stall_detector.restart(timeouts.first_s)
                return await self.relay_response(call, exchange, head, stream, timeouts)
        except AttemptWithdrawn:
            return Withdrawn()
        except ResponseLost as error:
            return Lost(str(error))
        except ReplicaStalled:
            return Lost('the backend server made no progress', stalled=True)

    async def relay_response(
        self,
        call: Call,
        exchange: Exchange,
        head: ResponseHead,
        stream: StreamState,
        timeouts: ProgressTimeouts,
    ) -> Outcome:
        """Read a response to its end and forward it, unless it is to be buffered.

        :param call: the request.
        :param exchange: the exchange.
        :param head: the head of the response.
        :param stream: what the caller has received so far.
        :param timeouts: how long to wait for progress.
        :return: how the attempt ended.
        :raises ResponseLost: if the response breaks off.
        """
        if head.not_run or not stream.is_continued_by(head):
            with suppress(ResponseLost):
                await exchange.discard_body()
            detail = f'a response with status {head.status} does not continue the stream'
            return NotRun(head.status) if head.not_run else Lost(detail)
        if head.status in SUCCESS_STATUSES and call.require_route().repeat_policy == 'stream':
            return await self.forward_stream(exchange, head, stream, timeouts)
        body = await self.response_relay.relay(exchange, head, stream.caller)
        return Delivered() if body is None else Answered(head, body)

    async def forward_stream(
        self,
        exchange: Exchange,
        head: ResponseHead,
        stream: StreamState,
        timeouts: ProgressTimeouts,
    ) -> Outcome:
        """Forward complete events of a stream as they arrive.

        :param exchange: the exchange.
        :param head: the head of the response.
        :param stream: what the caller has received so far.
        :param timeouts: how long to wait for progress.
        :return: how the attempt ended.
        :raises ResponseLost: if the stream breaks off.
        """
        if not head.sealed or head.content_encoded:
            return Lost('the response is not signed, or is encoded')
        if stream.started:
            exchange.stall_detector.restart(timeouts.next_s)
        count_before = stream.splitter.event_count
        async with aclosing(exchange.parts()) as parts:
            async for part in parts:
                event_count = stream.splitter.event_count
                data = _complete_events(stream, part)
                if stream.splitter.event_count > event_count or stream.splitter.is_inside_event:
                    stream.continue_presumed()
                await self.write_events(head, stream, data)
                if stream.splitter.event_count > event_count:
                    exchange.stall_detector.restart(timeouts.next_s)
                    continue
                exchange.stall_detector.add_bytes(
                    min(len(part), len(stream.splitter.partial_event))
                )
        has_events = stream.splitter.event_count > count_before
        return await self.end_stream(exchange, head, stream, has_events=has_events)

    async def end_stream(
        self, exchange: Exchange, head: ResponseHead, stream: StreamState, *, has_events: bool
    ) -> Outcome:
        """End a stream for the caller, unless it was or may have been broken off.

        :param exchange: the exchange, whose response has ended.
        :param head: the head of the response.
        :param stream: what the caller has received.
        :param has_events: whether the response had complete events.
        :return: how the attempt ended.
        """
        is_empty = exchange.ended_with_connection and not has_events
        if stream.splitter.is_inside_event or (is_empty and not stream.presumed_complete):
            self.log_end(exchange, stream, 'broken off: inside or before an event')
            return Lost('the stream ended inside an event, or with its connection before any event')
        is_doubtful = self.end_verifier.is_doubtful(
            exchange.connection.replica, ended_with_connection=exchange.ended_with_connection
        )
        if is_doubtful and stream.begin_confirmation():
            self.log_end(exchange, stream, 'asked on')
            return Unconfirmed()
        if stream.presumed_complete:
            self.log_end(exchange, stream, 'complete: the rest was empty')
            await stream.end_presumed()
            return Delivered()
        reason = 'may not be asked on' if is_doubtful else 'the replica shows no ends'
        self.log_end(exchange, stream, f'complete: {reason}')
        await self.write_events(head, stream, stream.splitter.partial_event, last=True)
        stream.caller.end_response()
        return Delivered()

    def log_end(self, exchange: Exchange, stream: StreamState, verdict: str) -> None:
        """Log what is made of a stream that ended with its connection.

        :param exchange: the exchange, whose response has ended.
        :param stream: what the caller has received.
        :param verdict: whether the stream counts as complete, and why.
        """
        if exchange.ended_with_connection or stream.presumed_complete:
            self.signals.telemetry.stream_end_judged(
                stream.caller.progress.id,
                exchange.connection.replica,
                stream.splitter.event_count,
                stream.splitter.last_event_id,
                verdict,
            )

    async def write_events(
        self,
        head: ResponseHead,
        stream: StreamState,
        data: bytes,
        *,
        last: bool = False,
    ) -> None:
        """Write complete events to the caller.

        :param head: the head of the response, written before the first event.
        :param stream: what the caller has received so far.
        :param data: the events.
        :param last: whether the response ends with them.
        :raises CallerDisconnected: if the caller has disconnected.
        """
        if not stream.started and (data or last):
            stream.head = head
            stream.first_event_at = asyncio.get_running_loop().time()
            if stream.on_first_event is not None:
                stream.on_first_event(stream.first_event_at)
            await stream.caller.start_response(head.status, head.reason, head.headers)
        if data:
            await stream.caller.write_body(data)


def _complete_events(stream: StreamState, part: bytes) -> bytes:
    try:
        return stream.splitter.feed(part)
    except EventTooLarge as error:
        raise ResponseLost(str(error)) from error


__all__ = (
    'SUCCESS_STATUSES',
    'AttemptSender',
    'ProgressTimeouts',
    'StreamState',
)
