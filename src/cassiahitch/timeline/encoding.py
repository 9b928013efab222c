"""JSON form of events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import TypeAdapter, ValidationError

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.timeline.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable

EVENTS: TypeAdapter[tuple[Event, ...]] = TypeAdapter(tuple[Event, ...])


def encode_events(events: Iterable[Event]) -> bytes:
    """Write events as a JSON array.

    :param events: the events.
    :return: UTF-8 text.
    """
    return EVENTS.dump_json(tuple(events))


def decode_events(document: bytes) -> tuple[Event, ...]:
    """Read events from a JSON array.

    :param document: UTF-8 text.
    :return: the events.
    :raises CassiahitchError: ``answer_corrupt`` if it is not an array of events.
    """
    try:
        return EVENTS.validate_json(document)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        path = '.'.join(str(part) for part in first['loc']) or '(top)'
        raise CassiahitchError(Code.answer_corrupt, f'events: {path}: {first["msg"]}') from None


__all__ = (
    'decode_events',
    'encode_events',
)
