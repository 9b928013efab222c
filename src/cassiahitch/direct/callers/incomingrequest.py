"""A request of a caller as it was received."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.direct.api import Headers

#: HTTP version in which a response without a length ends with its connection.
CLOSE_DELIMITED_VERSION = 'HTTP/1.0'


@dataclass(slots=True)
class IncomingRequest:
    """A request as it was received."""

    method: str = ''
    target: str = ''
    version: str = ''
    headers: Headers = ()
    body: bytes = b''

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for a response before it sends the body."""
        return any(name.lower() == 'expect' for name, _ in self.headers)

    def needs_close(self, headers: Headers) -> bool:
        """Return whether only the close of the connection can show the end of a response.

        :param headers: headers of the response.
        :return: whether the caller reads no chunks, and the headers name no length.
        """
        has_length = any(name.lower() == 'content-length' for name, _ in headers)
        return self.version == CLOSE_DELIMITED_VERSION and not has_length


__all__ = ('IncomingRequest',)
