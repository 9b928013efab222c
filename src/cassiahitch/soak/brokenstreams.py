"""Streams without a length that live engines break off, beside sound ones and failing second sends.

The id of the attempt and the event after which it goes on decide how each response ends, so that
all ways come at once, from all engines.
"""

from __future__ import annotations

import zlib
from enum import StrEnum
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class StreamEnding(StrEnum):
    """How a response of a stream ends.

    ``shown`` ends with its last chunk, all others with the connection: ``whole`` after the last
    event, ``after_event`` and ``inside_event`` before it, and ``empty`` without an event. ``error``
    is an error or an unsigned success, ``reset`` no response.
    """

    shown = 'shown'
    whole = 'whole'
    after_event = 'after_event'
    inside_event = 'inside_event'
    empty = 'empty'
    error = 'error'
    reset = 'reset'


#: Endings of a stream, and of what is sent when it is asked for again after an event.
FIRST_ENDINGS = (
    StreamEnding.whole,
    StreamEnding.after_event,
    StreamEnding.after_event,
    StreamEnding.inside_event,
)
REST_ENDINGS = tuple(StreamEnding)
#: Events of a response that is broken off.
KEPT_EVENTS = 2


def choose_ending(attempt: str, after: int) -> StreamEnding:
    """Return how a response ends.

    :param attempt: id of the attempt.
    :param after: number of the last event that the caller has received.
    :return: the ending.
    """
    endings = REST_ENDINGS if after else FIRST_ENDINGS
    return endings[zlib.crc32(f'{attempt} {after}'.encode()) % len(endings)]


def kept_parts(events: Iterable[bytes], ending: StreamEnding) -> list[bytes]:
    """Return what a response that ends with its connection has of the events.

    :param events: the events of the whole response.
    :param ending: how the response ends.
    :return: the parts to send, one after the other.
    """
    match ending:
        case StreamEnding.whole:
            return list(events)
        case StreamEnding.after_event:
            return list(islice(events, KEPT_EVENTS))
        case StreamEnding.inside_event:
            kept = list(islice(events, KEPT_EVENTS + 1))
            return [*kept[:-1], *(part[: len(part) // 2] for part in kept[-1:])]
    return []


__all__ = (
    'StreamEnding',
    'choose_ending',
    'kept_parts',
)
