"""Connections from this agent to other agents, opened on demand."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from contextlib import aclosing
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.errors import WireError
from cassiahitch.wire.messages import Locate, PeerAddress

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable, Iterable

    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.endpoint import Endpoint
    from cassiahitch.wire.messages import Message


class PeerPool:
    """Finds other agents through the entries and keeps one connection to each."""

    def __init__(
        self,
        endpoint: Endpoint,
        entries: Callable[[], Iterable[Connection]],
    ) -> None:
        """Create a pool.

        :param endpoint: opens connections.
        :param entries: gives the connections to entries.
        """
        self.endpoint = endpoint
        self.entries = entries
        self.connections: dict[str, Connection] = {}
        self.locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    async def call(self, host: str, message: Message) -> Message:
        """Send a message to a host and wait for its reply.

        :param host: the host of the other agent.
        :param message: the message.
        :return: the reply.
        :raises WireError: if the host cannot be reached.
        """
        connection = await self._connection(host)
        return await connection.call(message)

    async def stream(self, host: str, message: Message) -> AsyncGenerator[Message, None]:
        """Send a message to a host and yield its replies.

        :param host: the host of the other agent.
        :param message: the message.
        :yield: the replies.
        :raises WireError: if the host cannot be reached.
        """
        connection = await self._connection(host)
        async with aclosing(connection.stream_call(message)) as replies:
            async for reply in replies:
                yield reply

    async def _connection(self, host: str) -> Connection:
        async with self.locks[host]:
            known = self.connections.get(host)
            if known is not None and known.close_reason is None:
                return known
            found = await self._locate(host)
            connection = await self.endpoint.dial(found.address, found.port)
            if connection.peer.host != host:
                connection.close(WireError(Code.handshake_refused, 'another host answered'))
                raise WireError(Code.handshake_refused, f'{found.address} is not {host}')
            self.connections[host] = connection
            return connection

    async def _locate(self, host: str) -> PeerAddress:
        for entry in tuple(self.entries()):
            try:
                reply = await entry.call(Locate(host))
            except WireError:
                continue
            if isinstance(reply, PeerAddress):
                return reply
        raise WireError(Code.host_unknown, f'no entry knows {host}')


__all__ = ('PeerPool',)
