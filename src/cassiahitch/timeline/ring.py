"""Time line of a process: a ring buffer with its newest events."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.timeline.clock import HybridClock, Timestamp
from cassiahitch.timeline.events import (
    MAX_DETAIL_LENGTH,
    MAX_ID_LENGTH,
    Event,
    EventFilter,
    EventKind,
)

if TYPE_CHECKING:
    from cassiahitch.clock import Clock

#: Time before all events.
START = Timestamp(0)
#: Filter that accepts all events.
ALL = EventFilter()


class Timeline:
    """Keeps the newest events of a process."""

    def __init__(self, process: str, clock: Clock, capacity: int) -> None:
        """Create an empty time line.

        :param process: name of the process.
        :param clock: clock of the host.
        :param capacity: largest number of events that are kept.
        """
        self.process = process
        self.clock = HybridClock(clock)
        self.ring: deque[Event] = deque(maxlen=capacity)
        self.recorded = 0

    @property
    def dropped(self) -> int:
        """Number of events that newer ones have replaced."""
        return self.recorded - len(self.ring)

    def record(
        self,
        kind: EventKind,
        *,
        request_id: str = '',
        rollout_id: str = '',
        code: Code = Code.ok,
        detail: str = '',
    ) -> Event:
        """Append an event; texts above their maximum length are truncated.

        :param kind: kind of the event.
        :param request_id: identifier of the request, empty if there is none.
        :param rollout_id: identifier of the rollout, empty if there is none.
        :param code: result code of a refusal or an error.
        :param detail: one line without secrets.
        :return: the event.
        """
        event = Event(
            clock=self.clock.tick(),
            process=self.process,
            kind=kind,
            request_id=request_id[:MAX_ID_LENGTH],
            rollout_id=rollout_id[:MAX_ID_LENGTH],
            code=code,
            detail=detail[:MAX_DETAIL_LENGTH],
        )
        self.ring.append(event)
        self.recorded += 1
        return event

    def events(self, since: Timestamp = START, matching: EventFilter = ALL) -> tuple[Event, ...]:
        """Return the kept events that match, oldest first.

        :param since: time after which events are returned.
        :param matching: filter that events must match.
        :return: the events.
        """
        return tuple(
            event for event in self.ring if event.clock > since and matching.accepts(event)
        )


__all__ = ('Timeline',)
