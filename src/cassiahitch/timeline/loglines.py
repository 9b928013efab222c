"""Parsing of log lines, and selection of those that explain a request."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

from cassiahitch.timeline.text import TimelineRow

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
#: Prefix of a line; its last word is the name of the process.
PREFIX = re.compile(r'^[^{]*?(\S+)\s+(?=\{)')
#: Fields that have a column of their own or are not shown.
NON_DETAIL_FIELDS = frozenset(
    ('time', 'level', 'logger', 'message', 'request', 'code', 'name_of_code')
)
#: Fields whose content names something that a request depends on.
SUBJECT_FIELDS = ('replica', 'weights', 'version', 'service')


@dataclass(frozen=True, slots=True)
class LogLine:
    """Log line of a process; ``at`` is in seconds since the Unix epoch."""

    at: float
    process: str
    message: str
    fields: Mapping[str, Any] = field(default_factory=dict)

    @property
    def request(self) -> str:
        """Identifier of the request that the line is about, empty if there is none."""
        return str(self.fields.get('request', ''))

    def subjects(self) -> set[tuple[str, str]]:
        """Return the replicas, weights and services that the line is about.

        :return: pairs of the name and the content of a field.
        """
        pairs = {(name, str(self.fields[name])) for name in SUBJECT_FIELDS if name in self.fields}
        # A line about a sent request has the version of the weights in the field ``version``, a
        # line about their declaration in the field ``weights``.
        return {('weights' if name == 'version' else name, content) for name, content in pairs}

    def to_timeline_row(self) -> TimelineRow:
        """Convert the line to a row of a time line.

        :return: the row.
        """
        moment = datetime.fromtimestamp(self.at, UTC)
        details = (f'{name} {content}' for name, content in self.fields.items() if is_detail(name))
        code = self.fields.get('code', '')
        return TimelineRow(
            f'{moment:%H:%M:%S.%f}'[:-3],
            self.process,
            self.message,
            request=self.request,
            code=f'{code} {self.fields.get("name_of_code", "")}'.strip(),
            detail=', '.join(details),
        )


def is_detail(name: str) -> bool:
    """Return whether a field is shown in the column of details.

    :param name: name of the field.
    :return: whether it is shown there.
    """
    return name not in NON_DETAIL_FIELDS


def parse_line(process: str, text: str) -> LogLine | None:
    """Parse a line of a log file.

    :param process: name of the process, used if the line does not begin with it.
    :param text: text of the line.
    :return: the parsed line, ``None`` if it is not a JSON log line of the system.
    """
    prefix = PREFIX.match(text)
    start = prefix.end() if prefix else 0
    try:
        document = json.loads(text[start:])
        written = datetime.strptime(document['time'], TIME_FORMAT)
        message = str(document['message'])
    except (ValueError, TypeError, KeyError):
        # Other programs and tracebacks of crashes write to the same streams.
        return None
    writer = prefix.group(1) if prefix else process
    return LogLine(written.replace(tzinfo=UTC).timestamp(), writer, message, document)


def select_explaining_lines(
    lines: Iterable[LogLine], request: str, around_s: float
) -> tuple[LogLine, ...]:
    """Select the lines that explain the outcome of a request.

    These are the lines of the request itself. From ``around_s`` before the first of them up to the
    last, they include the lines without a request of the processes that handled it, and those of
    other processes about its replicas, weights and services.

    :param lines: lines of all processes.
    :param request: identifier of the request.
    :param around_s: seconds before the first line of the request.
    :return: the lines in the order of their times, empty if none is about the request.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    request_lines = [line for line in ordered if line.request == request]
    if not request_lines:
        return ()
    since = request_lines[0].at - around_s
    writers = {line.process for line in request_lines}
    subjects = set[tuple[str, str]]().union(*(line.subjects() for line in request_lines))
    return tuple(
        line
        for line in ordered
        if line.request == request
        or (
            since <= line.at <= request_lines[-1].at
            and not line.request
            and (line.process in writers or line.subjects() & subjects)
        )
    )


__all__ = (
    'LogLine',
    'select_explaining_lines',
    'parse_line',
)
