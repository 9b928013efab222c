"""Reports of a process about itself: its time line and its metrics."""

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

#: Share of a frame that a report may fill.
FRAME_SHARE = 0.5


class Topic(StrEnum):
    """What a report is about."""

    timeline = 'timeline'
    metrics = 'metrics'


def make_report(node: Node, pull: ReportPull) -> Report:
    """Answer a pull of a peer.

    :param node: this process.
    :param pull: what the peer asks for.
    :return: the report; the oldest events are left out if it would not fit into a frame.
    :raises WireError: ``message_unknown`` for an unknown topic.
    """
    match pull.topic:
        case Topic.timeline:
            matching = EventFilter(pull.request_id, pull.rollout_id)
            events = node.timeline.events(START, matching)
            limit = int(node.settings.sizes.max_frame_bytes * FRAME_SHARE)
            return Report(_encode_newest(events, limit))
        case Topic.metrics:
            return Report(encode_snapshot(node.metrics.snapshot()))
        case _:
            raise WireError(Code.message_unknown, 'a report on an unknown topic')


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
