"""Decides which connections are closed to keep what a process holds for them within its limits.

Load pattern: many clients each send or read less than any limit of one connection, very slowly or
not to the end, and together hold more memory and descriptors than the host has. Ordinary requests
arrive complete and within milliseconds, so that they are never among those that make no progress.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from operator import itemgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Bytes that are counted for the objects of an open connection and its request.
CONNECTION_COST_BYTES = 16_384
#: Bytes that are counted for the objects of a header field besides its text.
FIELD_COST_BYTES = 320
#: Memory of a buffer that grows, for each of its bytes: it has spare room, and is moved at times.
BUFFER_OVERHEAD = 1.25
#: Bytes up to which a connection is small: the objects, and a header of the usual limit. Larger
#: connections are closed first, so that a reserve remains for small requests.
SMALL_BYTES = 2 * CONNECTION_COST_BYTES
#: Time without progress after which a connection counts as stalled, in seconds; callers on slow
#: links send or read something in it.
STALL_S = 1.0
#: Least time over which a rate of progress is computed, in seconds.
MIN_RATE_INTERVAL_S = 0.25
#: Fraction of the limit down to which connections are closed, so that few decisions are needed.
LOW_WATERMARK = 0.875
#: Fraction of the limit above which unread responses are cut after the idle timeout.
UNREAD_RESPONSE_WATERMARK = 0.5
#: Fraction of the limit that large bodies leave to small requests.
LARGE_BODY_SHARE = 0.75
#: Time for a header beyond the configured one, in seconds.
HEADER_MARGIN_S = 1.0
#: Size of a header beyond the configured one up to which it gets an error response, in bytes.
HEADER_MARGIN_BYTES = 131_072
#: Bytes of the smallest header field that a client can send.
MIN_FIELD_BYTES = 4
#: Least mean rate of a body after the idle timeout, in bytes per second.
MIN_BODY_BYTES_S = 256


class CloseReason(StrEnum):
    """Why a connection is closed before its client closes it."""

    header_timeout = 'header_timeout'
    body_timeout = 'body_timeout'
    unread_response = 'unread_response'
    memory = 'memory'
    connections = 'connections'


class Stage(IntEnum):
    """What is awaited on a connection."""

    idle = 0
    header = 1
    body = 2
    served = 3


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of all connections, bytes and number; of each, times in seconds and header bytes."""

    total_bytes: int
    max_connections: int
    header_s: float = 60
    idle_s: float = 60
    header_bytes: int = 65_536

    @property
    def read_header_bytes(self) -> int:
        """Largest header that is read, in bytes."""
        return self.header_bytes + HEADER_MARGIN_BYTES

    @property
    def max_fields(self) -> int:
        """Largest number of fields of a header, which a header of legal size cannot exceed."""
        return self.header_bytes // MIN_FIELD_BYTES


@dataclass(slots=True, eq=False)
class Holding:
    """What is held for one connection, and its progress.

    ``request_bytes`` are those of the request that is read or served, with its objects, and
    ``unread_bytes`` those of its response that the client has not read. ``moved_bytes`` counts
    bytes in both directions since ``stage_at``. ``waits_for_turn`` is set while the process delays
    the client, which then makes no progress. Times are in seconds.
    """

    stage_at: float
    progress_at: float
    stage: Stage = Stage.idle
    request_bytes: int = 0
    unread_bytes: int = 0
    moved_bytes: int = 0
    waits_for_turn: bool = False
    requests: int = 0

    @property
    def size(self) -> int:
        """Bytes that are held, with the objects of the connection."""
        return CONNECTION_COST_BYTES + self.request_bytes + self.unread_bytes

    @property
    def closable(self) -> bool:
        """Whether closing it ends no request that is making progress at a backend server."""
        return self.stage is not Stage.served or self.unread_bytes > 0

    def enter(self, stage: Stage, now: float) -> None:
        """Start the next stage.

        :param stage: what is awaited from now on.
        :param now: current time, in seconds.
        """
        self.stage = stage
        self.stage_at = now
        self.progress_at = now
        self.moved_bytes = 0

    def move(self, count: int, now: float) -> None:
        """Record bytes that were received or that the client has read.

        :param count: the number of bytes.
        :param now: current time, in seconds.
        """
        self.moved_bytes += count
        self.progress_at = now

    def rank(self, now: float) -> tuple[bool, bool, bool, float]:
        """Return the order in which connections are closed; the lowest first.

        Larger ones go before small ones, stalled ones before others, unfinished requests before
        idle connections that have been used, the longest stall and the lowest rate first.

        :param now: current time, in seconds.
        :return: the rank.
        """
        moving = now - self.progress_at < STALL_S
        rate = self.moved_bytes / max(MIN_RATE_INTERVAL_S, now - self.stage_at)
        used = self.stage is Stage.idle and self.requests > 0
        return self.size <= SMALL_BYTES, moving, used, rate if moving else self.progress_at


@dataclass(slots=True)
class ConnectionBudget:
    """What is held for all connections of a process, against the limits that they share."""

    limits: ConnectionLimits
    holdings: set[Holding] = field(default_factory=set)
    used_bytes: int = 0

    def open(self, now: float) -> Holding:
        """Count a new connection.

        :param now: current time, in seconds.
        :return: what is held for it.
        """
        holding = Holding(now, now)
        self.holdings.add(holding)
        self.used_bytes += holding.size
        return holding

    def close(self, holding: Holding) -> None:
        """Remove a closed connection.

        :param holding: what was held for it.
        """
        if holding in self.holdings:
            self.holdings.remove(holding)
            self.used_bytes -= holding.size

    def hold(self, holding: Holding, request_bytes: int, unread_bytes: int) -> None:
        """Change what is held for a connection.

        :param holding: the connection.
        :param request_bytes: bytes of its request.
        :param unread_bytes: bytes of its response.
        """
        if holding in self.holdings:
            change = request_bytes + unread_bytes
            self.used_bytes += change - holding.request_bytes - holding.unread_bytes
        holding.request_bytes = request_bytes
        holding.unread_bytes = unread_bytes

    def readable_bytes(self, holding: Holding) -> int:
        """Return how many bytes of a connection may be read before others are closed.

        :param holding: the connection.
        :return: the number; small requests have a reserve.
        """
        free = self.limits.total_bytes - self.used_bytes
        return max(free, SMALL_BYTES - holding.size)

    def has_room(self, holding: Holding) -> bool:
        """Return whether what a connection holds is within the limit or the reserve.

        :param holding: the connection.
        :return: whether it may be kept.
        """
        return self.used_bytes <= self.limits.total_bytes or holding.size <= SMALL_BYTES

    def admits(self, length: int) -> bool:
        """Return whether a large body fits beside what may not be closed.

        :param length: length of the body, in bytes.
        :return: whether it may be read.
        """
        kept = sum(holding.size for holding in self.holdings if not holding.closable)
        return kept + length <= LARGE_BODY_SHARE * self.limits.total_bytes

    @property
    def exceeded(self) -> bool:
        """Whether connections must be closed."""
        limits = self.limits
        too_many = len(self.holdings) > limits.max_connections
        return too_many or self.used_bytes > limits.total_bytes

    def excess(self, now: float) -> list[tuple[Holding, CloseReason]]:
        """Choose the connections to close while a limit is exceeded.

        :param now: current time, in seconds.
        :return: connections and reasons, those with the least progress first.
        """
        limits = self.limits
        excess_connections = len(self.holdings) - limits.max_connections
        excess_bytes = self.used_bytes - LOW_WATERMARK * limits.total_bytes
        if self.used_bytes <= limits.total_bytes:
            excess_bytes = 0
        if excess_connections <= 0 and excess_bytes <= 0:
            return []
        ranked = [(one.rank(now), one) for one in self.holdings if one.closable]
        ranked.sort(key=itemgetter(0))
        chosen: list[tuple[Holding, CloseReason]] = []
        for _, holding in ranked:
            if excess_connections <= 0 and excess_bytes <= 0:
                break
            reason = CloseReason.memory if excess_bytes > 0 else CloseReason.connections
            chosen.append((holding, reason))
            excess_connections -= 1
            excess_bytes -= holding.size
        return chosen

    def expired(self, now: float) -> Iterable[tuple[Holding, CloseReason]]:
        """Choose the connections to close because a time has passed.

        :param now: current time, in seconds.
        :return: connections and reasons.
        """
        limits = self.limits
        short = self.used_bytes > UNREAD_RESPONSE_WATERMARK * limits.total_bytes
        found = ((one, _expiry(one, limits, now, short=short)) for one in self.holdings)
        return [(holding, reason) for holding, reason in found if reason is not None]


def _expiry(
    holding: Holding, limits: ConnectionLimits, now: float, *, short: bool
) -> CloseReason | None:
    age_s = now - holding.stage_at
    quiet_s = now - holding.progress_at
    if holding.waits_for_turn:
        return None
    match holding.stage:
        case Stage.header if age_s > limits.header_s + HEADER_MARGIN_S:
            return CloseReason.header_timeout
        case Stage.body if age_s > limits.idle_s and (
            quiet_s > limits.idle_s or holding.moved_bytes < MIN_BODY_BYTES_S * age_s
        ):
            return CloseReason.body_timeout
        case Stage.served if short and holding.unread_bytes and quiet_s > limits.idle_s:
            return CloseReason.unread_response
    return None


__all__ = (
    'BUFFER_OVERHEAD',
    'CONNECTION_COST_BYTES',
    'CloseReason',
    'ConnectionBudget',
    'ConnectionLimits',
    'FIELD_COST_BYTES',
    'Holding',
    'Stage',
)
