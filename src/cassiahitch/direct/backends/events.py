"""Whole events of a stream."""

from __future__ import annotations

import re
from dataclasses import dataclass

#: A blank line ends an event, with any of the line ends that the format allows.
END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
#: An event without such a line is none to its reader, as with comments.
DATA = re.compile(rb'(?<![^\r\n])data(?=[:\r\n])')
ID = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')
#: Largest event that is waited for, in bytes.
MAX_EVENT_BYTES = 262_144


class EventTooLarge(Exception):
    """An event has more bytes than are held of it."""


@dataclass(slots=True)
class EventSplitter:
    """Cuts bytes at the ends of events and remembers the id of the last whole one.

    ``events`` counts those that have data.
    """

    partial_event: bytes = b''
    last_event_id: str = ''
    event_count: int = 0

    def feed(self, data: bytes) -> bytes:
        """Take bytes in.

        :param data: the next bytes of the stream.
        :return: the whole events that they complete.
        :raises EventTooLarge: if the end of an event does not come.
        """
        self.partial_event += data
        end = 0
        for match in END.finditer(self.partial_event):
            self.event_count += bool(DATA.search(self.partial_event, end, match.end()))
            end = match.end()
        whole = self.partial_event[:end]
        self.partial_event = self.partial_event[end:]
        if len(self.partial_event) > MAX_EVENT_BYTES:
            raise EventTooLarge('an event is too large')
        ids = ID.findall(whole)
        if ids:
            self.last_event_id = ids[-1].decode('latin1')
        return whole

    def discard_partial(self) -> None:
        """Forget the start of an event whose end did not come."""
        self.partial_event = b''


__all__ = (
    'EventSplitter',
    'EventTooLarge',
)
