"""Interface of a process to its connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from cassiahitch.errors import WireError
    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.messages import Heartbeat, Hello, Message

#: Sends a reply to the message that is being handled.
ReplySender = Callable[['Message'], Awaitable[None]]


class Process(Protocol):
    """The process at the local end of a connection."""

    def hello(self) -> Hello:
        """Return the message that identifies the process in a handshake."""

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send now."""

    def next_timestamp(self) -> int:
        """Return a hybrid clock timestamp for the next message to send."""

    def merge_timestamp(self, timestamp: int) -> None:
        """Advance the hybrid clock past the timestamp of a received message."""

    def on_connection_opened(self, connection: Connection) -> None:
        """Record a connection whose handshake has succeeded."""

    def on_connection_ended(self, connection: Connection, reason: WireError) -> None:
        """Record that a connection has ended."""

    async def handle(self, connection: Connection, message: Message, reply: ReplySender) -> None:
        """Handle a message that is not a reply.

        A :class:`CassiahitchError` that it raises is sent back as a failure.
        """


__all__ = (
    'Process',
    'ReplySender',
)
