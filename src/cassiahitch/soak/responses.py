"""Responses of the soak's backend servers, which depend only on the request, and their check."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

from cassiahitch.platform import names
from cassiahitch.soak.records import RequestKind

if TYPE_CHECKING:
    from collections.abc import Mapping

MS_PER_S = 1000
#: Hexadecimal digits of a short digest.
DIGEST_LENGTH = 16


@dataclass(frozen=True, slots=True)
class WorkSpec:
    """The response that a request asks for, encoded in the query of its target.

    ``parts`` is the number of events of a stream, ``pause_s`` the delay before each event or the
    body, and ``size`` the length in bytes of an event or the body.
    """

    parts: int = 1
    pause_s: float = 0
    size: int = 0

    def query(self) -> str:
        """Encode the specification as the query of a target.

        :return: the query.
        """
        return f'parts={self.parts}&pause={int(self.pause_s * MS_PER_S)}&size={self.size}'

    @classmethod
    def parse(cls, target: str) -> WorkSpec:
        """Decode the specification from a target.

        :param target: path and query.
        :return: the specification, with defaults for what the query lacks.
        """
        query = parse_qs(urlsplit(target).query)
        numbers = {name: int(texts[0]) for name, texts in query.items()}
        return cls(
            numbers.get('parts', 1),
            numbers.get('pause', 0) / MS_PER_S,
            numbers.get('size', 0),
        )


def short_digest(content: bytes) -> str:
    """Return the first digits of a SHA-256 digest.

    :param content: any bytes.
    :return: hexadecimal digits.
    """
    return hashlib.sha256(content).hexdigest()[:DIGEST_LENGTH]


def plain_body(attempt: str, body_digest: str, work: WorkSpec) -> bytes:
    """Return the body of a response that is no stream.

    :param attempt: id of the attempt.
    :param body_digest: digest of the request's body.
    :param work: the response that the request asks for.
    :return: the body.
    """
    return f'{attempt} {body_digest} '.encode().ljust(work.size, b'.')


def stream_event(attempt: str, number: int, work: WorkSpec) -> bytes:
    """Return an event of a stream.

    :param attempt: id of the attempt.
    :param number: number of the event, from 1.
    :param work: the response that the request asks for.
    :return: the event.
    """
    data = f'{attempt} {number} '.ljust(work.size, '.')
    return f'id: {number}\ndata: {data}\n\n'.encode()


def make_seal(backend: str, attempt: str) -> str:
    """Return the seal by which a backend server signs a response.

    :param backend: id of the backend server.
    :param attempt: id of the attempt.
    :return: value of the seal's header.
    """
    return f'{backend}.{attempt}'


def expected_body(kind: RequestKind, attempt: str, body_digest: str, work: WorkSpec) -> bytes:
    """Return the complete body of a correct response.

    :param kind: kind of the request.
    :param attempt: id of the attempt.
    :param body_digest: digest of the request's body.
    :param work: the response that the request asks for.
    :return: the body.
    """
    if kind is not RequestKind.draft:
        return plain_body(attempt, body_digest, work)
    return b''.join(stream_event(attempt, number, work) for number in range(1, work.parts + 1))


def response_error(
    attempt: str, headers: Mapping[str, str], body: bytes, expected: bytes, *, is_complete: bool
) -> str:
    """Return what is wrong with a response that has a status of success.

    :param attempt: id of the attempt.
    :param headers: response headers, by lower-case names.
    :param body: the part of the body that was received.
    :param expected: the correct body.
    :param is_complete: whether the response ended properly.
    :return: description of the error, empty if there is none.
    """
    if headers.get(names.ATTEMPT_ID.lower(), attempt) != attempt:
        return 'response belongs to another request'
    if not headers.get(names.RESPONSE_SEAL.lower(), '').endswith(f'.{attempt}'):
        return 'response has no valid seal of a backend server for this request'
    if not expected.startswith(body):
        return 'body differs from the expected body'
    if is_complete and body != expected:
        return 'response ended properly but its body is incomplete'
    return ''


__all__ = (
    'WorkSpec',
    'expected_body',
    'make_seal',
    'plain_body',
    'response_error',
    'short_digest',
    'stream_event',
)
