"""Faults that the stand-ins of backend servers inject."""

from __future__ import annotations

from enum import StrEnum


class Fault(StrEnum):
    """A fault that a stand-in injects into one request.

    ``refuse``, ``refuse_late`` and ``ask_pause`` refuse it: at once, after ``pause_s``, or with a
    Retry-After header. ``lose`` resets the connection before the response, ``cut`` within it.
    ``extra`` adds a second response, ``foreign`` sends a response with the id of another attempt,
    ``unframed`` one without a length, ``unsealed`` one without the seal header, and ``fail`` an
    error status. ``hang`` delays the response by a minute. ``endless``, ``trickle``, ``double`` and
    the faults after them are left to subclasses.
    """

    none = 'none'
    refuse = 'refuse'
    refuse_late = 'refuse_late'
    ask_pause = 'ask_pause'
    lose = 'lose'
    cut = 'cut'
    extra = 'extra'
    foreign = 'foreign'
    unframed = 'unframed'
    unsealed = 'unsealed'
    fail = 'fail'
    hang = 'hang'
    endless = 'endless'
    trickle = 'trickle'
    double = 'double'
    half_event = 'half_event'
    repeat_refusal = 'repeat_refusal'
    fail_resumed = 'fail_resumed'
    break_off = 'break_off'


#: Faults that refuse a request which the backend server could run.
REFUSALS = frozenset((Fault.refuse, Fault.refuse_late, Fault.ask_pause))


__all__ = (
    'REFUSALS',
    'Fault',
)
