"""Splits the bytes of a server-sent event stream into complete events."""

from __future__ import annotations

import re
from dataclasses import dataclass

#: A blank line ends an event; the format allows three kinds of line ends, also mixed. After CRLF, a
#: CR at the end of the bytes is not a blank line yet, but the first half of the next CRLF.
EVENT_END = re.compile(rb'\r\n(?:\r\n|\r(?=[^\n])|\n)|(?:\r(?!\n)|(?<!\r)\n)(?:\r\n|\r(?!\n)|\n)')
#: Readers of a stream ignore an event without a data line, such as a comment.
DATA_LINE = re.compile(rb'(?<![^\r\n])data(?=[:\r\n])')
ID_LINE = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')
#: Maximum bytes of one event.
MAX_EVENT_BYTES = 262_144


class EventTooLarge(Exception):
    """An event is larger than the limit."""


@dataclass(slots=True)
class EventSplitter:
    """Splits bytes at the ends of events and keeps the id of the last complete event.

    ``event_count`` counts the complete events that have data, ``partial_event`` is the start of an
    event whose end has not been received. ``is_resumable`` is set unless the last event that has
    data has no id, in which case no id tells another backend server where to go on.
    """

    partial_event: bytes = b''
    last_event_id: str = ''
    event_count: int = 0
    is_resumable: bool = True

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has started whose end was not received; blank lines start none."""
        return bool(self.partial_event.strip(b'\r\n'))

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream.

        :param data: the next bytes.
        :return: the events that they complete.
        :raises EventTooLarge: if the incomplete event exceeds the limit.
        """
        self.partial_event += data
        end = 0
        for match in EVENT_END.finditer(self.partial_event):
            if DATA_LINE.search(self.partial_event, end, match.end()):
                self.event_count += 1
                ids = ID_LINE.findall(self.partial_event[end : match.end()])
                self.is_resumable = bool(ids and ids[-1])
            end = match.end()
        complete = self.partial_event[:end]
        self.partial_event = self.partial_event[end:]
        if len(self.partial_event) > MAX_EVENT_BYTES:
            raise EventTooLarge('an event of the stream exceeds the size limit')
        ids = ID_LINE.findall(complete)
        if ids:
            self.last_event_id = ids[-1].decode('latin1')
        return complete

    def discard_partial(self) -> None:
        """Discard the start of an event whose end was not received."""
        self.partial_event = b''


__all__ = (
    'EventSplitter',
    'EventTooLarge',
)
