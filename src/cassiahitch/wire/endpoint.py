"""TCP endpoint of a process: opens and accepts connections and owns them until it closes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from cassiahitch.codes import Code
from cassiahitch.errors import WireError
from cassiahitch.util.listening import bound_port, listen
from cassiahitch.wire.connection import Connection, ConnectionLimits
from cassiahitch.wire.handshake import accept_handshake, dial_handshake

if TYPE_CHECKING:
    from cassiahitch.clock import Clock
    from cassiahitch.wire.api import Process
    from cassiahitch.wire.messages import Hello

#: Timeout of connecting to a peer, and of the handshake with it, in seconds.
HANDSHAKE_TIMEOUT_S = 3


@dataclass(frozen=True, slots=True)
class EndpointSettings:
    """System key and limits of all connections of a process."""

    key: bytes
    limits: ConnectionLimits


class Endpoint(TCPServer):
    """Listens for connections, dials peers and runs every connection as a task."""

    def __init__(self, settings: EndpointSettings, process: Process, clock: Clock) -> None:
        """Create an endpoint.

        :param settings: the system key and the limits of connections.
        :param process: the process that handles received messages.
        :param clock: source of time.
        """
        super().__init__()
        self.settings = settings
        self.process = process
        self.clock = clock
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections: set[Connection] = set()

    def bind_port(self, address: str, port: int) -> int:
        """Start to listen for connections.

        :param address: local IP address.
        :param port: TCP port, 0 for any free one.
        :return: the bound port.
        """
        listener = listen(address, port)
        self.add_socket(listener)
        return bound_port(listener)

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Accept a connection; one whose handshake fails is closed.

        :param stream: stream of the connection.
        :param address: address of the peer.
        """
        with suppress(WireError, StreamClosedError, TimeoutError):
            handshake = accept_handshake(stream, self.settings.key, self.process.hello())
            peer = await self._await_handshake(stream, handshake)
            self._start_connection(stream, peer)

    async def dial(self, address: str, port: int) -> Connection:
        """Open a connection to a peer.

        :param address: IP address.
        :param port: TCP port.
        :return: the connection; a task of the endpoint runs it until it ends.
        :raises WireError: if the peer cannot be reached or refuses the handshake.
        """
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            await asyncio.wait_for(stream.connect((address, port)), HANDSHAKE_TIMEOUT_S)
            handshake = dial_handshake(stream, self.settings.key, self.process.hello())
            peer = await self._await_handshake(stream, handshake)
        except (StreamClosedError, TimeoutError) as error:
            stream.close()
            raise WireError(Code.connection_closed, f'cannot reach {address}:{port}') from error
        return self._start_connection(stream, peer)

    async def announce(self) -> None:
        """Send a heartbeat to all connected peers now."""
        for connection in tuple(self.connections):
            with suppress(WireError):
                await connection.send(self.process.heartbeat())

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop()
        for connection in tuple(self.connections):
            connection.close(WireError(Code.connection_closed, 'this process is stopping'))
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _await_handshake(self, stream: IOStream, handshake: Awaitable[Hello]) -> Hello:
        try:
            return await asyncio.wait_for(handshake, HANDSHAKE_TIMEOUT_S)
        except (StreamClosedError, TimeoutError, WireError):
            stream.close()
            raise

    def _start_connection(self, stream: IOStream, peer: Hello) -> Connection:
        stream.set_nodelay(True)  # noqa: WPS425 the only argument of the call
        connection = Connection(stream, peer, self.clock, self.settings.limits, self.process)
        task = asyncio.create_task(self._run_connection(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return connection

    async def _run_connection(self, connection: Connection) -> None:
        self.connections.add(connection)
        self.process.on_connection_opened(connection)
        reason = await connection.run()
        self.connections.discard(connection)
        self.process.on_connection_ended(connection, reason)


__all__ = (
    'Endpoint',
    'EndpointSettings',
)
