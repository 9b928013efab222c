"""Life cycle and identity that entries and agents share."""

from __future__ import annotations

import asyncio
import logging
from abc import ABC, abstractmethod
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from cassiahitch.clock import SystemClock
from cassiahitch.wire.endpoint import Endpoint
from cassiahitch.wire.messages import Heartbeat
from cassiahitch.wire.node import MS_PER_S, Node

if TYPE_CHECKING:
    from cassiahitch.clock import Clock
    from cassiahitch.errors import WireError
    from cassiahitch.settings.models import CommonSettings
    from cassiahitch.wire.api import ReplySender
    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.messages import Hello, Message


LOGGER = logging.getLogger('cassiahitch')


class BaseProcess(ABC):
    """A process of the system; owns its parts through one exit stack."""

    def __init__(self, settings: CommonSettings, role: str, clock: Clock | None) -> None:
        """Create a process that is not started.

        :param settings: its settings.
        :param role: the name of its role.
        :param clock: source of time, that of the host by default.
        """
        self.node = Node(settings, role, clock or SystemClock())
        self.tasks = self.node.tasks
        self.started_at = self.node.clock.monotonic()
        self.sequence = 0
        self.is_stopping = False
        self.shutdown_task: asyncio.Task[None] | None = None
        self.stack = AsyncExitStack()

    def reload(self) -> None:
        """Log that settings are read at the start only."""
        LOGGER.info('settings are read at the start only')

    @abstractmethod
    async def shut_down(self) -> None:
        """Announce that the process leaves, finish what runs and close everything."""

    @abstractmethod
    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send now."""

    @abstractmethod
    def on_connection_ended(self, connection: Connection, reason: WireError) -> None:
        """Take note that a connection ended."""

    @abstractmethod
    async def handle(self, connection: Connection, message: Message, reply: ReplySender) -> None:
        """Handle a message that is not a reply."""

    def open_endpoint(self) -> Endpoint:
        """Listen for connections of other processes.

        :return: the endpoint, which the exit stack closes.
        :raises OSError: if the address is in use.
        """
        settings = self.node.settings
        endpoint = Endpoint(self.node.endpoint_settings, self, self.node.clock)
        self.stack.push_async_callback(endpoint.close)
        self.node.port = endpoint.bind_port(settings.address, settings.port)
        return endpoint

    async def stop(self) -> None:
        """Leave gracefully; a second call waits for the first one and does not cut it short."""
        if self.shutdown_task is None:
            self.shutdown_task = asyncio.create_task(self.shut_down())
        await asyncio.shield(self.shutdown_task)

    async def kill(self) -> None:
        """Close everything at once, as a crash would."""
        await self.stack.aclose()

    def hello(self) -> Hello:
        """Return what the process says of itself.

        :return: the message.
        """
        return self.node.hello()

    def next_timestamp(self) -> int:
        """Return the time of the hybrid clock for a message to send.

        :return: the time.
        """
        return self.node.next_timestamp()

    def merge_timestamp(self, stamp: int) -> None:
        """Take in the time of the hybrid clock of a message that arrived.

        :param stamp: the time.
        """
        self.node.merge_timestamp(stamp)

    def on_connection_opened(self, connection: Connection) -> None:
        """Take note of a new connection.

        :param connection: the connection.
        """
        self.node.record_connection_opened(connection)

    def next_heartbeat(self, revision: int) -> Heartbeat:
        """Return the next heartbeat with what all processes tell.

        :param revision: that of the configuration in force here.
        :return: the heartbeat, to be completed.
        """
        self.sequence += 1
        uptime_s = self.node.clock.monotonic() - self.started_at
        return Heartbeat(
            incarnation=self.node.incarnation,
            sequence=self.sequence,
            uptime_ms=int(uptime_s * MS_PER_S),
            clock_ms=self.node.clock_ms(),
            revision=revision,
            leaving=self.is_stopping,
        )


__all__ = ('BaseProcess',)
