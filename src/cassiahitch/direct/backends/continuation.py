"""Decides whether a response continues a stream that has begun.

Load pattern: a backend server fails while it sends many streams, and all of them resume elsewhere.
Some of the other servers fail as well and respond with errors. The caller of such a stream can get
only its further events, since the head of its response has been sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.direct.api import header

if TYPE_CHECKING:
    from cassiahitch.direct.api import ResponseHead


def continues_stream(first: ResponseHead, head: ResponseHead) -> bool:
    """Return whether the body of a response holds further events of a stream.

    :param first: the head with which the stream began.
    :param head: the head of the response.
    :return: whether both are of the same kind, and the response is signed and not encoded.
    """
    is_same_kind = (head.status, _media_type(head)) == (first.status, _media_type(first))
    return is_same_kind and head.sealed and not head.content_encoded


def _media_type(head: ResponseHead) -> str:
    media_type, _, _ = header(head.headers, 'Content-Type').partition(';')
    return media_type.strip().lower()


__all__ = ('continues_stream',)
