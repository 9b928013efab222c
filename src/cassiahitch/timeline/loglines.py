"""Log lines of many processes, and those that explain one request."""

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
#: Whatever stands before a line, the name of its process last.
PREFIX = re.compile(r'^[^{]*?(\S+)\s+(?=\{)')
#: Fields that have a column of their own, or say nothing about the request.
SHOWN_APART = frozenset(('time', 'level', 'logger', 'message', 'request', 'code', 'name_of_code'))
#: Fields whose content names what a request depended on.
SUBJECTS = ('replica', 'weights', 'version', 'service')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a process; ``at`` is in seconds since the Unix epoch."""

    at: float
    process: str
    message: str
    fields: Mapping[str, Any] = field(default_factory=dict)

    @property
    def request(self) -> str:
        """Identifier of the request that the line is about, or nothing."""
        return str(self.fields.get('request', ''))

    def subjects(self) -> set[tuple[str, str]]:
        """Return what the line is about: replicas, weights and services.

        :return: names of fields with their contents.
        """
        found = {(name, str(self.fields[name])) for name in SUBJECTS if name in self.fields}
        # A send names the weights that it requires by another field than their declaration does.
        return {('weights' if name == 'version' else name, content) for name, content in found}

    def row(self) -> TimelineRow:
        """Return the line as a row of a time line.

        :return: the row.
        """
        moment = datetime.fromtimestamp(self.at, UTC)
        words = (f'{name} {content}' for name, content in self.fields.items() if is_detail(name))
        code = self.fields.get('code', '')
        return TimelineRow(
            f'{moment:%H:%M:%S.%f}'[:-3],
            self.process,
            self.message,
            request=self.request,
            code=f'{code} {self.fields.get("name_of_code", "")}'.strip(),
            detail=', '.join(words),
        )


def is_detail(name: str) -> bool:
    """Tell whether a field is shown among the details.

    :param name: the field.
    :return: whether it is.
    """
    return name not in SHOWN_APART


def parse_line(process: str, text: str) -> LogLine | None:
    """Parse a line.

    :param process: the process that wrote it, if the line does not begin with its name.
    :param text: the line.
    :return: the line, or nothing if it is none of ours.
    """
    prefix = PREFIX.match(text)
    start = prefix.end() if prefix else 0
    try:
        document = json.loads(text[start:])
        written = datetime.strptime(document['time'], TIME_FORMAT)
        message = str(document['message'])
    except (ValueError, TypeError, KeyError):
        # Other programs and crashes write to the same streams.
        return None
    writer = prefix.group(1) if prefix else process
    return LogLine(written.replace(tzinfo=UTC).timestamp(), writer, message, document)


def select_explaining_lines(
    lines: Iterable[LogLine], request: str, around_s: float
) -> tuple[LogLine, ...]:
    """Select the lines that explain a request.

    :param lines: lines of all processes.
    :param request: its identifier.
    :param around_s: seconds before its first line from which on others are looked at.
    :return: its own lines, what changed in the beliefs of the processes that handled it, and
        what other processes wrote about its replicas and weights; in order, empty without a line
        of its own.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.request == request]
    if not own:
        return ()
    since = own[0].at - around_s
    writers = {line.process for line in own}
    subjects = set[tuple[str, str]]().union(*(line.subjects() for line in own))
    return tuple(
        line
        for line in ordered
        if line.request == request
        or (
            since <= line.at <= own[-1].at
            and not line.request
            and (line.process in writers or line.subjects() & subjects)
        )
    )


__all__ = (
    'LogLine',
    'select_explaining_lines',
    'parse_line',
)
