"""A backend server whose responses never end."""

from __future__ import annotations

import asyncio
import ctypes
import gc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing, suppress
from dataclasses import dataclass, field
from enum import StrEnum

from scripted_replicas import ADDRESS, redirect_replicas

from cassiahitch.direct.entry import DirectEntry

FILLER = b'x' * 65_536
SEAL_HEADER = 'X-Cassiahitch-Response-Seal: s\r\n'


class EndlessPart(StrEnum):
    """The part of a response that never ends."""

    unframed_body = 'unframed_body'
    chunked_body = 'chunked_body'
    failure = 'failure'
    foreign_body = 'foreign_body'
    refusal = 'refusal'
    head = 'head'
    header_line = 'header_line'
    interim_heads = 'interim_heads'
    event = 'event'
    unsealed_body = 'unsealed_body'
    chunk_size = 'chunk_size'
    trailers = 'trailers'
    interim_line = 'interim_line'


def response_parts(kind: EndlessPart, attempt: str) -> tuple[bytes, bytes]:
    """Return the bytes that are sent once, and those that are then sent repeatedly."""
    attempt_header = f'X-Cassiahitch-Attempt-Id: {attempt}\r\n'
    ok = f'HTTP/1.1 200 OK\r\n{attempt_header}{SEAL_HEADER}'
    match kind:
        case EndlessPart.unframed_body | EndlessPart.event:
            start = f'{ok}\r\n'
        case EndlessPart.chunked_body:
            chunk = b'%x\r\n%b\r\n' % (len(FILLER), FILLER)
            return f'{ok}Transfer-Encoding: chunked\r\n\r\n'.encode(), chunk
        case EndlessPart.failure:
            start = f'HTTP/1.1 500 Failed\r\n{attempt_header}{SEAL_HEADER}\r\n'
        case EndlessPart.foreign_body:
            start = f'HTTP/1.1 200 OK\r\nX-Cassiahitch-Attempt-Id: other\r\n{SEAL_HEADER}\r\n'
        case EndlessPart.refusal:
            start = f'HTTP/1.1 503 Busy\r\n{attempt_header}X-Cassiahitch-Not-Executed: 1\r\n\r\n'
        case EndlessPart.head:
            return ok.encode(), b'X-Other: 1\r\n' * 999
        case EndlessPart.header_line:
            start = f'{ok}X-Long: '
        case EndlessPart.interim_heads:
            return b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 99
        case EndlessPart.unsealed_body:
            start = f'HTTP/1.1 200 OK\r\n{attempt_header}\r\n'
        case EndlessPart.chunk_size:
            return f'{ok}Transfer-Encoding: chunked\r\n\r\n'.encode(), b'0' * 65_536
        case EndlessPart.trailers:
            last_chunk = f'{ok}Transfer-Encoding: chunked\r\n\r\n0\r\n'
            return last_chunk.encode(), b'X-Other: 1\r\n' * 999
        case EndlessPart.interim_line:
            start = 'HTTP/1.1 102 Processing\r\nX-Long: '
    return start.encode(), FILLER


@dataclass
class EndlessServer:
    """Sends endless responses; ``sent`` counts the bytes that its clients accepted."""

    kind: EndlessPart
    sent: int = 0
    requests: int = 0
    tasks: set[asyncio.Task[None] | None] = field(default_factory=set)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.tasks.add(asyncio.current_task())
        with closing(writer), suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            _, _, rest = head.decode().partition('X-Cassiahitch-Attempt-Id: ')
            first, repeated = response_parts(self.kind, rest.partition('\r\n')[0])
            writer.write(first)
            while True:
                writer.write(repeated)
                await writer.drain()
                self.sent += len(repeated)
                await asyncio.sleep(0)


@asynccontextmanager
async def serve_endless(entry: DirectEntry, kind: EndlessPart) -> AsyncIterator[EndlessServer]:
    """Replace all backend servers in the replica registry of an entry by an endless server."""
    endless_server = EndlessServer(kind)
    server = await asyncio.start_server(endless_server.accept, ADDRESS, 0)
    port = server.sockets[0].getsockname()[1]
    redirect_replicas(entry, port)
    try:
        yield endless_server
    finally:
        server.close()
        for task in endless_server.tasks:
            if task is not None:
                task.cancel()


def release_free_memory() -> None:
    """Return free memory to the system, so that what earlier tests freed does not hide a growth."""
    gc.collect()
    trim = getattr(ctypes.CDLL(None), 'malloc_trim', None)
    if trim is not None:
        trim(0)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open('/proc/self/statm', encoding='ascii') as file:
        return int(file.read().split()[1]) * 4096
