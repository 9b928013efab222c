"""Encoding of events as JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import TypeAdapter, ValidationError

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.timeline.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable

EVENTS_ADAPTER: TypeAdapter[tuple[Event, ...]] = TypeAdapter(tuple[Event, ...])


def encode_events(events: Iterable[Event]) -> bytes:
    """Encode events as a JSON array.

    :param events: the events.
    :return: JSON in UTF-8.
    """
    return EVENTS_ADAPTER.dump_json(tuple(events))


def decode_events(document: bytes) -> tuple[Event, ...]:
    """Decode events from a JSON array.

    :param document: JSON in UTF-8.
    :return: the events.
    :raises CassiahitchError: ``answer_corrupt`` if the document is not a valid array of events.
    """
    try:
        return EVENTS_ADAPTER.validate_json(document)
    except ValidationError as error:
        first_error = error.errors(include_url=False, include_input=False)[0]
        path = '.'.join(str(part) for part in first_error['loc']) or '(top)'
        raise CassiahitchError(
            Code.answer_corrupt, f'events: {path}: {first_error["msg"]}'
        ) from None


__all__ = (
    'decode_events',
    'encode_events',
)
