"""Time line as a table for the terminal."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from rich.table import Table
from rich.text import Text

from cassiahitch.codes import Code
from cassiahitch.timeline.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahitch.timeline.clock import Timestamp
    from cassiahitch.timeline.events import Event

#: Length to which identifiers are shortened.
SHORT_ID_LENGTH = 12


def format_time(timestamp: Timestamp) -> str:
    """Format a timestamp as a time of day.

    :param timestamp: the timestamp.
    :return: time of day in UTC with milliseconds, and the counter if it is not 0.
    """
    seconds, ms = divmod(timestamp.physical_ms, MS_PER_S)
    try:
        moment = datetime.fromtimestamp(seconds, UTC)
    except (OverflowError, ValueError, OSError):
        return f'{timestamp.physical_ms} ms'
    counter = f'+{timestamp.counter}' if timestamp.counter else ''
    return f'{moment:%H:%M:%S}.{ms:03}{counter}'


def format_code(code: Code) -> str:
    """Format a result code.

    :param code: the code.
    :return: its number and name, empty for ``ok``.
    """
    return '' if code is Code.ok else f'{code.value} {code.name}'


def without_escapes(text: str) -> Text:
    """Return text without terminal escape sequences.

    :param text: untrusted text from another process.
    :return: text that cannot change the state of the terminal.
    """
    return Text(Text.from_ansi(text).plain)


@dataclass(frozen=True, slots=True)
class TimelineRow:
    """Row in the table of a time line; texts that do not apply are empty."""

    time: str
    process: str
    event: str
    request: str = ''
    rollout: str = ''
    code: str = ''
    detail: str = ''


def timeline_table(rows: Iterable[TimelineRow]) -> Table:
    """Return the table of a time line.

    :param rows: rows of the table, in order.
    :return: the table.
    """
    table = Table('time', 'process', 'event', 'request', 'rollout', 'code', 'detail')
    for row in rows:
        table.add_row(
            row.time,
            without_escapes(row.process),
            without_escapes(row.event),
            without_escapes(row.request[:SHORT_ID_LENGTH]),
            without_escapes(row.rollout[:SHORT_ID_LENGTH]),
            without_escapes(row.code),
            without_escapes(row.detail),
        )
    return table


def events_table(events: Iterable[Event]) -> Table:
    """Return a table with one row for each event.

    :param events: the events, in order.
    :return: the table.
    """
    return timeline_table(
        TimelineRow(
            format_time(event.clock),
            event.process,
            event.kind,
            event.request_id,
            event.rollout_id,
            format_code(event.code),
            event.detail,
        )
        for event in events
    )


__all__ = (
    'TimelineRow',
    'events_table',
    'format_code',
    'format_time',
    'without_escapes',
    'timeline_table',
)
