"""Time line of one process, bounded in length."""

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

START = Timestamp(0)
ALL = EventFilter()


class Timeline:
    """Keeps the newest events of a process."""

    def __init__(self, process: str, clock: Clock, capacity: int) -> None:
        """Create an empty time line.

        :param process: the name of the process.
        :param clock: the clock of the host.
        :param capacity: the number of events that are kept.
        """
        self.process = process
        self.clock = HybridClock(clock)
        self.ring: deque[Event] = deque(maxlen=capacity)
        self.recorded = 0

    @property
    def dropped(self) -> int:
        """Number of events that newer ones pushed out."""
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
        """Append an event; text over its bound is cut.

        :param kind: what happened.
        :param request_id: the request that it happened to, if any.
        :param rollout_id: the rollout that it belongs to, if any.
        :param code: why, if it is a refusal or an error.
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
        """Return kept events, oldest first.

        :param since: only events after this time.
        :param matching: only events that it accepts.
        :return: the events.
        """
        return tuple(
            event for event in self.ring if event.clock > since and matching.accepts(event)
        )


__all__ = ('Timeline',)
