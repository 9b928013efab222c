"""A request on its way through the filters, and the filters' interface."""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from cassiahitch.resources.models import Priority

REQUEST_ID_BYTES = 15


def _ignore_part(_part: bytes) -> None:
    """Drop a part of an answer that is not streamed."""


@dataclass(slots=True)
class Request:
    """A request of a caller; ``deadline`` is in seconds of the monotonic clock.

    ``identifier`` is 15 bytes long; a byte that counts the attempts is added on the wire.
    """

    service: str
    body: bytes
    secret: str = ''
    idempotency_key: str = ''
    ticket: str = ''
    timeout_s: float | None = None
    stream: bool = False
    on_part: Callable[[bytes], None] = _ignore_part
    identifier: bytes = field(default_factory=lambda: secrets.token_bytes(REQUEST_ID_BYTES))
    organisation: str = ''
    deadline: float = 0
    idempotent: bool = False
    priority: Priority = Priority.draft
    streamed_bytes: int = 0
    body_digest: bytes = b''
    retry: bool = False
    on_hold: HoldCall | None = None

    def __post_init__(self) -> None:
        """Compute the digest of the body."""
        self.body_digest = hashlib.sha256(self.body).digest()

    @property
    def id(self) -> str:
        """Hexadecimal identifier."""
        return self.identifier.hex()


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer; ``weights_digest`` is hexadecimal and empty for a plain service."""

    content: bytes
    checksum: str
    weights_digest: str
    replayed: bool = False


Proceed = Callable[[Request], Awaitable[Response]]


class HoldCall(Protocol):
    """Called when a request is held back before a dispatch, and when it goes on."""

    def __call__(self, *, held: bool) -> None:
        """Take note of it."""


class Filter(Protocol):
    """One step of the filter chain."""

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Pass the request on by ``proceed``, answer it or raise ``RequestError``."""


__all__ = (
    'REQUEST_ID_BYTES',
    'Response',
    'Filter',
    'Proceed',
    'Request',
)
