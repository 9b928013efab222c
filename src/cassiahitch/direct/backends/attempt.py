"""Attempts: one try of a request at a backend server."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.api import Answered, Destination, ResponseHead
from cassiahitch.direct.backends.connection import BackendConnection, ConnectFailed
from cassiahitch.direct.backends.costrecorder import CostRecorder
from cassiahitch.direct.backends.endings import EndVerifier
from cassiahitch.direct.backends.exchange import Exchange, ResponseLost
from cassiahitch.direct.backends.outcomes import (
    Delivered,
    Lost,
    NotRun,
    NotSent,
    Withdrawn,
    Withheld,
)
from cassiahitch.direct.backends.stalls import ReplicaStalled, StallDetector
from cassiahitch.direct.backends.streamrelay import StreamRelay
from cassiahitch.direct.backends.withdrawal import AttemptWithdrawn, WithdrawalWatch

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call, RequestCodec
    from cassiahitch.direct.backends.outcomes import Outcome
    from cassiahitch.direct.backends.pool import ConnectionPool
    from cassiahitch.direct.backends.replicasignals import ReplicaSignals
    from cassiahitch.direct.backends.responserelay import ResponseRelay
    from cassiahitch.direct.backends.streamstate import ProgressTimeouts, StreamState
    from cassiahitch.direct.placement.placement import Assignment, Placement
    from cassiahitch.direct.placement.reservation import ReservationClient
    from cassiahitch.direct.requests.filters import RequestFilters
    from cassiahitch.direct.state.versions import VersionPolicy

SUCCESS_STATUSES = range(200, 300)


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
    costs: CostRecorder = field(init=False)
    end_verifier: EndVerifier = field(init=False)

    def __post_init__(self) -> None:
        """Create the parts that depend on the other fields."""
        self.withdrawals = WithdrawalWatch(self.versions)
        self.costs = CostRecorder(self.placement, self.signals.telemetry)
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
            self.filters.resolve_again(call)
            if not self.filters.allows_region(call, replica):
                return Withheld()
            stream.caller.require_connected()
            stack.enter_context(
                stream.caller.allow_outliving(outlives=call.require_route().runs_without_caller)
            )
            stack.enter_context(self.costs.count_in_flight(call, assignment))
            unsent.pop_all()
            started_at = asyncio.get_running_loop().time()
            outcome = await self.run_exchange(call, assignment, exchange, stream, timeouts)
            self.costs.learn(call, assignment, stream, outcome, started_at)
            return outcome

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
            self.end_verifier.record_broken_off(exchange)
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
            stream_relay = StreamRelay(
                exchange,
                stream,
                self.end_verifier.history,
                self.signals.telemetry,
                call.require_route().may_resume,
            )
            return await stream_relay.forward(head, timeouts)
        body = await self.response_relay.relay(exchange, head, stream.caller)
        if body is None:
            return Delivered()
        if head.close_delimited and self.end_verifier.is_suspected(exchange.connection.replica):
            return Lost('the response shows no end, and the backend server has broken others off')
        return Answered(head, body)


__all__ = (
    'SUCCESS_STATUSES',
    'AttemptSender',
)
