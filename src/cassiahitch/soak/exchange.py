"""One attempt of a caller on a connection to an entry."""

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
HOST = 'menus.example'
MODEL = 'm1'
#: Tokens of an answer at most.
ANSWER_TOKENS = 30
READ_BYTES = 65_536
#: Seconds for which a new connection may take.
CONNECT_S = 1.0
#: Buffer of a connection whose caller reads slowly, and what it reads at once, in bytes.
SLOW_BYTES = 8192
#: Seconds between two reads of such a caller.
SLOW_READ_S = 0.05
#: Parts in which a body is sent slowly.
SLOW_PARTS = 8


@dataclass(frozen=True, slots=True)
class CallerBehaviour:
    """How a caller behaves; ``body_send_s`` is the time in which it sends a body.

    ``keeps_connections`` says that it keeps connections open, ``reads_slowly`` that it takes answers slowly,
    ``address_lifetimes`` for how many lifetimes it keeps addresses. ``max_wait_s`` is the longest time
    after which it leaves, 0 if it waits to its deadline.
    """

    keeps_connections: bool = True
    reads_slowly: bool = False
    body_send_s: float = 0
    address_lifetimes: int = 1
    max_wait_s: float = 0


@dataclass(slots=True)
class Connection:
    """A connection of a caller to an entry."""

    endpoint: Endpoint
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def close(self) -> None:
        """Close it."""
        self.writer.close()


async def connect(endpoint: Endpoint, manner: CallerBehaviour) -> Connection:
    """Open a connection.

    :param endpoint: an entry.
    :param manner: how the caller behaves.
    :return: the connection.
    :raises OSError: if there is none in time.
    """
    own = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    own.setblocking(False)  # noqa: WPS425 (the only argument of the call)
    limit = READ_BYTES
    if manner.reads_slowly:
        own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BYTES)
        limit = SLOW_BYTES
    try:
        async with asyncio.timeout(CONNECT_S):
            await asyncio.get_running_loop().sock_connect(own, (endpoint.address, endpoint.port))
    except OSError:
        own.close()
        raise
    reader, writer = await asyncio.open_connection(sock=own, limit=limit)
    return Connection(endpoint, reader, writer)


@dataclass(slots=True)
class CallerExchange:
    """Sends one attempt and reads its answer; ``reusable`` once the connection may go on."""

    connection: Connection
    attempt: Attempt
    manner: CallerBehaviour
    machine: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    headers: dict[str, str] = field(default_factory=dict)
    parts: list[bytes] = field(default_factory=list)
    reusable: bool = False
    closed: bool = False

    async def run(self, body: bytes) -> None:
        """Send, read and judge; ends at the deadline at the latest.

        :param body: body of the request.
        """
        clock = asyncio.get_running_loop().time
        attempt = self.attempt
        try:
            async with asyncio.timeout_at(self.leaves_at()):
                await self.serve_connection(body)
        except TimeoutError:
            attempt.left = True
        except OSError:
            self.closed = True
        except h11.RemoteProtocolError as error:
            # An end that comes too early is no wrong answer.
            attempt.wrong = '' if self.closed else f'no answer of the protocol: {error}'
        attempt.ended = clock()
        if HTTPStatus.OK <= attempt.status < HTTPStatus.MULTIPLE_CHOICES and not attempt.wrong:
            self.judge()

    def leaves_at(self) -> float:
        """Return when the caller leaves, as its request draws it.

        :return: seconds, its deadline if it waits.
        """
        attempt = self.attempt
        if not self.manner.max_wait_s:
            return attempt.deadline
        caller_timeout_s = random.Random(attempt.id).uniform(0, self.manner.max_wait_s)
        return min(attempt.deadline, attempt.began + caller_timeout_s)

    async def serve_connection(self, body: bytes) -> None:
        """Send the request and read the answer.

        :param body: body of the request.
        """
        writer = self.connection.writer
        writer.write(self.start(body))
        reading = asyncio.create_task(self.read())
        with ExitStack() as stack:
            stack.callback(reading.cancel)
            reading.add_done_callback(_retrieve)
            await self.send(body)
            await reading

    def start(self, body: bytes) -> bytes:
        """Return the start of the request.

        :param body: body of the request.
        :return: bytes.
        """
        attempt = self.attempt
        left_s = attempt.deadline - attempt.began
        headers = [
            ('Host', HOST),
            (names.ATTEMPT_ID, attempt.id),
            (names.DEADLINE_MS, str(int(left_s * MS_PER_S))),
            (names.API_KEY, attempt.key),
        ]
        if attempt.kind is RequestKind.draft:
            headers.append((names.MODEL, MODEL))
            headers.append((names.TOKEN_COUNTS, f'{attempt.size},{ANSWER_TOKENS}'))
        if attempt.kind is not RequestKind.lookup:
            headers.append(('Content-Length', str(len(body))))
        method = 'GET' if attempt.kind is RequestKind.lookup else 'POST'
        request = h11.Request(method=method, target=attempt.target, headers=headers)
        return self.machine.send(request) or b''

    async def send(self, body: bytes) -> None:
        """Send the body, in parts if the caller is slow.

        :param body: body of the request.
        """
        writer = self.connection.writer
        parts = SLOW_PARTS if self.manner.body_send_s and body else 1
        size = len(body) // parts + 1
        for start in range(0, len(body), size):
            writer.write(self.machine.send(h11.Data(body[start : start + size])) or b'')
            await writer.drain()
            await asyncio.sleep(self.manner.body_send_s / parts if start + size < len(body) else 0)
        writer.write(self.machine.send(h11.EndOfMessage()) or b'')
        self.attempt.sent = asyncio.get_running_loop().time()

    async def read(self) -> None:
        """Read the answer to its end."""
        attempt = self.attempt
        while not attempt.whole:
            event = self.machine.next_event()
            match event:
                case h11.NEED_DATA:
                    await self.receive()
                case h11.Response():
                    attempt.status = event.status_code
                    self.headers = {
                        name.decode().lower(): text.decode() for name, text in event.headers
                    }
                case h11.Data(data=content):
                    self.parts.append(bytes(content))
                    attempt.received += len(content)
                case h11.EndOfMessage():
                    attempt.whole = True
                case _:
                    return
        sent = self.machine.our_state is h11.DONE
        self.reusable = sent and self.machine.their_state is h11.DONE

    async def receive(self) -> None:
        """Take the next bytes."""
        size = READ_BYTES
        if self.manner.reads_slowly:
            await asyncio.sleep(SLOW_READ_S)
            size = SLOW_BYTES
        data = await self.connection.reader.read(size)
        self.closed = not data
        self.machine.receive_data(data)

    def judge(self) -> None:
        """Compare a success with the right answer."""
        attempt = self.attempt
        expected = expected_body(
            attempt.kind, attempt.id, attempt.digest, WorkSpec.parse(attempt.target)
        )
        body = b''.join(self.parts)
        attempt.wrong = response_error(
            attempt.id, self.headers, body, expected, whole=attempt.whole
        )


def _retrieve(reading: asyncio.Task[None]) -> None:
    if not reading.cancelled():
        reading.exception()


__all__ = (
    'HOST',
    'MODEL',
    'CallerExchange',
    'Connection',
    'CallerBehaviour',
    'connect',
)
