"""Requests, responses and the filter interface."""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from cassiahitch.resources.models import Priority

#: Bytes of a request identifier, without the byte that counts the attempts.
REQUEST_ID_BYTES = 15


def _discard_part(_part: bytes) -> None:
    """Discard a part of a response that is not streamed."""


@dataclass(slots=True)
class Request:
    """A request of a caller; ``deadline`` is in seconds of the monotonic clock.

    ``secret`` is the key of the organisation, and ``retry`` is true if the caller has sent the
    request before. ``identifier`` has REQUEST_ID_BYTES; on the wire, a byte that counts the
    attempts is appended. ``on_part`` receives the parts of a streamed response. ``on_hold`` is
    called when the request is held back before a dispatch, and when it continues.
    """

    service: str
    body: bytes
    secret: str = ''
    idempotency_key: str = ''
    ticket: str = ''
    timeout_s: float | None = None
    stream: bool = False
    on_part: Callable[[bytes], None] = _discard_part
    identifier: bytes = field(default_factory=lambda: secrets.token_bytes(REQUEST_ID_BYTES))
    organisation: str = ''
    deadline: float = 0
    idempotent: bool = False
    priority: Priority = Priority.draft
    streamed_bytes: int = 0
    body_digest: bytes = b''
    retry: bool = False
    on_hold: HoldCallback | None = None

    def __post_init__(self) -> None:
        """Compute the digest of the body."""
        self.body_digest = hashlib.sha256(self.body).digest()

    @property
    def id(self) -> str:
        """Hexadecimal identifier."""
        return self.identifier.hex()


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response.

    ``weights_digest`` is hexadecimal, and empty for a service without model weights. ``replayed``
    marks the stored response of an earlier attempt.
    """

    content: bytes
    checksum: str
    weights_digest: str
    replayed: bool = False


Proceed = Callable[[Request], Awaitable[Response]]


class HoldCallback(Protocol):
    """Callback for a request that is held back before a dispatch."""

    def __call__(self, *, held: bool) -> None:
        """Handle the start (``held``) or the end of holding the request back."""


class Filter(Protocol):
    """A filter of the chain."""

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Pass the request to the next filter by ``proceed``, or return a response.

        :raises RequestError: if the request fails.
        """


__all__ = (
    'REQUEST_ID_BYTES',
    'Response',
    'Filter',
    'Proceed',
    'Request',
)
