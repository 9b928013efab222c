"""Requests in the admission queue, and the decisions about them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code

if TYPE_CHECKING:
    from cassiahitch.resources.models import Priority


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request in the queue; ``deadline`` is the latest time for its response, in seconds."""

    request_id: str
    organisation: str
    priority: Priority
    deadline: float


@dataclass(frozen=True, slots=True)
class Admission:
    """The request may be dispatched now."""

    request: QueuedRequest


@dataclass(frozen=True, slots=True)
class Rejection:
    """The request is refused before dispatch, with ``ran: no`` in its response."""

    request: QueuedRequest
    retry_after_s: float
    code: Code = Code.overloaded


Decision = Admission | Rejection

__all__ = (
    'Admission',
    'Rejection',
    'Decision',
    'QueuedRequest',
)
