"""The exchange of one attempt's request and response between a caller and an entry."""

from __future__ import annotations

import asyncio
import random
import socket
from contextlib import ExitStack
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from cassiahitch.platform import names
from cassiahitch.soak.records import Attempt, RequestKind
from cassiahitch.soak.responses import WorkSpec, expected_body, response_error

if TYPE_CHECKING:
    from cassiahitch.util.endpoints import Endpoint

MS_PER_S = 1000
#: Host of all routes.
ROUTE_HOST = 'menus.example'
MODEL = 'm1'
#: Largest number of tokens of a response.
MAX_RESPONSE_TOKENS = 30
READ_BYTES = 65_536
#: Seconds in which a connection must open.
CONNECT_TIMEOUT_S = 1.0
#: Receive buffer of a connection whose caller reads slowly, and size of its reads, in bytes.
SLOW_READ_BYTES = 8192
#: Seconds between two reads of such a caller.
SLOW_READ_INTERVAL_S = 0.05
#: Parts in which a caller sends a body slowly.
SLOW_BODY_PARTS = 8


@dataclass(frozen=True, slots=True)
class CallerBehaviour:
    """How a caller behaves.

    ``keeps_connections`` is set if it reuses connections, ``reads_slowly`` if it reads responses
    slowly. ``body_send_s`` is how long it takes to send a body, 0 if it sends the body at once.
    ``address_lifetimes`` is how many lifetimes it uses addresses for. ``max_wait_s`` is the longest
    time after which it disconnects, 0 if it always waits until its deadline.
    """

    keeps_connections: bool = True
    reads_slowly: bool = False
    body_send_s: float = 0
    address_lifetimes: int = 1
    max_wait_s: float = 0


@dataclass(slots=True)
class Connection:
    """A connection from a caller to an entry."""

    endpoint: Endpoint
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def connect(endpoint: Endpoint, behaviour: CallerBehaviour) -> Connection:
    """Open a connection.

    :param endpoint: address of an entry.
    :param behaviour: how the caller behaves.
    :return: the connection.
    :raises OSError: if the connection can't be opened in time.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)  # noqa: WPS425 (the only argument of the call)
    limit = READ_BYTES
    if behaviour.reads_slowly:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES)
        limit = SLOW_READ_BYTES
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().sock_connect(sock, (endpoint.address, endpoint.port))
    except OSError:
        sock.close()
        raise
    reader, writer = await asyncio.open_connection(sock=sock, limit=limit)
    return Connection(endpoint, reader, writer)


@dataclass(slots=True)
class CallerExchange:
    """Sends one request and reads its response.

    ``headers`` and ``parts`` hold the response's headers and the parts of its body. ``reusable`` is
    set if the connection can serve another request, ``closed`` once the entry has closed it.
    """

    connection: Connection
    attempt: Attempt
    behaviour: CallerBehaviour
    machine: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    headers: dict[str, str] = field(default_factory=dict)
    parts: list[bytes] = field(default_factory=list)
    reusable: bool = False
    closed: bool = False

    async def run(self, body: bytes) -> None:
        """Send the request, read the response and check it, at most until the caller disconnects.

        :param body: request body.
        """
        clock = asyncio.get_running_loop().time
        attempt = self.attempt
        try:
            async with asyncio.timeout_at(self.disconnect_time()):
                await self.send_and_receive(body)
        except TimeoutError:
            attempt.left = True
        except OSError:
            self.closed = True
        except h11.RemoteProtocolError as error:
            # A response that the close of the connection cut short is incomplete, but not wrong.
            attempt.wrong = '' if self.closed else f'response is not valid HTTP: {error}'
        attempt.ended = clock()
        if HTTPStatus.OK <= attempt.status < HTTPStatus.MULTIPLE_CHOICES and not attempt.wrong:
            self.check_response()

    def disconnect_time(self) -> float:
        """Return when the caller disconnects; a random time that the attempt's id seeds.

        :return: monotonic seconds; the deadline if the caller waits.
        """
        attempt = self.attempt
        if not self.behaviour.max_wait_s:
            return attempt.deadline
        wait_s = random.Random(attempt.id).uniform(0, self.behaviour.max_wait_s)
        return min(attempt.deadline, attempt.began + wait_s)

    async def send_and_receive(self, body: bytes) -> None:
        """Send the request while reading the response.

        :param body: request body.
        """
        writer = self.connection.writer
        writer.write(self.request_head(body))
        read_task = asyncio.create_task(self.read_response())
        with ExitStack() as stack:
            stack.callback(read_task.cancel)
            read_task.add_done_callback(_retrieve_exception)
            await self.send_body(body)
            await read_task

    def request_head(self, body: bytes) -> bytes:
        """Encode the request line and the headers.

        :param body: request body.
        :return: bytes to send.
        """
        attempt = self.attempt
        time_left_s = attempt.deadline - attempt.began
        headers = [
            ('Host', ROUTE_HOST),
            (names.ATTEMPT_ID, attempt.id),
            (names.DEADLINE_MS, str(int(time_left_s * MS_PER_S))),
            (names.API_KEY, attempt.key),
        ]
        if attempt.kind is RequestKind.draft:
            headers.append((names.MODEL, MODEL))
            headers.append((names.TOKEN_COUNTS, f'{attempt.size},{MAX_RESPONSE_TOKENS}'))
            headers.append((names.PROMPT_SEGMENTS, attempt.prompt))
        if attempt.kind is not RequestKind.lookup:
            headers.append(('Content-Length', str(len(body))))
        method = 'GET' if attempt.kind is RequestKind.lookup else 'POST'
        request = h11.Request(method=method, target=attempt.target, headers=headers)
        return self.machine.send(request) or b''

    async def send_body(self, body: bytes) -> None:
        """Send the body, in parts and slowly if the caller behaves so.

        :param body: request body.
        """
        writer = self.connection.writer
        parts = SLOW_BODY_PARTS if self.behaviour.body_send_s and body else 1
        size = len(body) // parts + 1
        for offset in range(0, len(body), size):
            writer.write(self.machine.send(h11.Data(body[offset : offset + size])) or b'')
            await writer.drain()
            await asyncio.sleep(
                self.behaviour.body_send_s / parts if offset + size < len(body) else 0
            )
        writer.write(self.machine.send(h11.EndOfMessage()) or b'')
        self.attempt.sent = asyncio.get_running_loop().time()

    async def read_response(self) -> None:
        """Read the response up to its end."""
        attempt = self.attempt
        while not attempt.whole:
            event = self.machine.next_event()
            match event:
                case h11.NEED_DATA:
                    await self.receive()
                case h11.Response():
                    attempt.status = event.status_code
                    self.headers = {
                        name.decode().lower(): value.decode() for name, value in event.headers
                    }
                case h11.Data(data=content):
                    self.parts.append(bytes(content))
                    attempt.received += len(content)
                case h11.EndOfMessage():
                    attempt.whole = True
                case _:
                    return
        request_sent = self.machine.our_state is h11.DONE
        self.reusable = request_sent and self.machine.their_state is h11.DONE

    async def receive(self) -> None:
        """Read the next bytes and pass them to the HTTP parser."""
        size = READ_BYTES
        if self.behaviour.reads_slowly:
            await asyncio.sleep(SLOW_READ_INTERVAL_S)
            size = SLOW_READ_BYTES
        data = await self.connection.reader.read(size)
        self.closed = not data
        self.machine.receive_data(data)

    def check_response(self) -> None:
        """Compare a response that has a status of success with the expected one."""
        attempt = self.attempt
        expected = expected_body(
            attempt.kind, attempt.id, attempt.digest, WorkSpec.parse(attempt.target)
        )
        body = b''.join(self.parts)
        attempt.wrong = response_error(
            attempt.id, self.headers, body, expected, is_complete=attempt.whole
        )


def _retrieve_exception(read_task: asyncio.Task[None]) -> None:
    if not read_task.cancelled():
        read_task.exception()


__all__ = (
    'ROUTE_HOST',
    'MODEL',
    'CallerExchange',
    'Connection',
    'CallerBehaviour',
    'connect',
)
