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
from cassiahitch.direct.backends.exchange import AnswerLost, Exchange
from cassiahitch.direct.backends.silence import ReplicaSilent, Silence
from cassiahitch.direct.callers.responsewriter import CallerDisconnected

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cassiahitch.direct.api import Call, RequestCodec
    from cassiahitch.direct.backends.hearing import Hearing
    from cassiahitch.direct.backends.passing import Passing
    from cassiahitch.direct.backends.pool import ConnectionPool
    from cassiahitch.direct.callers.exchange import CallerExchange
    from cassiahitch.direct.placement.placement import Placed, Placement
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
    """The request went out and no whole answer came; ``silent`` if nothing came for long."""

    detail: str
    silent: bool = False


Outcome = Answered | Delivered | NotSent | Withheld | NotRun | Lost


@dataclass(slots=True)
class StreamState:
    """What the caller has of a stream, over all backend servers that wrote it.

    ``reserved`` is where the request goes on after the present backend server, with a retry that
    is taken already; ``kept_at`` the silent backend server at which it stayed for want of these.
    """

    caller: CallerExchange
    splitter: EventSplitter = field(default_factory=EventSplitter)
    started: bool = False
    first_event_at: float | None = None
    on_first: Callable[[float], None] | None = None
    leave: Callable[[], Awaitable[bool]] | None = None
    reserved: Placed | None = None
    kept_at: str = ''

    async def leaves_silent(self) -> bool:
        """Reserve another place for a request whose backend server is silent.

        :return: whether there is one.
        """
        return self.leave is not None and await self.leave()


@dataclass(frozen=True, slots=True)
class Patience:
    """Seconds without news after which another backend server is tried, if there is any."""

    first_s: float | None = None
    next_s: float | None = None


@dataclass(slots=True)
class Attempts:
    """Sends requests; knows the connections and counts what is in flight."""

    pool: ConnectionPool
    codec: RequestCodec
    filters: RequestFilters
    placement: Placement
    hearing: Hearing
    passing: Passing

    async def send(
        self,
        call: Call,
        placed: Placed,
        stream: StreamState,
        patience: Patience,
        limit: int,
    ) -> Outcome:
        """Send a request and follow it to its end.

        :param call: the request.
        :param placed: where it goes.
        :param stream: what its caller has so far.
        :param patience: how long to wait for news.
        :param limit: connections to the backend server that this process may have.
        :return: how it ended.
        :raises RequestError: if the key was taken away meanwhile.
        :raises CallerDisconnected: if its caller has left and nothing was sent.
        """
        replica = placed.candidate.replica
        if not self.hearing.may_send(replica):
            return Withheld()
        try:
            connection = await self.pool.acquire(
                replica, limit, once=call.require_route().runs_once
            )
        except ConnectFailed as error:
            return NotSent(str(error), error.refused)
        silence = Silence(stream.leaves_silent)
        exchange = Exchange(connection, self.codec, silence, self.hearing.heard)
        with ExitStack() as stack:
            stack.callback(self.release, connection, exchange)
            if not self.hearing.may_send(replica):
                return Withheld()
            self.filters.require_valid_key(call)
            stream.caller.require_connected()
            stack.enter_context(
                stream.caller.allow_outliving(outlives=call.require_route().outlives_caller)
            )
            stack.enter_context(self.counted(call, placed))
            return await self.follow(call, placed, exchange, stream, patience)

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
        leaves = self.hearing.holdoff.is_leaving(connection.replica.key)
        reusable = (unused or kept) and not leaves
        self.pool.release(connection, reusable=reusable, idle_timeout_s=idle_timeout_s)

    @contextmanager
    def counted(self, call: Call, placed: Placed) -> Iterator[None]:
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
                plain.ended(clock() - began, clock())
            return
        load = self.placement.engine_load(key)
        generation = call.request.generation
        prompt_tokens = generation.prompt_tokens if generation else 0
        load.sent(prompt_tokens, began)
        try:
            yield
        finally:
            load.ended(clock())

    async def follow(
        self,
        call: Call,
        placed: Placed,
        exchange: Exchange,
        stream: StreamState,
        patience: Patience,
    ) -> Outcome:
        """Send on a connection and read the answer.

        :param call: the request.
        :param placed: where it goes.
        :param exchange: the exchange on the connection.
        :param stream: what its caller has so far.
        :param patience: how long to wait for news.
        :return: how it ended.
        """
        destination = Destination(
            replica=placed.candidate.replica,
            remaining_s=call.deadline - asyncio.get_running_loop().time(),
            organisation=call.organisation,
            version=placed.candidate.version,
            rank=placed.rank,
            last_event_id=stream.splitter.last_id,
        )
        headers = self.codec.write_headers(call.request, destination)
        exchange.silence.expect(patience.first_s)
        try:
            head = await exchange.send(call.request, headers)
            exchange.silence.expect(patience.first_s)
            return await self.take(call, exchange, head, stream, patience)
        except AnswerLost as error:
            return Lost(str(error))
        except ReplicaSilent:
            return Lost('no news from the backend server', silent=True)

    async def take(
        self,
        call: Call,
        exchange: Exchange,
        head: ResponseHead,
        stream: StreamState,
        patience: Patience,
    ) -> Outcome:
        """Read an answer to its end.

        :param call: the request.
        :param exchange: the exchange.
        :param head: the start of the answer.
        :param stream: what the caller has so far.
        :param patience: how long to wait for news.
        :return: how it ended.
        :raises AnswerLost: if it breaks off.
        """
        if head.not_run:
            with suppress(AnswerLost):
                await exchange.drop_body()
            return NotRun(head.status)
        if head.status in SUCCESS and call.require_route().repeat == 'stream':
            return await self.forward(exchange, head, stream, patience)
        body = await self.passing.relay(exchange, head, stream.caller)
        return Delivered() if body is None else Answered(head, body)

    async def forward(
        self,
        exchange: Exchange,
        head: ResponseHead,
        stream: StreamState,
        patience: Patience,
    ) -> Outcome:
        """Pass the whole events of a stream on as they come.

        :param exchange: the exchange.
        :param head: the start of the answer.
        :param stream: what the caller has so far.
        :param patience: how long to wait for news.
        :return: how it ended.
        :raises AnswerLost: if the stream breaks off.
        """
        if not head.sealed or head.content_encoded:
            return Lost('an answer without a signature')
        if stream.started:
            exchange.silence.expect(patience.next_s)
        async with aclosing(exchange.parts()) as parts:
            async for part in parts:
                events = stream.splitter.events
                await self.pass_on(head, stream, _whole_events(stream, part))
                if stream.splitter.events > events:
                    exchange.silence.expect(patience.next_s)
                    continue
                exchange.silence.took(min(len(part), len(stream.splitter.rest)))
        await self.pass_on(head, stream, stream.splitter.rest, last=True)
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
            if stream.on_first is not None:
                stream.on_first(stream.first_event_at)
            await stream.caller.start_response(head.status, head.reason, head.headers)
        if data:
            await stream.caller.write_body(data)


def _whole_events(stream: StreamState, part: bytes) -> bytes:
    try:
        return stream.splitter.feed(part)
    except EventTooLarge as error:
        raise AnswerLost(str(error)) from error


__all__ = (
    'Answered',
    'Attempts',
    'CallerDisconnected',
    'Delivered',
    'Lost',
    'NotRun',
    'NotSent',
    'Outcome',
    'Patience',
    'StreamState',
    'Withheld',
)
