"""Test callers that send a request and read the response piece by piece."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field
from itertools import count

import direct_callers
import h11

from cassiahitch.direct.entry import DirectEntry
from cassiahitch.standins.configurations import CALLER_API_KEY

#: Receive buffer of a caller that reads slowly, in bytes.
BUFFER_BYTES = 65_536
ATTEMPT_NUMBERS = count()


@dataclass
class SlowCaller:
    """A caller with one connection to an entry."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    machine: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    got: direct_callers.CallerResponse = field(default_factory=direct_callers.CallerResponse)

    async def send(
        self,
        path: str,
        *,
        body: bytes = b'',
        deadline_ms: int = 3000,
        method: str = '',
        chunked: bool = False,
    ) -> None:
        """Send the head of a request and the first half of its body."""
        self.got = direct_callers.CallerResponse(f's{next(ATTEMPT_NUMBERS)}')
        headers = [
            ('Host', 'menus.example'),
            ('X-Cassiahitch-Attempt-Id', self.got.attempt),
            ('X-Cassiahitch-Deadline-Ms', str(deadline_ms)),
            ('X-Cassiahitch-Key', CALLER_API_KEY),
        ]
        if path.startswith('/draft'):
            headers += [('X-Cassiahitch-Model', 'm1'), ('X-Cassiahitch-Token-Count', '100,30')]
        if body:
            framing = ('Transfer-Encoding', 'chunked')
            headers.append(framing if chunked else ('Content-Length', str(len(body))))
        if not method:
            method = 'POST' if body else 'GET'
        request = h11.Request(method=method, target=path, headers=headers)
        self.write(self.machine.send(request))
        self.write(self.machine.send(h11.Data(body[: len(body) // 2])))
        if not body:
            self.write(self.machine.send(h11.EndOfMessage()))

    def send_second_half(self, body: bytes) -> None:
        """Send the second half of the body."""
        self.write(self.machine.send(h11.Data(body[len(body) // 2 :])))
        self.write(self.machine.send(h11.EndOfMessage()))

    def write(self, data: bytes | None) -> None:
        self.writer.write(data or b'')

    async def read_response(self, *, close: bool = True) -> direct_callers.CallerResponse:
        """Read to the end of the response or of the connection."""
        try:
            async with asyncio.timeout(10):
                await direct_callers.read_response(self.machine, self.reader, self.got)
        except (ConnectionError, h11.RemoteProtocolError):
            self.got.complete = False
        if close:
            self.writer.close()
        return self.got


async def connect(entry: DirectEntry) -> SlowCaller:
    client_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    client_socket.setblocking(False)
    callers = entry.settings.callers
    await asyncio.get_running_loop().sock_connect(client_socket, (callers.address, callers.port))
    reader, writer = await asyncio.open_connection(sock=client_socket, limit=BUFFER_BYTES)
    return SlowCaller(reader, writer)
