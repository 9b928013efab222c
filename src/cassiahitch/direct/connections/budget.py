"""Decides which connections are closed to keep what a process holds for them within its limits.

Load pattern: many clients each send or read less than any limit of one connection, very slowly or
not to the end, and together hold more memory and descriptors than the host has. They come back at
once when they are closed. Ordinary requests arrive complete and within milliseconds, so that a
connection has time to send one before it is closed for the next one, and bytes that arrive now and
then don't count as progress.
"""

from __future__ import annotations

import math
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
#: Bytes that count as progress; fewer do once the request or response is complete.
STEP_BYTES = 256
#: Fraction of a limit down to which connections are closed, so that few decisions are needed.
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


class Order(IntEnum):
    """Groups of connections in the order in which they are closed."""

    #: A request or a response is not complete and makes no progress, the longest stall first.
    stalled = 0
    #: Idle since an earlier request, the longest first.
    idle = 1
    #: Progress toward a complete request or response, the lowest rate first.
    slow = 2
    #: New, or with a new request, the oldest first.
    new = 3
    #: Idle since a request that has just ended, the oldest first.
    used = 4


#: Place of a connection in the order in which they are closed; the lowest is closed first.
Rank = tuple[Order, float]


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
    bytes in both directions since ``stage_at``, and ``step_bytes`` those of them until ``step_at``,
    when the last ``STEP_BYTES`` or the stage were complete. ``waits_for_turn`` is set while the
    process delays the client, which then makes no progress. Times are in seconds.
    """

    stage_at: float
    progress_at: float
    stage: Stage = Stage.idle
    request_bytes: int = 0
    unread_bytes: int = 0
    moved_bytes: int = 0
    waits_for_turn: bool = False
    requests: int = 0
    step_at: float = field(init=False)
    step_bytes: int = 0

    def __post_init__(self) -> None:
        """Count the start as progress."""
        self.step_at = self.progress_at

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
        self.moved_bytes = 0
        self.restart(now)

    def restart(self, now: float) -> None:
        """Start to wait for the client, which had nothing to send or read before.

        :param now: current time, in seconds.
        """
        self.progress_at = now
        self.step_at = now
        self.step_bytes = self.moved_bytes

    def move(self, count: int, now: float) -> None:
        """Record bytes that were received or that the client has read.

        :param count: the number of bytes.
        :param now: current time, in seconds.
        """
        self.moved_bytes += count
        self.progress_at = now
        if self.moved_bytes - self.step_bytes >= STEP_BYTES:
            self.step_at = now
            self.step_bytes = self.moved_bytes

    def rank(self, now: float) -> Rank:
        """Return the place in the order in which connections are closed.

        :param now: current time, in seconds.
        :return: the rank.
        """
        is_used = self.stage is Stage.idle and self.requests > 0
        if now - self.step_at >= STALL_S:
            return Order.idle if is_used else Order.stalled, self.step_at
        age_s = now - self.stage_at
        if age_s >= STALL_S:
            return Order.slow, self.moved_bytes / age_s
        return Order.used if is_used else Order.new, self.stage_at


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
        if not self.exceeded:
            return []
        ranked = [(one.rank(now), one) for one in self.holdings if one.closable]
        ranked.sort(key=itemgetter(0))
        for_memory = self._excess_memory([one for _, one in ranked])
        kept = [item for item in ranked if item[1] not in for_memory]
        for_number = self._excess_connections(kept, len(self.holdings) - len(for_memory))
        return [
            *((one, CloseReason.memory) for one in for_memory),
            *((one, CloseReason.connections) for one in for_number),
        ]

    def expired(self, now: float) -> Iterable[tuple[Holding, CloseReason]]:
        """Choose the connections to close because a time has passed.

        :param now: current time, in seconds.
        :return: connections and reasons.
        """
        limits = self.limits
        short = self.used_bytes > UNREAD_RESPONSE_WATERMARK * limits.total_bytes
        found = ((one, _expiry(one, limits, now, short=short)) for one in self.holdings)
        return [(holding, reason) for holding, reason in found if reason is not None]

    def _excess_memory(self, ranked: list[Holding]) -> dict[Holding, None]:
        """Choose, in order, the connections that hold too much; large ones before small ones."""
        if self.used_bytes <= self.limits.total_bytes:
            return {}
        excess_bytes = self.used_bytes - LOW_WATERMARK * self.limits.total_bytes
        chosen: dict[Holding, None] = {}
        large_first = sorted(ranked, key=lambda one: one.size <= SMALL_BYTES)
        for holding in large_first:
            if excess_bytes <= 0:
                break
            chosen[holding] = None
            excess_bytes -= holding.size
        return chosen

    def _excess_connections(self, ranked: list[tuple[Rank, Holding]], number: int) -> list[Holding]:
        """Choose from too many connections, more than necessary only of those that have stalled."""
        limit = self.limits.max_connections
        if number <= limit:
            return []
        necessary = number - limit
        useful = number - math.ceil(LOW_WATERMARK * limit)
        return [
            *(holding for _, holding in ranked[:necessary]),
            *(one for rank, one in ranked[necessary:useful] if rank[0] is Order.stalled),
        ]


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
