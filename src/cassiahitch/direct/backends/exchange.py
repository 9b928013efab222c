"""One request and its answer on a connection to a backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import aclosing
from typing import TYPE_CHECKING

import h11

from cassiahitch.codes import Code, Ran
from cassiahitch.direct.backends.buffering import MAX_DISCARDED_BYTES
from cassiahitch.direct.backends.connection import BackendConnection, ConnectionBroken
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from cassiahitch.direct.api import CallerRequest, Headers, RequestCodec, ResponseHead
    from cassiahitch.direct.backends.stalls import StallDetector
    from cassiahitch.direct.state.replicas import Replica

#: Answers of other requests that are passed over while the own one is awaited.
FOREIGN_ANSWERS = 4
#: Interim heads before an answer, after which its connection is given up.
INTERIM_HEADS = 8
#: Seconds for which bytes are read that nobody gets, so that the connection can be used again.
DROP_S = 0.5
#: Largest header of an answer, in bytes.
MAX_HEADER_BYTES = 65_536


OnHead = Callable[['Replica', 'ResponseHead'], None]


def _take_nothing_in(_: Replica, _head: ResponseHead) -> None:
    """Take the start of an answer in where nobody listens."""


class ResponseLost(Exception):
    """Bytes of the request went out and no whole answer came, so it may have run."""


class Exchange:
    """Sends one request and reads the answer that carries its id.

    Whoever makes it releases the connection afterwards; ``reusable`` tells whether the
    connection may carry another request.
    """

    def __init__(
        self,
        connection: BackendConnection,
        codec: RequestCodec,
        stall_detector: StallDetector,
        on_head: OnHead = _take_nothing_in,
    ) -> None:
        """Create it on an idle connection.

        :param connection: the connection.
        :param codec: reads the headers of answers.
        :param silence: watches over each wait for bytes.
        :param on_head: takes in the start of each answer, also of other requests.
        """
        self.connection = connection
        self.codec = codec
        self.stall_detector = stall_detector
        self.on_head = on_head
        self.machine = _machine()
        self.written: asyncio.Future[None] | None = None
        self.complete = False
        self.reusable = False
        self.head: ResponseHead | None = None

    @property
    def is_open(self) -> bool:
        """Whether its server may still be at work on the request."""
        return self.written is not None and not self.complete

    async def send(self, request: CallerRequest, headers: Headers) -> ResponseHead:
        """Send a request and wait for the start of its answer.

        :param request: the request.
        :param headers: its headers for the backend server.
        :return: the start of the answer.
        :raises ResponseLost: if no such answer comes.
        :raises RequestError: ``bad_request`` if it cannot be written; nothing is sent then.
        """
        content = _request_bytes(self.machine, request, headers)
        self.connection.requests += 1
        self.written = self.connection.write(content)
        for _ in range(FOREIGN_ANSWERS):
            head = await self._head()
            if head.attempt_id == request.attempt_id or (head.not_run and not head.attempt_id):
                self.head = head
                return head
            await self._pass_over(request, headers)
        raise ResponseLost('only answers of other requests came')

    async def parts(self) -> AsyncGenerator[bytes, None]:
        """Yield the parts of the body as they arrive.

        :yield: bytes.
        :raises ResponseLost: if the answer breaks off.
        """
        while not self.complete:
            event = await self._event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._finish()

    async def body(self) -> bytes:
        """Return the whole body.

        :return: bytes.
        :raises ResponseLost: if the answer breaks off.
        """
        return b''.join([part async for part in self.parts()])

    async def drop_body(self) -> None:
        """Read the rest of an answer that nobody gets, and hold nothing of it.

        :raises ResponseLost: if it breaks off, or does not end soon.
        """
        try:
            async with asyncio.timeout(DROP_S), aclosing(self.parts()) as parts:
                await _drop(parts)
        except TimeoutError:
            raise ResponseLost('an answer without end') from None

    async def _head(self) -> ResponseHead:
        event = await self._event()
        for _ in range(INTERIM_HEADS):
            if not isinstance(event, h11.InformationalResponse):
                break
            event = await self._event()
        if not isinstance(event, h11.Response):
            raise ResponseLost('not an answer')
        headers = tuple(
            (name.decode('latin1'), text.decode('latin1'))
            for name, text in event.headers.raw_items()
        )
        head = self.codec.read_response(event.status_code, event.reason.decode('latin1'), headers)
        self.on_head(self.connection.replica, head)
        return head

    async def _pass_over(self, request: CallerRequest, headers: Headers) -> None:
        # A late or doubled answer of an earlier request stands before the own one.
        await self.drop_body()
        if not self.reusable and not self.machine.trailing_data[0]:
            raise ResponseLost('an answer of another request ended the connection')
        trailing, _ = self.machine.trailing_data
        self.machine = _machine()
        _request_bytes(self.machine, request, headers)
        self.complete = False
        self.reusable = False
        if trailing:
            self.machine.receive_data(trailing)

    async def _event(self) -> h11.Event:
        try:
            event = self.machine.next_event()
            while event is h11.NEED_DATA:
                await self.stall_detector.wait(self.connection.watch())
                self.machine.receive_data(await self.connection.read())
                event = self.machine.next_event()
        except (ConnectionBroken, h11.RemoteProtocolError) as error:
            raise ResponseLost(str(error)) from error
        if not isinstance(event, h11.Event) or isinstance(event, h11.ConnectionClosed):
            raise ResponseLost('closed without an answer')
        return event

    def _finish(self) -> None:
        self.complete = True
        kept = self.machine.their_state is h11.DONE and self.machine.our_state is h11.DONE
        written = self.written is not None and self.written.done()
        whole = written and not self.machine.trailing_data[0]
        self.reusable = kept and whole and self.connection.can_reuse()


async def _drop(parts: AsyncGenerator[bytes, None]) -> None:
    size = 0
    async for part in parts:
        size += len(part)
        if size > MAX_DISCARDED_BYTES:
            raise ResponseLost('bytes without end')


def _machine() -> h11.Connection:
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
        raise RequestError(Code.bad_request, str(error), Ran.no) from error
    parts = [machine.send(start)]
    if request.body:
        parts.append(machine.send(h11.Data(request.body)))
    parts.append(machine.send(h11.EndOfMessage()))
    return b''.join(part for part in parts if part)


def _encoded(text: str) -> bytes:
    # Bytes of callers were read as Latin-1; names of the configuration may have other letters.
    try:
        return text.encode('latin1')
    except UnicodeEncodeError:
        return text.encode(errors='replace')


__all__ = (
    'ResponseLost',
    'Exchange',
)
