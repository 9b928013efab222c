"""Reports of the time line and the metrics of a process to its peers."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.errors import WireError
from cassiahitch.metrics.encoding import encode_snapshot
from cassiahitch.timeline.encoding import encode_events
from cassiahitch.timeline.events import EventFilter
from cassiahitch.timeline.ring import START
from cassiahitch.wire.messages import Report, ReportPull

if TYPE_CHECKING:
    from cassiahitch.timeline.events import Event
    from cassiahitch.wire.node import Node

#: Largest share of a frame that the events of a report may fill.
MAX_FRAME_SHARE = 0.5


class Topic(StrEnum):
    """Subject of a report."""

    timeline = 'timeline'
    metrics = 'metrics'


def make_report(node: Node, pull: ReportPull) -> Report:
    """Return the report that a peer asks for.

    :param node: this process.
    :param pull: topic and filter of the report.
    :return: the report, without the oldest events if it would be too large for a frame.
    :raises WireError: ``message_unknown`` for an unknown topic.
    """
    match pull.topic:
        case Topic.timeline:
            matching = EventFilter(pull.request_id, pull.rollout_id)
            events = node.timeline.events(START, matching)
            max_bytes = int(node.settings.sizes.max_frame_bytes * MAX_FRAME_SHARE)
            return Report(_encode_newest(events, max_bytes))
        case Topic.metrics:
            return Report(encode_snapshot(node.metrics.snapshot()))
        case _:
            raise WireError(Code.message_unknown, 'the topic of the requested report is unknown')


def _encode_newest(events: tuple[Event, ...], max_bytes: int) -> bytes:
    document = encode_events(events)
    while len(document) > max_bytes:
        events = events[len(events) // 2 :]
        document = encode_events(events)
    return document


__all__ = (
    'Topic',
    'make_report',
)
