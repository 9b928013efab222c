"""One send of a request to a backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import ExitStack, aclosing, contextmanager, suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.api import Answered, Destination, ResponseHead
from cassiahitch.direct.backends.connection import BackendConnection, ConnectFailed
from cassiahitch.direct.backends.events import EventSplitter, EventTooLarge
from cassiahitch.direct.backends.exchange import Exchange, ResponseLost
from cassiahitch.direct.backends.stalls import ReplicaStalled, StallDetector
from cassiahitch.direct.callers.responsewriter import CallerDisconnected

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cassiahitch.direct.api import Call, RequestCodec
    from cassiahitch.direct.backends.pool import ConnectionPool
    from cassiahitch.direct.backends.replicasignals import ReplicaSignals
    from cassiahitch.direct.backends.responserelay import ResponseRelay
    from cassiahitch.direct.callers.exchange import CallerExchange
    from cassiahitch.direct.placement.placement import Assignment, Placement
    from cassiahitch.direct.requests.filters import RequestFilters

SUCCESS = range(200, 300)


@dataclass(frozen=True, slots=True)
class Delivered:
    """The answer has reached its proper end at the caller, piece by piece."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request went out."""

    detail: str
    refused: bool


@dataclass(frozen=True, slots=True)
class Withheld:
    """No byte of the request went out, as the backend server wants none now."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The backend server says that it did not run the request and never will."""

    status: int


@dataclass(frozen=True, slots=True)
class Lost:
    """The request went out and no whole answer came; ``stalled`` if nothing came for long."""

    detail: str
    stalled: bool = False


Outcome = Answered | Delivered | NotSent | Withheld | NotRun | Lost


@dataclass(slots=True)
class StreamState:
    """What the caller has of a stream, over all backend servers that wrote it.

    ``reserved`` is the assignment at which the request continues after the current backend server;
    its retry is already spent. ``stalled_key`` is the stalled backend server at which the request
    stayed because no other one, or no retry, was available.
    """

    caller: CallerExchange
    splitter: EventSplitter = field(default_factory=EventSplitter)
    started: bool = False
    first_event_at: float | None = None
    on_first_event: Callable[[float], None] | None = None
    reserve: Callable[[], Awaitable[bool]] | None = None
    reserved: Assignment | None = None
    stalled_key: str = ''

    async def reserve_alternative(self) -> bool:
        """Reserve another place for a request whose backend server is silent.

        :return: whether there is one.
        """
        return self.reserve is not None and await self.reserve()


@dataclass(frozen=True, slots=True)
class ProgressTimeouts:
    """Seconds without news after which another backend server is tried, if there is any."""

    first_s: float | None = None
    next_s: float | None = None


@dataclass(slots=True)
class AttemptSender:
    """Sends requests; knows the connections and counts what is in flight."""

    pool: ConnectionPool
    codec: RequestCodec
    filters: RequestFilters
    placement: Placement
    signals: ReplicaSignals
    response_relay: ResponseRelay

    async def send(
        self,
        call: Call,
        placed: Assignment,
        stream: StreamState,
        timeouts: ProgressTimeouts,
        limit: int,
    ) -> Outcome:
        """Send a request and follow it to its end.

        :param call: the request.
        :param placed: where it goes.
        :param stream: what its caller has so far.
        :param timeouts: how long to wait for news.
        :param limit: connections to the backend server that this process may have.
        :return: how it ended.
        :raises RequestError: if the key was taken away meanwhile.
        :raises CallerDisconnected: if its caller has left and nothing was sent.
        """
        replica = placed.candidate.replica
        if not self.signals.may_send(replica):
            return Withheld()
        try:
            connection = await self.pool.acquire(
                replica, limit, non_idempotent=call.require_route().runs_once
            )
        except ConnectFailed as error:
            return NotSent(str(error), error.refused)
        stall_detector = StallDetector(stream.reserve_alternative)
        exchange = Exchange(connection, self.codec, stall_detector, self.signals.receive_head)
        with ExitStack() as stack:
            stack.callback(self.release, connection, exchange)
            if not self.signals.may_send(replica):
                return Withheld()
            self.filters.require_valid_key(call)
            stream.caller.require_connected()
            stack.enter_context(
                stream.caller.allow_outliving(outlives=call.require_route().outlives_caller)
            )
            stack.enter_context(self.counted(call, placed))
            return await self.run_exchange(call, placed, exchange, stream, timeouts)

    def release(self, connection: BackendConnection, exchange: Exchange) -> None:
        """Give the connection of an exchange back, or close it.

        :param connection: the connection.
        :param exchange: what happened on it.
        """
        if exchange.is_open:
            connection.abort()
        head = exchange.head
        unused = connection.requests == 0 and exchange.written is None
        idle_timeout_s = head.idle_timeout_s if head else None
        kept = exchange.reusable and head is not None and not head.closes_connection
        leaves = self.signals.availability.is_stopping(connection.replica.key)
        reusable = (unused or kept) and not leaves
        self.pool.release(connection, reusable=reusable, idle_timeout_s=idle_timeout_s)

    @contextmanager
    def counted(self, call: Call, placed: Assignment) -> Iterator[None]:
        """Count a request as in flight.

        :param call: the request.
        :param placed: where it is.
        :yield: while it is in flight.
        """
        clock = asyncio.get_running_loop().time
        began = clock()
        key = placed.candidate.replica.key
        call.attempt_count += 1
        if placed.rank is None:
            plain = self.placement.plain_load(key)
            plain.in_flight += 1
            try:
                yield
            finally:
                plain.record_ended(clock() - began, clock())
            return
        load = self.placement.engine_load(key)
        generation = call.request.generation
        prompt_tokens = generation.prompt_tokens if generation else 0
        load.record_sent(prompt_tokens, began)
        try:
            yield
        finally:
            load.record_ended(clock())

    async def run_exchange(
        self,
        call: Call,
        placed: Assignment,
        exchange: Exchange,
        stream: StreamState,
        timeouts: ProgressTimeouts,
    ) -> Outcome:
        """Send on a connection and read the answer.

        :param call: the request.
        :param placed: where it goes.
        :param exchange: the exchange on the connection.
        :param stream: what its caller has so far.
        :param timeouts: how long to wait for news.
        :return: how it ended.
        """
        destination = Destination(
            replica=placed.candidate.replica,
            remaining_s=call.deadline - asyncio.get_running_loop().time(),
            organisation=call.organisation,
            version=placed.candidate.version,
            rank=placed.rank,
            last_event_id=stream.splitter.last_event_id,
        )
        headers = self.codec.write_headers(call.request, destination)
        exchange.stall_detector.restart(timeouts.first_s)
        try:
            head = await exchange.send(call.request, headers)
            exchange.stall_detector.restart(timeouts.first_s)
            return await self.take(call, exchange, head, stream, timeouts)
        except ResponseLost as error:
            return Lost(str(error))
        except ReplicaStalled:
            return Lost('no news from the backend server', stalled=True)

    async def take(
        self,
        call: Call,
        exchange: Exchange,
        head: ResponseHead,
        stream: StreamState,
        timeouts: ProgressTimeouts,
    ) -> Outcome:
        """Read an answer to its end.

        :param call: the request.
        :param exchange: the exchange.
        :param head: the start of the answer.
        :param stream: what the caller has so far.
        :param timeouts: how long to wait for news.
        :return: how it ended.
        :raises ResponseLost: if it breaks off.
        """
        if head.not_run:
            with suppress(ResponseLost):
                await exchange.drop_body()
            return NotRun(head.status)
        if head.status in SUCCESS and call.require_route().repeat == 'stream':
            return await self.forward(exchange, head, stream, timeouts)
        body = await self.response_relay.relay(exchange, head, stream.caller)
        return Delivered() if body is None else Answered(head, body)

    async def forward(
        self,
        exchange: Exchange,
        head: ResponseHead,
        stream: StreamState,
        timeouts: ProgressTimeouts,
    ) -> Outcome:
        """Pass the whole events of a stream on as they come.

        :param exchange: the exchange.
        :param head: the start of the answer.
        :param stream: what the caller has so far.
        :param timeouts: how long to wait for news.
        :return: how it ended.
        :raises ResponseLost: if the stream breaks off.
        """
        if not head.sealed or head.content_encoded:
            return Lost('an answer without a signature')
        if stream.started:
            exchange.stall_detector.restart(timeouts.next_s)
        async with aclosing(exchange.parts()) as parts:
            async for part in parts:
                event_count = stream.splitter.event_count
                await self.pass_on(head, stream, _whole_events(stream, part))
                if stream.splitter.event_count > event_count:
                    exchange.stall_detector.restart(timeouts.next_s)
                    continue
                exchange.stall_detector.add_bytes(
                    min(len(part), len(stream.splitter.partial_event))
                )
        await self.pass_on(head, stream, stream.splitter.partial_event, last=True)
        stream.caller.end_response()
        return Delivered()

    async def pass_on(
        self,
        head: ResponseHead,
        stream: StreamState,
        data: bytes,
        *,
        last: bool = False,
    ) -> None:
        """Write whole events to the caller.

        :param head: the start of the answer, written before the first event.
        :param stream: what the caller has so far.
        :param data: the events.
        :param last: whether the answer ends with them.
        :raises CallerDisconnected: if nobody reads them.
        """
        if not stream.started and (data or last):
            stream.started = True
            stream.first_event_at = asyncio.get_running_loop().time()
            if stream.on_first_event is not None:
                stream.on_first_event(stream.first_event_at)
            await stream.caller.start_response(head.status, head.reason, head.headers)
        if data:
            await stream.caller.write_body(data)


def _whole_events(stream: StreamState, part: bytes) -> bytes:
    try:
        return stream.splitter.feed(part)
    except EventTooLarge as error:
        raise ResponseLost(str(error)) from error


__all__ = (
    'Answered',
    'AttemptSender',
    'CallerDisconnected',
    'Delivered',
    'Lost',
    'NotRun',
    'NotSent',
    'Outcome',
    'ProgressTimeouts',
    'StreamState',
    'Withheld',
)
