"""Requests that wait for admission, and what becomes of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code

if TYPE_CHECKING:
    from cassiahitch.resources.models import Priority


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request in the queue; ``deadline`` is the latest moment at which it is of use."""

    request_id: str
    organisation: str
    priority: Priority
    deadline: float


@dataclass(frozen=True, slots=True)
class Admission:
    """A request may be dispatched now."""

    request: QueuedRequest


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request is refused before it was dispatched: its answer says ``ran: no``."""

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
