"""Backend servers whose responses a test scripts, in place of all replicas of an entry."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any

from cassiahitch.direct.entry import DirectEntry
from cassiahitch.standins.directsite import DirectSite
from cassiahitch.standins.responses import reset
from cassiahitch.util.endpoints import Endpoint

ADDRESS = '127.0.0.1'
ATTEMPT_HEADER = 'X-Cassiahitch-Attempt-Id'
SEAL = 'X-Cassiahitch-Response-Seal: seal'
NOT_RUN = 'X-Cassiahitch-Not-Executed: 1'
CHUNKED = 'Transfer-Encoding: chunked'
EVENT_TYPE = 'Content-Type: text/event-stream'
#: Time until written bytes are received, in seconds.
SETTLE_S = 0.02
LAST_CHUNK = b'0\r\n\r\n'
#: Path prefix of the route whose streams may not be resumed.
ONCE_STREAM_PREFIX = '/draft/once/'


def head(status: str, *headers: str) -> bytes:
    """Return the head of a response.

    :param status: status code and reason phrase.
    :param headers: header lines.
    :return: the bytes.
    """
    return '\r\n'.join((f'HTTP/1.1 {status}', *headers, '', '')).encode()


def response(status: str, body: bytes, *headers: str) -> bytes:
    """Return a complete response.

    :param status: status code and reason phrase.
    :param body: the body.
    :param headers: header lines.
    :return: the bytes.
    """
    return head(status, *headers, f'Content-Length: {len(body)}') + body


def chunk(data: bytes) -> bytes:
    """Return bytes as one chunk of a body.

    :param data: the bytes.
    :return: the chunk.
    """
    return b'%x\r\n%b\r\n' % (len(data), data)


def event(number: int) -> bytes:
    """Return an event of a stream.

    :param number: its id.
    :return: the bytes.
    """
    return b'id: %d\ndata: event %d\n\n' % (number, number)


def events(first: int, last: int) -> bytes:
    """Return consecutive events of a stream.

    :param first: id of the first one.
    :param last: id of the last one.
    :return: the bytes.
    """
    return b''.join(event(number) for number in range(first, last + 1))


@dataclass
class ScriptedRequest:
    """A request at a scripted backend server.

    ``earlier`` has the ids of the attempts that its connection carried before, ``sent_count`` is
    how often the request was sent, this time included.
    """

    path: str
    headers: dict[str, str]
    earlier: tuple[str, ...]
    sent_count: int
    writer: asyncio.StreamWriter

    @property
    def attempt(self) -> str:
        """The id of the attempt."""
        return self.headers[ATTEMPT_HEADER.lower()]

    @property
    def attempt_line(self) -> str:
        """The header line that repeats the id of the attempt."""
        return f'{ATTEMPT_HEADER}: {self.attempt}'

    @property
    def last_event_id(self) -> int:
        """The id of the event after which a stream goes on."""
        return int(self.headers.get('last-event-id', 0))

    def write(self, *parts: bytes) -> None:
        """Write bytes to the connection."""
        self.writer.write(b''.join(parts))

    async def settle(self) -> None:
        """Wait until the entry has received what was written."""
        await self.writer.drain()
        await asyncio.sleep(SETTLE_S)

    def close(self) -> None:
        """Close the connection regularly."""
        self.writer.close()

    def reset(self) -> None:
        """Reset the connection."""
        reset(self.writer)


#: Responds to a request; the connection serves the next one when it returns.
Script = Callable[[ScriptedRequest], Awaitable[None]]


@dataclass
class ScriptedServer:
    """Serves requests by a script; ``sent_counts`` counts them by the ids of their attempts."""

    script: Script
    sent_counts: Counter[str] = field(default_factory=Counter)
    tasks: set[asyncio.Task[Any] | None] = field(default_factory=set)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        self.tasks.add(asyncio.current_task())
        earlier: list[str] = []
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while not writer.is_closing():
                request = await self.read(reader, writer, tuple(earlier))
                await self.script(request)
                earlier.append(request.attempt)
        writer.close()

    async def read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, earlier: tuple[str, ...]
    ) -> ScriptedRequest:
        """Read the next request of a connection."""
        lines = (await reader.readuntil(b'\r\n\r\n')).decode().splitlines()
        pairs = (line.partition(': ') for line in lines[1:] if line)
        headers = {name.lower(): text for name, _, text in pairs}
        await reader.readexactly(int(headers.get('content-length', 0)))
        request = ScriptedRequest(lines[0].split()[1], headers, earlier, 0, writer)
        self.sent_counts[request.attempt] += 1
        request.sent_count = self.sent_counts[request.attempt]
        return request

    async def stop(self) -> None:
        """End all connections."""
        tasks = [task for task in self.tasks if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Framing(StrEnum):
    """How a response shows where it ends."""

    connection = 'connection'
    chunks = 'chunks'
    length = 'length'


def write_stream(request: ScriptedRequest, body: bytes, framing: Framing) -> None:
    """Write a whole response with events; it ends regularly as far as its framing shows.

    :param request: the request to respond to.
    :param body: the events.
    :param framing: how the response shows where it ends.
    """
    lines = (request.attempt_line, SEAL, EVENT_TYPE)
    match framing:
        case Framing.connection:
            request.write(head('200 OK', *lines), body)
            request.close()
        case Framing.chunks:
            body_chunk = chunk(body) if body else b''
            request.write(head('200 OK', *lines, CHUNKED), body_chunk, LAST_CHUNK)
        case Framing.length:
            request.write(head('200 OK', *lines, f'Content-Length: {len(body)}'), body)


def redirect_replicas(entry: DirectEntry, port: int) -> None:
    """Replace the endpoints of all replicas in the registry of an entry.

    :param entry: the entry.
    :param port: port of the server that takes their place.
    """
    registry = entry.parts.entry_state.replicas
    for key, replica in tuple(registry.replicas.items()):
        registry.replicas[key] = replace(replica, endpoint=Endpoint(ADDRESS, port))


@asynccontextmanager
async def serve_script(entry: DirectEntry, script: Script) -> AsyncIterator[ScriptedServer]:
    """Replace all backend servers in the registry of an entry by a scripted server.

    :param entry: the entry.
    :param script: responds to each request.
    :yield: the server.
    """
    scripted_server = ScriptedServer(script)
    server = await asyncio.start_server(scripted_server.accept, ADDRESS, 0)
    redirect_replicas(entry, server.sockets[0].getsockname()[1])
    try:
        yield scripted_server
    finally:
        server.close()
        await scripted_server.stop()


async def add_once_stream_route(site: DirectSite) -> None:
    """Add a route whose streams may not be resumed, and wait until the first entry has it.

    :param site: the site.
    """
    routes = site.configuration['routes']
    draft = next(route for route in routes if route['name'] == 'draft')
    once = {
        **draft,
        'name': 'draft-once',
        'prefix': ONCE_STREAM_PREFIX,
        'maxAttempts': 1,
        'streamResume': False,
    }
    site.update_configuration(routes=[once, *routes])
    entry_state = site.entries[0].parts.entry_state
    while (
        entry_state.catalogue is None
        or entry_state.catalogue.version < site.configuration['version']
    ):
        await asyncio.sleep(0.02)


__all__ = (
    'ADDRESS',
    'ATTEMPT_HEADER',
    'CHUNKED',
    'EVENT_TYPE',
    'LAST_CHUNK',
    'NOT_RUN',
    'ONCE_STREAM_PREFIX',
    'SEAL',
    'Framing',
    'ScriptedRequest',
    'ScriptedServer',
    'add_once_stream_route',
    'chunk',
    'event',
    'events',
    'head',
    'redirect_replicas',
    'response',
    'serve_script',
    'write_stream',
)
