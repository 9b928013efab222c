"""Progress of an exchange with a caller."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Phase(StrEnum):
    """Phase of an exchange, as log lines and metrics name it."""

    header = 'header read'
    body = 'body being read'
    place = 'waiting for a place'
    replica = 'at a replica'
    writing = 'being written'


@dataclass(slots=True)
class Progress:
    """Progress of one exchange; times are in seconds of the event loop's clock.

    ``opened_at`` is when the header was read and ``read_at`` when the body was. ``replica`` is the
    id of the last replica that the request was assigned to, at ``attempt_started_at``.
    ``bytes_handed_over`` counts the bytes of the response body that were passed to the connection,
    ``bytes_sent`` those that are known to have been written to the socket. ``cut_by_shutdown`` is
    set if this process closed the connection before the response was sent.
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
        """Record that the request is assigned to a replica.

        :param replica: id of the replica.
        :param now: current time, in seconds.
        """
        self.phase = Phase.replica
        self.replica = replica
        self.attempt_started_at = now

    @property
    def bytes_unsent(self) -> int:
        """Bytes of the response that are not known to have been written to the socket."""
        return self.bytes_handed_over - self.bytes_sent


__all__ = (
    'Phase',
    'Progress',
)
