"""Answers of the soak's backend servers, which follow from the request, and their check."""

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
#: Characters of a digest that are kept.
DIGEST = 16


@dataclass(frozen=True, slots=True)
class WorkSpec:
    """What a request asks of its backend server; ``size`` is in bytes, of an event or a body."""

    parts: int = 1
    pause_s: float = 0
    size: int = 0

    def query(self) -> str:
        """Return the query of the target that asks for it.

        :return: the query.
        """
        return f'parts={self.parts}&pause={int(self.pause_s * MS_PER_S)}&size={self.size}'

    @classmethod
    def parse(cls, target: str) -> WorkSpec:
        """Read it from a target.

        :param target: path and query.
        :return: the work.
        """
        query = parse_qs(urlsplit(target).query)
        numbers = {name: int(texts[0]) for name, texts in query.items()}
        return cls(
            numbers.get('parts', 1),
            numbers.get('pause', 0) / MS_PER_S,
            numbers.get('size', 0),
        )


def short_digest(content: bytes) -> str:
    """Return a short digest.

    :param content: any bytes.
    :return: hexadecimal digits.
    """
    return hashlib.sha256(content).hexdigest()[:DIGEST]


def plain_body(attempt: str, body_digest: str, work: WorkSpec) -> bytes:
    """Return the body of an answer that is no stream.

    :param attempt: id of the attempt.
    :param body_digest: digest of the body of the request.
    :param work: what the request asks for.
    :return: the body.
    """
    return f'{attempt} {body_digest} '.encode().ljust(work.size, b'.')


def stream_event(attempt: str, number: int, work: WorkSpec) -> bytes:
    """Return an event of a stream.

    :param attempt: id of the attempt.
    :param number: its number, from 1.
    :param work: what the request asks for.
    :return: the event.
    """
    data = f'{attempt} {number} '.ljust(work.size, '.')
    return f'id: {number}\ndata: {data}\n\n'.encode()


def make_seal(backend: str, attempt: str) -> str:
    """Return the signature of a backend server under an answer.

    :param backend: its id.
    :param attempt: id of the attempt.
    :return: the signature.
    """
    return f'{backend}.{attempt}'


def expected_body(kind: RequestKind, attempt: str, body_digest: str, work: WorkSpec) -> bytes:
    """Return the whole body of a right answer.

    :param kind: kind of the request.
    :param attempt: id of the attempt.
    :param body_digest: digest of the body of the request.
    :param work: what the request asks for.
    :return: the body.
    """
    if kind is not RequestKind.draft:
        return plain_body(attempt, body_digest, work)
    return b''.join(stream_event(attempt, number, work) for number in range(1, work.parts + 1))


def response_error(
    attempt: str, headers: Mapping[str, str], body: bytes, expected: bytes, *, whole: bool
) -> str:
    """Return what is wrong with a success.

    :param attempt: id of the attempt.
    :param headers: headers of the answer, by names in lower case.
    :param body: what came of its body.
    :param expected: the right body.
    :param whole: whether the answer came to its proper end.
    :return: what is wrong, empty if nothing is.
    """
    if headers.get(names.ATTEMPT_ID.lower(), attempt) != attempt:
        return 'the answer of another request'
    if not headers.get(names.RESPONSE_SEAL.lower(), '').endswith(f'.{attempt}'):
        return 'no signature of a backend server for this request'
    if not expected.startswith(body):
        return 'bytes that are not those of the right answer'
    if whole and body != expected:
        return 'looks whole but is not'
    return ''


__all__ = (
    'WorkSpec',
    'short_digest',
    'stream_event',
    'expected_body',
    'response_error',
    'plain_body',
    'make_seal',
)
