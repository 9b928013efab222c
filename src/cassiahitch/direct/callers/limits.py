"""Limits on the size of requests, and the refusals of those that exceed them."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahitch.direct.api import Headers

#: Largest header that is served, in bytes; the configuration may set a lower limit.
MAX_HEADER_BYTES = 131_072
#: Largest body that is read, in bytes; the configuration may set a lower limit.
MAX_BODY_BYTES = 67_108_864
#: Size of a body beyond the configured one up to which it is read, in bytes.
BODY_MARGIN_BYTES = 65_536
#: Largest body that is read however many bytes of other bodies are buffered.
ALWAYS_READ_BODY_BYTES = 65_536
#: Retry-After, in seconds, when the caller should try another entry.
OTHER_ENTRY_RETRY_AFTER_S = 0.05
#: Bytes of a header line besides its name and value: colon, space and line end.
HEADER_LINE_OVERHEAD_BYTES = 4
#: Digits of a stated length; a longer number exceeds every limit.
MAX_LENGTH_DIGITS = 18


def stated_length(headers: Iterable[tuple[str, str]]) -> int:
    """Return the length that a request states for its body.

    :param headers: headers of the request.
    :return: the length in bytes, 0 if it states none.
    """
    lengths = (text for name, text in headers if name.lower() == 'content-length')
    numbers = (text for text in lengths if text.isascii() and text.isdigit())
    # Python refuses to convert very long numbers.
    return max(
        (int(text) if len(text) <= MAX_LENGTH_DIGITS else sys.maxsize for text in numbers),
        default=0,
    )


def header_refusal(
    target: str, headers: Headers, max_body_bytes: int, *, too_many_fields: bool = False
) -> RequestError | None:
    """Return the refusal of a request whose header, or the body that it states, is too large.

    :param target: target of the request.
    :param headers: headers of the request.
    :param max_body_bytes: size of the largest body that is read, in bytes.
    :param too_many_fields: whether the header had more fields than are parsed.
    :return: the refusal, None if the request may be read further.
    """
    lines = sum(len(name) + len(text) + HEADER_LINE_OVERHEAD_BYTES for name, text in headers)
    size = len(target) + lines
    if too_many_fields or size > MAX_HEADER_BYTES:
        return RequestError(
            Code.header_too_large, 'the header of the request is too large', HasRun.no
        )
    return body_refusal(stated_length(headers), max_body_bytes)


def body_refusal(length: int, max_body_bytes: int) -> RequestError | None:
    """Return the refusal of a request whose body is too large.

    :param length: bytes of the body, as stated or as read so far.
    :param max_body_bytes: size of the largest body that is read, in bytes.
    :return: the refusal, None if the request may be read further.
    """
    if length > max_body_bytes:
        return RequestError(Code.body_too_large, 'the body of the request is too large', HasRun.no)
    return None


def total_body_refusal(length: int, buffered: int, limit: int) -> RequestError | None:
    """Return the refusal of a body for which the buffer of all bodies has no room.

    Load pattern: many callers send large bodies at once, each within its limit, and together
    more than the host has memory for.

    :param length: bytes of the body so far.
    :param buffered: bytes of all bodies that are buffered, including this one.
    :param limit: maximum number of bytes of all bodies.
    :return: the refusal, None if the request may be read further, as a body that is the only one
        always may.
    """
    if length <= ALWAYS_READ_BODY_BYTES or buffered <= max(length, limit):
        return None
    return buffer_full()


def buffer_full() -> RequestError:
    """Return the refusal of a body for which there is no room beside the requests being served.

    :return: the refusal.
    """
    return RequestError(
        Code.overloaded,
        'the buffer for request bodies is full',
        HasRun.no,
        OTHER_ENTRY_RETRY_AFTER_S,
    )


__all__ = (
    'ALWAYS_READ_BODY_BYTES',
    'BODY_MARGIN_BYTES',
    'MAX_BODY_BYTES',
    'MAX_HEADER_BYTES',
    'OTHER_ENTRY_RETRY_AFTER_S',
    'body_refusal',
    'buffer_full',
    'header_refusal',
    'stated_length',
    'total_body_refusal',
)
