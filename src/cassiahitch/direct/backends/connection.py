"""A TCP connection to a backend server that carries one request at a time."""

from __future__ import annotations

import asyncio
import socket
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any

from tornado.iostream import IOStream, StreamClosedError

from cassiahitch.util.sockets import reset_on_close

if TYPE_CHECKING:
    from cassiahitch.direct.state.replicas import Replica

#: Maximum bytes of one read.
MAX_READ_BYTES = 65_536
#: Milliseconds after which unacknowledged bytes break a connection (TCP_USER_TIMEOUT).
UNACKNOWLEDGED_TIMEOUT_MS = 1500
#: Seconds without traffic before the first TCP keepalive probe, and between probes.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Refusals after which a connection is not used again, so that few attempt ids are remembered.
MAX_REFUSALS = 64


class ConnectFailed(Exception):
    """No connection could be opened, so nothing was sent.

    ``refused`` if the host is alive, but no process listens on the port; ``reset`` if the process
    closed the connection at once, as one does that has too many.
    """

    def __init__(self, detail: str, *, refused: bool, reset: bool = False) -> None:
        """Create the error.

        :param detail: the reason, in one line.
        :param refused: whether the host refused the connection.
        :param reset: whether the process reset the connection.
        """
        super().__init__(detail)
        self.refused = refused
        self.reset = reset


class ConnectionBroken(Exception):
    """The connection was reset or timed out, instead of being closed regularly."""


class BackendConnection:
    """Owns the socket of a connection.

    A connection that receives bytes while no request is in flight is not used again.
    ``refused_ids`` has the ids of the attempts that were refused on it: such a refusal may arrive
    once more, and the id could not tell it from the response to the same attempt sent again.
    """

    def __init__(self, stream: IOStream, replica: Replica) -> None:
        """Wrap a connected stream.

        :param stream: the stream; the connection closes it.
        :param replica: the backend server at its other end.
        """
        self.stream = stream
        self.replica = replica
        self.requests = 0
        self.refused_ids: set[str] = set()
        self.idle_since: float = 0
        self.idle_limit_s: float = 0
        self.pending_read: asyncio.Future[bytes] | None = None

    @property
    def closed(self) -> bool:
        """Whether the socket is closed."""
        return bool(self.stream.closed())

    def can_reuse(self) -> bool:
        """Return whether the connection is open and received nothing since the last response.

        :return: whether it may carry another request.
        """
        is_silent = self.pending_read is None or not self.pending_read.done()
        return not self.closed and is_silent and len(self.refused_ids) < MAX_REFUSALS

    def start_read(self) -> asyncio.Future[bytes]:
        """Start a read, so that a close or unexpected bytes are detected while it is idle.

        :return: done when bytes were received, or the peer closed the connection.
        """
        if self.pending_read is None:
            self.pending_read = asyncio.ensure_future(_read(self.stream))
            self.pending_read.add_done_callback(_retrieve_exception)
        return self.pending_read

    def write(self, data: bytes) -> asyncio.Future[None]:
        """Start to write bytes to the socket; from now on they count as sent.

        :param data: the bytes.
        :return: done when all bytes were written to the socket.
        """
        written = asyncio.ensure_future(_write(self.stream, data))
        written.add_done_callback(_retrieve_exception)
        return written

    async def read(self) -> bytes:
        """Return the next bytes.

        :return: at least one byte, or none once the peer closed the connection regularly.
        :raises ConnectionBroken: if the connection was reset or timed out.
        """
        data = await asyncio.shield(self.start_read())
        self.pending_read = None
        return data

    def close(self) -> None:
        """Close the socket; the server drops a request that still runs on it."""
        self.stream.close()
        if self.pending_read is not None:
            self.pending_read.cancel()

    def abort(self) -> None:
        """Reset the connection, so that bytes not yet received by the server are discarded."""
        if not self.closed:
            reset_on_close(self.stream.socket)
        self.close()


async def _read(stream: IOStream) -> bytes:
    try:
        return bytes(await stream.read_bytes(MAX_READ_BYTES, partial=True))
    except StreamClosedError as error:
        if error.real_error is None:
            return b''
        raise ConnectionBroken(str(error.real_error)) from error


async def _write(stream: IOStream, data: bytes) -> None:
    try:
        await stream.write(data)
    except StreamClosedError as error:
        raise ConnectionBroken('the connection was closed while the request was written') from error


def _retrieve_exception(future: asyncio.Future[Any]) -> None:
    # Marks the exception as retrieved: if no task awaits it, the next use finds the stream closed.
    if not future.cancelled():
        future.exception()


async def connect(replica: Replica, timeout_s: float) -> BackendConnection:
    """Open a connection to a backend server.

    :param replica: the backend server.
    :param timeout_s: seconds after which the attempt to connect fails.
    :return: the connection.
    :raises ConnectFailed: if it could not be opened; nothing was sent then.
    """
    endpoint = replica.endpoint
    with ExitStack() as stack:
        tcp_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        stream = IOStream(_with_options(tcp_socket))
        stack.callback(stream.close)
        try:
            async with asyncio.timeout(timeout_s):
                await stream.connect((endpoint.address, endpoint.port))
        except TimeoutError:
            raise ConnectFailed('timed out while connecting', refused=False) from None
        except StreamClosedError as error:
            refused = isinstance(error.real_error, ConnectionRefusedError)
            reset = isinstance(error.real_error, ConnectionResetError)
            raise ConnectFailed(str(error.real_error), refused=refused, reset=reset) from error
        stack.pop_all()
    return BackendConnection(stream, replica)


def _with_options(tcp_socket: socket.socket) -> socket.socket:
    options = (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in options:
        tcp_socket.setsockopt(socket.IPPROTO_TCP, option, setting)
    return tcp_socket


__all__ = (
    'MAX_REFUSALS',
    'BackendConnection',
    'ConnectFailed',
    'ConnectionBroken',
    'connect',
)
