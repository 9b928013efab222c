"""How much of answers is held in memory.

Load pattern: a backend server in trouble sends bytes without end, to many requests at once. What is
held ends the process, and with it the requests to all other backend servers.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.settings.bounds import AnswerBounds

#: Bytes of an answer that nobody gets, after which its connection is given up.
MAX_DISCARDED_BYTES = 1_048_576


@dataclass(slots=True)
class BufferBudget:
    """Counts the bytes of answers that are held."""

    bounds: AnswerBounds
    used_bytes: int = 0

    @contextmanager
    def allocate(self) -> Iterator[ResponseBuffer]:
        """Hold an answer.

        :yield: its parts.
        """
        held = ResponseBuffer(self)
        try:
            yield held
        finally:
            self.used_bytes -= held.size


@dataclass(slots=True)
class ResponseBuffer:
    """The parts of an answer that are held."""

    buffer_budget: BufferBudget
    parts: list[bytes] = field(default_factory=list)
    size: int = 0

    def add(self, part: bytes) -> bool:
        """Hold one more part.

        :param part: the part.
        :return: whether more may be held.
        """
        self.parts.append(part)
        self.size += len(part)
        self.buffer_budget.used_bytes += len(part)
        bounds = self.buffer_budget.bounds
        return self.size <= bounds.held and self.buffer_budget.used_bytes <= bounds.held_by_all

    def take(self) -> list[bytes]:
        """Return the parts, which are held no longer.

        :return: parts.
        """
        parts = self.parts
        self.parts = []
        self.buffer_budget.used_bytes -= self.size
        self.size = 0
        return parts


__all__ = (
    'MAX_DISCARDED_BYTES',
    'ResponseBuffer',
    'BufferBudget',
)
