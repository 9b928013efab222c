"""How much of a request is read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Largest header that is served, in bytes; the configuration sets a lower bound.
MAX_HEADER_BYTES = 131_072
#: Largest header that is read; what is above it ends the connection without an answer.
READ_HEADER_BYTES = 1_048_576
#: Largest body that is read at all, in bytes; the configuration sets a lower bound.
MAX_BODY_BYTES = 67_108_864
#: Largest body that is read whatever is held of others, in bytes.
ALWAYS_READ_BODY_BYTES = 65_536
#: Seconds after which a caller may come back, to another entry.
RETRY_AFTER_S = 0.05
#: Bytes that the end of a line and the colon take.
LINE_BYTES = 4


def header_refusal(
    target: str, headers: Iterable[tuple[str, str]], body_bytes: int
) -> RequestError | None:
    """Return why a request is refused by its header alone.

    :param target: its target.
    :param headers: its headers.
    :param body_bytes: the largest body that is read.
    :return: the refusal, nothing if it is read on.
    """
    size = len(target)
    length = 0
    for name, text in headers:
        size += len(name) + len(text) + LINE_BYTES
        if name.lower() == 'content-length' and text.isascii() and text.isdigit():
            length = max(length, int(text))
    if size > MAX_HEADER_BYTES:
        return RequestError(Code.header_too_large, 'the header is too large', HasRun.no)
    return body_refusal(length, body_bytes)


def body_refusal(length: int, body_bytes: int) -> RequestError | None:
    """Return why a request is refused by the length of its body.

    :param length: bytes of the body, as stated or as read so far.
    :param body_bytes: the largest body that is read.
    :return: the refusal, nothing if it is read on.
    """
    if length > body_bytes:
        return RequestError(Code.body_too_large, 'the body is too large', HasRun.no)
    return None


def total_body_refusal(length: int, held: int, most: int) -> RequestError | None:
    """Return why the body of a request is not held beside those of others.

    Load pattern: many callers send large bodies at once, each within its bound, and together
    more than the host has memory for.

    :param length: bytes of the body so far.
    :param held: bytes of all bodies, this one among them.
    :param most: bytes that are held of all.
    :return: the refusal, nothing if it is read on; one that is alone always is.
    """
    if length <= ALWAYS_READ_BODY_BYTES or held <= max(length, most):
        return None
    return RequestError(
        Code.overloaded, 'too much is held of other bodies', HasRun.no, RETRY_AFTER_S
    )


__all__ = (
    'MAX_BODY_BYTES',
    'MAX_HEADER_BYTES',
    'READ_HEADER_BYTES',
    'RETRY_AFTER_S',
    'ALWAYS_READ_BODY_BYTES',
    'body_refusal',
    'total_body_refusal',
    'header_refusal',
)
