"""One HTTP request and its response on a connection to a backend server."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from dataclasses import replace
from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from cassiahitch.codes import Code, HasRun
from cassiahitch.direct.backends.buffering import MAX_DISCARDED_BYTES
from cassiahitch.direct.backends.connection import BackendConnection, ConnectionBroken
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from cassiahitch.direct.api import CallerRequest, Headers, RequestCodec, ResponseHead
    from cassiahitch.direct.backends.stalls import StallDetector
    from cassiahitch.direct.state.replicas import Replica

#: Maximum responses to other requests that are skipped before the response to this one.
MAX_FOREIGN_RESPONSES = 4
#: Highest valid status of a response. The parser accepts any three digits above 199.
MAX_STATUS = 599
#: Maximum interim responses (1xx) before the final one.
MAX_INTERIM_RESPONSES = 8
#: Seconds for which a body is read and discarded, so that the connection can be used again.
DISCARD_TIMEOUT_S = 0.5
#: Maximum bytes of the headers of a response.
MAX_HEADER_BYTES = 65_536
#: Headers of which one shows the end of a body, as the parser of HTTP names them.
FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
#: Responses that never have a body.
HEAD_METHOD = 'HEAD'
BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


#: Handles the head of a response of a replica. The third argument is when its request was sent, in
#: seconds of the event loop's clock; minus infinity if the response belongs to another request.
OnHead = Callable[['Replica', 'ResponseHead', float], None]
#: Checks the end of a response that ended with its connection.
VerifyEnd = Callable[[BackendConnection], Awaitable[None]]


def _ignore_head(_: Replica, _head: ResponseHead, _sent_at: float) -> None:
    """Ignore the head of a response; the default without a listener."""


def _ignore_begin() -> None:
    """Ignore the first byte of a body; the default without a listener."""


async def _accept_end(_: BackendConnection) -> None:
    """Take a response that ended with its connection for complete; the default without a check."""


class ResponseLost(Exception):
    """Bytes of the request were sent and no complete response was received; it may have run."""


class Exchange:
    """Sends one request and reads the response that carries its attempt id.

    The creator releases the connection afterwards; ``reusable`` is whether the connection may
    carry another request. ``verify_end`` is called if only the end of the connection showed that
    the response was complete, and raises :class:`ResponseLost` if it was broken off. ``on_begin``
    is called with each part of the body of the own response.
    """

    def __init__(
        self,
        connection: BackendConnection,
        codec: RequestCodec,
        stall_detector: StallDetector,
        on_head: OnHead = _ignore_head,
        verify_end: VerifyEnd = _accept_end,
    ) -> None:
        """Prepare an exchange on an idle connection.

        :param connection: the connection.
        :param codec: reads the headers of responses.
        :param stall_detector: bounds each wait for bytes.
        :param on_head: called with the head of each response, also those to other requests.
        :param verify_end: checks the end of the own response if its connection ended with it.
        """
        self.connection = connection
        self.codec = codec
        self.stall_detector = stall_detector
        self.on_head = on_head
        self.verify_end = verify_end
        self.on_begin: Callable[[], None] = _ignore_begin
        self.machine = _new_machine()
        self.written: asyncio.Future[None] | None = None
        self.complete = False
        self.reusable = False
        self.head: ResponseHead | None = None
        self.sent_at = -math.inf
        self.method = ''

    @property
    def is_open(self) -> bool:
        """Whether the server may still be processing the request."""
        return self.written is not None and not self.complete

    async def send(self, request: CallerRequest, headers: Headers) -> ResponseHead:
        """Send a request and wait for the head of its response.

        :param request: the request.
        :param headers: the headers for the backend server.
        :return: the head of the response.
        :raises ResponseLost: if no response to this request is received. A refusal that cannot be
            attributed to it is skipped, since the request may run.
        :raises RequestError: ``bad_request`` if the request is not valid HTTP; nothing was sent.
        """
        content = _request_bytes(self.machine, request, headers)
        self.connection.requests += 1
        self.method = request.method
        self.sent_at = asyncio.get_running_loop().time()
        self.written = self.connection.write(content)
        for skipped in range(MAX_FOREIGN_RESPONSES):
            head = await self._read_head()
            if self._is_own(request, head, skipped):
                self.on_head(self.connection.replica, head, self.sent_at)
                self.head = head
                if head.not_run:
                    self.connection.refused_ids.add(request.attempt_id)
                return head
            self.on_head(self.connection.replica, head, -math.inf)
            await self._skip_response(request, headers)
        raise ResponseLost('received only responses to other requests')

    async def parts(self) -> AsyncGenerator[bytes, None]:
        """Yield the parts of the body as they arrive.

        :yield: bytes.
        :raises ResponseLost: if the response breaks off.
        """
        while not self.complete:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                if self.head is not None:
                    self.on_begin()
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                await self._finish()

    async def body(self) -> bytes:
        """Return the complete body.

        :return: bytes.
        :raises ResponseLost: if the response breaks off.
        """
        return b''.join([part async for part in self.parts()])

    async def discard_body(self) -> None:
        """Read the rest of a response and discard it.

        :raises ResponseLost: if the response breaks off, or exceeds the limits on time and size.
        """
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT_S), aclosing(self.parts()) as parts:
                await _discard(parts)
        except TimeoutError:
            raise ResponseLost('a discarded response did not end in time') from None

    def _is_own(self, request: CallerRequest, head: ResponseHead, skipped: int) -> bool:
        # A refusal without an id may be that of an earlier request, so it counts only as the first
        # response on a connection that has carried no other request.
        unambiguous = head.not_run and self.connection.requests == 1 and not skipped
        return head.attempt_id == request.attempt_id or (not head.attempt_id and unambiguous)

    async def _read_head(self) -> ResponseHead:
        event = await self._next_event()
        for _ in range(MAX_INTERIM_RESPONSES):
            if not isinstance(event, h11.InformationalResponse):
                break
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ResponseLost('received no final HTTP response')
        if event.status_code > MAX_STATUS:
            raise ResponseLost(f'received the invalid status {event.status_code}')
        headers = tuple(
            (name.decode('latin1'), text.decode('latin1'))
            for name, text in event.headers.raw_items()
        )
        head = self.codec.read_response(event.status_code, event.reason.decode('latin1'), headers)
        return replace(head, close_delimited=self._is_close_delimited(event))

    def _is_close_delimited(self, event: h11.Response) -> bool:
        names = {name for name, _ in event.headers}
        has_body = self.method != HEAD_METHOD and event.status_code not in BODILESS_STATUSES
        return has_body and not names & FRAMING_HEADERS

    async def _skip_response(self, request: CallerRequest, headers: Headers) -> None:
        # A late or duplicate response to an earlier request precedes the one to this request.
        await self.discard_body()
        trailing, _ = self.machine.trailing_data
        if self.machine.their_state is not h11.DONE and not trailing:
            raise ResponseLost('the connection ended with a response to another request')
        self.machine = _new_machine()
        _request_bytes(self.machine, request, headers)
        self.complete = False
        self.reusable = False
        if trailing:
            self.machine.receive_data(trailing)

    async def _next_event(self) -> h11.Event:
        try:
            event = self.machine.next_event()
            while event is h11.NEED_DATA:
                await self.stall_detector.wait(self.connection.start_read())
                self.machine.receive_data(await self.connection.read())
                event = self.machine.next_event()
        except (ConnectionBroken, h11.RemoteProtocolError) as error:
            raise ResponseLost(str(error)) from error
        if not isinstance(event, h11.Event) or isinstance(event, h11.ConnectionClosed):
            raise ResponseLost('the connection was closed before the response was complete')
        return event

    async def _finish(self) -> None:
        self.complete = True
        trailing, _ = self.machine.trailing_data
        keep_alive = self.machine.their_state is h11.DONE and self.machine.our_state is h11.DONE
        written = self.written is not None and self.written.done()
        nothing_left = written and not trailing
        self.reusable = keep_alive and nothing_left and self.connection.can_reuse()
        if self.head is not None and self.head.close_delimited:
            await self.verify_end(self.connection)


async def _discard(parts: AsyncGenerator[bytes, None]) -> None:
    size = 0
    async for part in parts:
        size += len(part)
        if size > MAX_DISCARDED_BYTES:
            raise ResponseLost('a discarded response exceeds the size limit')


def _new_machine() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)


def _request_bytes(machine: h11.Connection, request: CallerRequest, headers: Headers) -> bytes:
    length = (('Content-Length', str(len(request.body))),)
    framed = request.body or request.method in {'POST', 'PUT', 'PATCH'}
    lines = (*headers, *(length if framed else ()))
    try:
        start = h11.Request(
            method=request.method,
            target=_encoded(request.target),
            headers=[(name, _encoded(text)) for name, text in lines],
        )
    except h11.LocalProtocolError as error:
        raise RequestError(Code.bad_request, str(error), HasRun.no) from error
    parts = [machine.send(start)]
    if request.body:
        parts.append(machine.send(h11.Data(request.body)))
    parts.append(machine.send(h11.EndOfMessage()))
    return b''.join(part for part in parts if part)


def _encoded(text: str) -> bytes:
    # Bytes of callers were decoded as Latin-1; configured names may hold other characters.
    try:
        return text.encode('latin1')
    except UnicodeEncodeError:
        return text.encode(errors='replace')


__all__ = (
    'Exchange',
    'ResponseLost',
)
