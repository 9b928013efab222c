"""Base class of entries and agents: life cycle, identity and heartbeats."""

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
    """A process of the system; one exit stack closes all its components."""

    def __init__(self, settings: CommonSettings, role: str, clock: Clock | None) -> None:
        """Create a process without starting it.

        :param settings: settings of the process.
        :param role: name of its role, such as ``entry`` or ``agent``.
        :param clock: source of time, the clock of the host by default.
        """
        self.node = Node(settings, role, clock or SystemClock())
        self.tasks = self.node.tasks
        self.started_at = self.node.clock.monotonic()
        self.sequence = 0
        self.is_stopping = False
        self.shutdown_task: asyncio.Task[None] | None = None
        self.stack = AsyncExitStack()

    def reload(self) -> None:
        """Handle a reload signal: log that settings are read only at the start."""
        LOGGER.info('settings are read at the start only')

    @abstractmethod
    async def shut_down(self) -> None:
        """Announce the shutdown, finish requests in progress and close all components."""

    @abstractmethod
    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send now."""

    @abstractmethod
    def on_connection_ended(self, connection: Connection, reason: WireError) -> None:
        """Record that a connection has ended."""

    @abstractmethod
    async def handle(self, connection: Connection, message: Message, reply: ReplySender) -> None:
        """Handle a message that is not a reply."""

    def open_endpoint(self) -> Endpoint:
        """Listen for connections of other processes.

        :return: the endpoint; the exit stack closes it.
        :raises OSError: if the address is in use.
        """
        settings = self.node.settings
        endpoint = Endpoint(self.node.endpoint_settings, self, self.node.clock)
        self.stack.push_async_callback(endpoint.close)
        self.node.port = endpoint.bind_port(settings.address, settings.port)
        return endpoint

    async def stop(self) -> None:
        """Shut down gracefully; a second call waits for the shutdown that the first one started."""
        if self.shutdown_task is None:
            self.shutdown_task = asyncio.create_task(self.shut_down())
        await asyncio.shield(self.shutdown_task)

    async def kill(self) -> None:
        """Close all components at once, without a graceful shutdown, as in a crash."""
        await self.stack.aclose()

    def hello(self) -> Hello:
        """Return the message that identifies the process in a handshake.

        :return: the message.
        """
        return self.node.hello()

    def next_timestamp(self) -> int:
        """Return a hybrid clock timestamp for the next message to send.

        :return: the timestamp as one number.
        """
        return self.node.next_timestamp()

    def merge_timestamp(self, timestamp: int) -> None:
        """Advance the hybrid clock past the timestamp of a received message.

        :param timestamp: the timestamp as one number.
        """
        self.node.merge_timestamp(timestamp)

    def on_connection_opened(self, connection: Connection) -> None:
        """Record a connection whose handshake has succeeded.

        :param connection: the connection.
        """
        self.node.record_connection_opened(connection)

    def next_heartbeat(self, revision: int) -> Heartbeat:
        """Return the next heartbeat with the fields that all processes report.

        :param revision: revision of the configuration in force in this process.
        :return: the heartbeat; subclasses set the fields of their role.
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
