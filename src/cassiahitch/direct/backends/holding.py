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
DROPPED_BYTES = 1_048_576


@dataclass(slots=True)
class Holding:
    """Counts the bytes of answers that are held."""

    bounds: AnswerBounds
    bytes: int = 0

    @contextmanager
    def hold(self) -> Iterator[Held]:
        """Hold an answer.

        :yield: its parts.
        """
        held = Held(self)
        try:
            yield held
        finally:
            self.bytes -= held.size


@dataclass(slots=True)
class Held:
    """The parts of an answer that are held."""

    holding: Holding
    parts: list[bytes] = field(default_factory=list)
    size: int = 0

    def add(self, part: bytes) -> bool:
        """Hold one more part.

        :param part: the part.
        :return: whether more may be held.
        """
        self.parts.append(part)
        self.size += len(part)
        self.holding.bytes += len(part)
        bounds = self.holding.bounds
        return self.size <= bounds.held and self.holding.bytes <= bounds.held_by_all

    def take(self) -> list[bytes]:
        """Return the parts, which are held no longer.

        :return: parts.
        """
        parts = self.parts
        self.parts = []
        self.holding.bytes -= self.size
        self.size = 0
        return parts


__all__ = (
    'DROPPED_BYTES',
    'Held',
    'Holding',
)
