"""What a caller has received of a stream, and how long the next part of it may take."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.backends.continuation import continues_stream
from cassiahitch.direct.backends.events import EventSplitter

if TYPE_CHECKING:
    from cassiahitch.direct.api import ResponseHead
    from cassiahitch.direct.callers.exchange import CallerExchange
    from cassiahitch.direct.placement.assignments import Assignment
    from cassiahitch.direct.state.replicas import Replica


@dataclass(frozen=True, slots=True)
class ProgressTimeouts:
    """Seconds without progress after which the request moves to another backend server, if any.

    ``first_s`` applies up to the head of the response and from there to the first event or the next
    part of the body, ``next_s`` between the events of a stream. None stands for no limit.
    """

    first_s: float | None = None
    next_s: float | None = None


@dataclass(slots=True)
class StreamState:
    """What the caller has received of a stream, and how it goes on.

    ``head`` is the head with which it began, None before its first event. ``reserved`` is the
    assignment at which the request continues after the current backend server; its retry is already
    spent. ``stalled_key`` is the stalled backend server at which the request stayed because no
    other one, or no retry, was available. ``reserve`` tries to set ``reserved`` and returns whether
    it could; ``on_first_event`` is called with the time of the first event. While another backend
    server is asked for the rest of a stream that may be complete, ``doubted`` is the one that ended
    it, and ``blank_rest`` holds the blank lines after its last event. ``deadline`` is that of the
    request, in seconds of the event loop.
    """

    caller: CallerExchange
    splitter: EventSplitter = field(default_factory=EventSplitter)
    head: ResponseHead | None = None
    first_event_at: float | None = None
    on_first_event: Callable[[float], None] | None = None
    reserve: Callable[[], Awaitable[bool]] | None = None
    reserved: Assignment | None = None
    stalled_key: str = ''
    doubted: Replica | None = None
    blank_rest: bytes = b''
    deadline: float | None = None

    @property
    def started(self) -> bool:
        """Whether the caller has received the head of the response."""
        return self.head is not None

    @property
    def asks_rest(self) -> bool:
        """Whether another backend server is asked for the rest."""
        return self.doubted is not None

    def is_continued_by(self, head: ResponseHead) -> bool:
        """Return whether a response can follow what the caller has received.

        :param head: the head of the response.
        :return: true before the start of the stream.
        """
        return self.head is None or continues_stream(self.head, head)

    def ask_rest(self, doubted: Replica) -> None:
        """Note that another backend server is to be asked for the rest.

        :param doubted: the backend server that ended the stream, or could not show its end.
        """
        if self.doubted is None:
            self.doubted = doubted
            self.blank_rest = self.splitter.partial_event

    def continue_after_rest(self) -> None:
        """Note that the other backend server has further events, so that the stream goes on."""
        self.doubted = None
        self.blank_rest = b''
        if self.caller.timer is not None:
            self.caller.timer.reschedule(self.deadline)

    def end(self) -> None:
        """Drop the callbacks, which refer to the request and to this state."""
        self.on_first_event = None
        self.reserve = None

    async def reserve_alternative(self) -> bool:
        """Reserve another assignment for a request whose backend server is stalled.

        :return: whether there is one.
        """
        return self.reserve is not None and await self.reserve()


__all__ = (
    'ProgressTimeouts',
    'StreamState',
)
