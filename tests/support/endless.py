"""Backend servers that send bytes without end."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace
from enum import StrEnum

from cassiahitch.direct.entry import DirectEntry
from cassiahitch.util.endpoints import Endpoint

ADDRESS = '127.0.0.1'
PIECE = b'x' * 65_536
SEALED = 'X-Cassiahitch-Response-Seal: s\r\n'


class EndlessPart(StrEnum):
    """What has no end."""

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


def parts_of(kind: EndlessPart, attempt: str) -> tuple[bytes, bytes]:
    """Return what is sent first, and what is sent again and again."""
    own = f'X-Cassiahitch-Attempt-Id: {attempt}\r\n'
    ok = f'HTTP/1.1 200 OK\r\n{own}{SEALED}'
    match kind:
        case EndlessPart.unframed_body | EndlessPart.event:
            start = f'{ok}\r\n'
        case EndlessPart.chunked_body:
            chunk = b'%x\r\n%b\r\n' % (len(PIECE), PIECE)
            return f'{ok}Transfer-Encoding: chunked\r\n\r\n'.encode(), chunk
        case EndlessPart.failure:
            start = f'HTTP/1.1 500 Failed\r\n{own}{SEALED}\r\n'
        case EndlessPart.foreign_body:
            start = f'HTTP/1.1 200 OK\r\nX-Cassiahitch-Attempt-Id: other\r\n{SEALED}\r\n'
        case EndlessPart.refusal:
            start = f'HTTP/1.1 503 Busy\r\n{own}X-Cassiahitch-Not-Executed: 1\r\n\r\n'
        case EndlessPart.head:
            return ok.encode(), b'X-Other: 1\r\n' * 999
        case EndlessPart.header_line:
            start = f'{ok}X-Long: '
        case EndlessPart.interim_heads:
            return b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 99
        case EndlessPart.unsealed_body:
            start = f'HTTP/1.1 200 OK\r\n{own}\r\n'
        case EndlessPart.chunk_size:
            return f'{ok}Transfer-Encoding: chunked\r\n\r\n'.encode(), b'0' * 65_536
    return start.encode(), PIECE


@dataclass
class EndlessServer:
    """Counts what it got rid of."""

    kind: EndlessPart
    sent: int = 0
    requests: int = 0
    tasks: set[asyncio.Task[None] | None] = field(default_factory=set)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.tasks.add(asyncio.current_task())
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            _, _, rest = head.decode().partition('X-Cassiahitch-Attempt-Id: ')
            first, again = parts_of(self.kind, rest.partition('\r\n')[0])
            writer.write(first)
            while True:
                writer.write(again)
                await writer.drain()
                self.sent += len(again)
                await asyncio.sleep(0)
        writer.close()


@asynccontextmanager
async def serve_endless(entry: DirectEntry, kind: EndlessPart) -> AsyncIterator[EndlessServer]:
    """Put such a server in the place of all backend servers that an entry knows."""
    own = EndlessServer(kind)
    server = await asyncio.start_server(own.accept, ADDRESS, 0)
    port = server.sockets[0].getsockname()[1]
    book = entry.parts.entry_state.replicas
    for key, one in tuple(book.replicas.items()):
        book.replicas[key] = replace(one, endpoint=Endpoint(ADDRESS, port))
    try:
        yield own
    finally:
        server.close()
        for task in own.tasks:
            if task is not None:
                task.cancel()


def resident_bytes() -> int:
    """Return the memory of this process."""
    with open('/proc/self/statm', encoding='ascii') as file:
        return int(file.read().split()[1]) * 4096
