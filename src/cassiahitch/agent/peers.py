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
    """Locates other agents through the entries and keeps one connection to each."""

    def __init__(
        self,
        endpoint: Endpoint,
        entry_connections: Callable[[], Iterable[Connection]],
    ) -> None:
        """Create a pool without connections.

        :param endpoint: opens connections.
        :param entry_connections: returns the live connections to entries.
        """
        self.endpoint = endpoint
        self.entry_connections = entry_connections
        self.connections: dict[str, Connection] = {}
        self.locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    async def call(self, host: str, message: Message) -> Message:
        """Send a message to another agent and wait for its reply.

        :param host: host of the agent.
        :param message: the message.
        :return: the reply.
        :raises WireError: if the host cannot be reached.
        """
        connection = await self._connection(host)
        return await connection.call(message)

    async def stream(self, host: str, message: Message) -> AsyncGenerator[Message, None]:
        """Send a message to another agent and yield its replies.

        :param host: host of the agent.
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
            existing = self.connections.get(host)
            if existing is not None and existing.close_reason is None:
                return existing
            location = await self._locate(host)
            connection = await self.endpoint.dial(location.address, location.port)
            if connection.peer.host != host:
                connection.close(WireError(Code.handshake_refused, 'a different host responded'))
                raise WireError(Code.handshake_refused, f'host at {location.address} is not {host}')
            self.connections[host] = connection
            return connection

    async def _locate(self, host: str) -> PeerAddress:
        for entry in tuple(self.entry_connections()):
            try:
                reply = await entry.call(Locate(host))
            except WireError:
                continue
            if isinstance(reply, PeerAddress):
                return reply
        raise WireError(Code.host_unknown, f'no entry returned an address for {host}')


__all__ = ('PeerPool',)
