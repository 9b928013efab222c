"""Text form of the time line."""

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

ID_LENGTH = 12


def format_time(timestamp: Timestamp) -> str:
    """Write a timestamp as a time of day.

    :param timestamp: the timestamp.
    :return: UTC with milliseconds, and the counter if it is not 0.
    """
    seconds, ms = divmod(timestamp.physical_ms, MS_PER_S)
    try:
        moment = datetime.fromtimestamp(seconds, UTC)
    except (OverflowError, ValueError, OSError):
        return f'{timestamp.physical_ms} ms'
    counter = f'+{timestamp.counter}' if timestamp.counter else ''
    return f'{moment:%H:%M:%S}.{ms:03}{counter}'


def format_code(code: Code) -> str:
    """Write a result code.

    :param code: the code.
    :return: its number and name, empty for ``ok``.
    """
    return '' if code is Code.ok else f'{code.value} {code.name}'


def plain(text: str) -> Text:
    """Return text without terminal escape sequences.

    :param text: text from another process.
    :return: text that changes nothing but what it prints.
    """
    return Text(Text.from_ansi(text).plain)


@dataclass(frozen=True, slots=True)
class Row:
    """One line of a time line; absent texts are empty."""

    time: str
    process: str
    event: str
    request: str = ''
    rollout: str = ''
    code: str = ''
    detail: str = ''


def rows_table(rows: Iterable[Row]) -> Table:
    """Lay out a time line as a table.

    :param rows: its lines, in order.
    :return: the table.
    """
    table = Table('time', 'process', 'event', 'request', 'rollout', 'code', 'detail')
    for row in rows:
        table.add_row(
            row.time,
            plain(row.process),
            plain(row.event),
            plain(row.request[:ID_LENGTH]),
            plain(row.rollout[:ID_LENGTH]),
            plain(row.code),
            plain(row.detail),
        )
    return table


def events_table(events: Iterable[Event]) -> Table:
    """Lay out events as a table, one on each line.

    :param events: the events, in order.
    :return: the table.
    """
    return rows_table(
        Row(
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
    'Row',
    'events_table',
    'format_code',
    'format_time',
    'plain',
    'rows_table',
)
