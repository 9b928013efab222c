"""A connection to a backend server that carries one request at a time."""

from __future__ import annotations

import asyncio
import socket
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any

from tornado.iostream import IOStream, StreamClosedError

from cassiahitch.util.sockets import reset_on_close

if TYPE_CHECKING:
    from cassiahitch.direct.state.replicas import Replica

#: Largest piece that is read at once, in bytes.
READ_BYTES = 65_536
#: Milliseconds after which bytes that the peer does not acknowledge break a connection.
UNACKNOWLEDGED_MS = 1500
#: Seconds after which a connection without traffic is probed, and between probes.
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2


class ConnectFailed(Exception):
    """No connection could be opened, so nothing was sent.

    ``refused`` tells that the host lives but nothing listens there.
    """

    def __init__(self, detail: str, *, refused: bool) -> None:
        """Create the error.

        :param detail: one line.
        :param refused: whether the host answered.
        """
        super().__init__(detail)
        self.refused = refused


class ConnectionBroken(Exception):
    """The connection broke off in a way that is no proper end."""


class BackendConnection:
    """Owns the socket; bytes that come while no request waits make it unusable."""

    def __init__(self, stream: IOStream, replica: Replica) -> None:
        """Create it around a connected stream.

        :param stream: the stream, which it closes.
        :param replica: the backend server at its other end.
        """
        self.stream = stream
        self.replica = replica
        self.requests = 0
        self.idle_since: float = 0
        self.idle_limit_s: float = 0
        self.pending: asyncio.Future[bytes] | None = None

    @property
    def closed(self) -> bool:
        """Whether it can no longer be used."""
        return bool(self.stream.closed())

    def can_reuse(self) -> bool:
        """Tell whether nothing came since the last answer.

        :return: whether it may carry another request.
        """
        return not self.closed and (self.pending is None or not self.pending.done())

    def watch(self) -> asyncio.Future[bytes]:
        """Start to read, so that an end or stray bytes are noticed while it is idle.

        :return: done when something came.
        """
        if self.pending is None:
            self.pending = asyncio.ensure_future(_read(self.stream))
            self.pending.add_done_callback(_retrieve)
        return self.pending

    def write(self, data: bytes) -> asyncio.Future[None]:
        """Hand bytes to the socket; from now on they count as sent.

        :param data: the bytes.
        :return: done when the socket has taken all of them.
        """
        written = asyncio.ensure_future(_write(self.stream, data))
        written.add_done_callback(_retrieve)
        return written

    async def read(self) -> bytes:
        """Return the next bytes.

        :return: at least one byte, or none at a proper end.
        :raises ConnectionBroken: if it was reset or timed out.
        """
        data = await asyncio.shield(self.watch())
        self.pending = None
        return data

    def close(self) -> None:
        """Close the socket; a request that runs on it is dropped by its server."""
        self.stream.close()
        if self.pending is not None:
            self.pending.cancel()

    def abort(self) -> None:
        """Reset the connection, so that what its server has not got yet of a request is dropped."""
        if not self.closed:
            reset_on_close(self.stream.socket)
        self.close()


async def _read(stream: IOStream) -> bytes:
    try:
        return bytes(await stream.read_bytes(READ_BYTES, partial=True))
    except StreamClosedError as error:
        if error.real_error is None:
            return b''
        raise ConnectionBroken(str(error.real_error)) from error


async def _write(stream: IOStream, data: bytes) -> None:
    try:
        await stream.write(data)
    except StreamClosedError as error:
        raise ConnectionBroken('closed while writing') from error


def _retrieve(future: asyncio.Future[Any]) -> None:
    # An end that nobody waits for is seen when the connection is next used.
    if not future.cancelled():
        future.exception()


async def connect(replica: Replica, timeout_s: float) -> BackendConnection:
    """Open a connection to a backend server.

    :param replica: the backend server.
    :param timeout_s: seconds to wait.
    :return: the connection.
    :raises ConnectFailed: if there is none; nothing was sent then.
    """
    endpoint = replica.endpoint
    with ExitStack() as stack:
        own = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        stream = IOStream(_tuned(own))
        stack.callback(stream.close)
        try:
            async with asyncio.timeout(timeout_s):
                await stream.connect((endpoint.address, endpoint.port))
        except TimeoutError:
            raise ConnectFailed('no answer to connecting', refused=False) from None
        except StreamClosedError as error:
            refused = isinstance(error.real_error, ConnectionRefusedError)
            raise ConnectFailed(str(error.real_error), refused=refused) from error
        stack.pop_all()
    return BackendConnection(stream, replica)


def _tuned(own: socket.socket) -> socket.socket:
    options = (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    own.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in options:
        own.setsockopt(socket.IPPROTO_TCP, option, setting)
    return own


__all__ = (
    'BackendConnection',
    'ConnectFailed',
    'ConnectionBroken',
    'connect',
)
