"""How an attempt to send a request to a backend server ended."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from cassiahitch.direct.api import Answered


@dataclass(frozen=True, slots=True)
class Delivered:
    """The response was forwarded to the caller part by part, up to its regular end."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent; ``refused`` if the connection was refused."""

    detail: str
    refused: bool


@dataclass(frozen=True, slots=True)
class Withheld:
    """No byte of the request was sent.

    The backend server is stopping or paused, it names a rate limit and no permit is valid, its
    weights have been replaced in the meantime, or its region has been excluded.
    """


@dataclass(frozen=True, slots=True)
class NotRun:
    """The backend server reported that it did not run the request and never will."""

    status: int


@dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent and no complete response was received.

    ``stalled`` if the backend server made no progress until the progress timeout.
    """

    detail: str
    stalled: bool = False


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """A stream ended after an event, and it is doubtful whether that was its last one.

    Another backend server is asked for the rest; if it does not show an end, the response to the
    caller is broken off.
    """

    detail: str = 'only the end of its connection showed the end of the stream'


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The request was sent and had not begun when its weights could soon not be used any more.

    Its connection is reset, so that the backend server drops it; it may have run nevertheless.
    """

    detail: str = 'the weights of the backend server were replaced before the request began'


Outcome = Answered | Delivered | NotSent | Withheld | NotRun | Lost | Unconfirmed | Withdrawn


def is_success(outcome: Outcome) -> bool:
    """Return whether the caller received a complete response which is not an error.

    :param outcome: how the attempt ended.
    :return: whether it did.
    """
    match outcome:
        case Delivered():
            return True
        case Answered(head=head):
            return head.status < HTTPStatus.BAD_REQUEST
    return False


__all__ = (
    'Delivered',
    'Lost',
    'NotRun',
    'NotSent',
    'Outcome',
    'Unconfirmed',
    'Withdrawn',
    'Withheld',
    'is_success',
)
