"""Memory limits for responses that are buffered.

Load pattern: a failing backend server sends endless responses to many requests at once. Without a
limit, the buffers would exhaust the memory of the process and with it fail the requests to all
other backend servers.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.settings.limits import ResponseLimits

#: Maximum bytes of a response that are read only to reuse the connection; beyond, it is closed.
MAX_DISCARDED_BYTES = 1_048_576


@dataclass(slots=True)
class BufferBudget:
    """Counts the bytes of all buffered responses, against the limit that they share."""

    limits: ResponseLimits
    used_bytes: int = 0

    @contextmanager
    def allocate(self) -> Iterator[ResponseBuffer]:
        """Create the buffer of one response; its bytes are released at the end.

        :yield: the buffer.
        """
        buffer = ResponseBuffer(self)
        try:
            yield buffer
        finally:
            self.used_bytes -= buffer.size


@dataclass(slots=True)
class ResponseBuffer:
    """The buffered parts of one response."""

    buffer_budget: BufferBudget
    parts: list[bytes] = field(default_factory=list)
    size: int = 0

    def add(self, part: bytes) -> bool:
        """Buffer another part.

        :param part: the part.
        :return: whether the response is still within the limits.
        """
        self.parts.append(part)
        self.size += len(part)
        self.buffer_budget.used_bytes += len(part)
        limits = self.buffer_budget.limits
        return (
            self.size <= limits.buffer_bytes
            and self.buffer_budget.used_bytes <= limits.total_buffer_bytes
        )

    def pop_parts(self) -> list[bytes]:
        """Return the buffered parts and empty the buffer.

        :return: the parts.
        """
        parts = self.parts
        self.parts = []
        self.buffer_budget.used_bytes -= self.size
        self.size = 0
        return parts


__all__ = (
    'MAX_DISCARDED_BYTES',
    'BufferBudget',
    'ResponseBuffer',
)
