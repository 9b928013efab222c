"""Decides whether the end of a stream proves that the stream is whole.

A last chunk or a length proves it, and the end of a connection does not: a live backend server that
breaks off a stream after an event closes its connection as well. Another one is then asked for the
rest. Unless its answer shows an end, the caller is not told that the stream is complete.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """How a response with events of a stream ended.

    ``is_shown`` is set if its last chunk or its length was received, ``is_inside_event`` if an
    event had begun. ``has_events`` is set if it had complete events, and ``is_rest`` if it is the
    answer to a question for the rest of a stream and had none.
    """

    is_shown: bool
    is_inside_event: bool
    has_events: bool
    is_rest: bool

    @property
    def is_cut(self) -> bool:
        """Whether the response itself shows that it was broken off."""
        is_empty = not (self.is_shown or self.has_events or self.is_rest)
        return self.is_inside_event or is_empty


@dataclass(frozen=True, slots=True)
class EndEvidence:
    """What an entry knows beside the response itself.

    ``never_shown`` is set if the service never shows the end of its streams, ``is_suspected`` if
    the backend server has recently broken off a response without a length. ``may_resume`` is set
    if another backend server may be asked for the rest. ``is_mirrored`` is set if the response to
    the caller shows no end, as that of the backend server does.
    """

    never_shown: bool
    is_suspected: bool
    may_resume: bool
    is_mirrored: bool


class Verdict(StrEnum):
    """What is made of the end of a stream.

    ``complete`` ends the response to the caller, ``broken_off`` and ``uncertain`` do not:
    the stream goes on elsewhere, or is broken off for the caller as well.
    """

    complete = 'complete'
    broken_off = 'broken off'
    uncertain = 'uncertain'


def judge_end(end: StreamEnd, evidence: EndEvidence) -> Verdict:
    """Decide what is made of the end of a stream.

    :param end: how its last response ended.
    :param evidence: what is known beside it.
    :return: the verdict.
    """
    if end.is_cut:
        return Verdict.broken_off
    if end.is_shown:
        return Verdict.complete
    if evidence.is_mirrored and not evidence.may_resume:
        return Verdict.broken_off if evidence.is_suspected else Verdict.complete
    is_usual = evidence.never_shown and (end.is_rest or evidence.is_mirrored)
    return Verdict.complete if is_usual else Verdict.uncertain


__all__ = (
    'EndEvidence',
    'StreamEnd',
    'Verdict',
    'judge_end',
)
