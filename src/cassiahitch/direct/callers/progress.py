"""How far an exchange with a caller has come."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Phase(StrEnum):
    """Where an exchange is."""

    header = 'header read'
    body = 'body being read'
    place = 'waiting for a place'
    replica = 'at a replica'
    writing = 'being written'


@dataclass(slots=True)
class Progress:
    """Times in seconds of the loop's clock, and bytes of the answer.

    ``handed`` counts the bytes that were given to the connection, ``left`` those known to have
    left the process. ``cut`` tells that this process ended the exchange, not its caller.
    ``replica`` is where the request was last, since ``placed_at``.
    """

    opened_at: float = 0
    read_at: float | None = None
    phase: Phase = Phase.header
    replica: str = ''
    attempt_started_at: float = 0
    id: str = ''
    bytes_handed_over: int = 0
    bytes_sent: int = 0
    cut_by_shutdown: bool = False

    def record_attempt(self, replica: str, now: float) -> None:
        """Note that the request goes to a replica.

        :param replica: its name.
        :param now: seconds.
        """
        self.phase = Phase.replica
        self.replica = replica
        self.attempt_started_at = now

    @property
    def bytes_unsent(self) -> int:
        """Bytes of the answer that are not known to have left the process."""
        return self.bytes_handed_over - self.bytes_sent


__all__ = (
    'Phase',
    'Progress',
)
