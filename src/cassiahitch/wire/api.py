"""What a process offers to its connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from cassiahitch.errors import WireError
    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.messages import Heartbeat, Hello, Message

ReplySender = Callable[['Message'], Awaitable[None]]


class Process(Protocol):
    """The process that a connection speaks for."""

    def hello(self) -> Hello:
        """Return what the process says of itself."""

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send now."""

    def next_timestamp(self) -> int:
        """Return the time of the hybrid clock for a message to send."""

    def merge_timestamp(self, stamp: int) -> None:
        """Take in the time of the hybrid clock of a message that arrived."""

    def on_connection_opened(self, connection: Connection) -> None:
        """Take note of a new connection."""

    def on_connection_ended(self, connection: Connection, reason: WireError) -> None:
        """Take note that a connection ended."""

    async def handle(self, connection: Connection, message: Message, reply: ReplySender) -> None:
        """Handle a message that is not a reply; raises to answer with a failure."""


__all__ = (
    'Process',
    'ReplySender',
)
