"""Requests for chunks that are in progress: their deadlines, and the limits on their number."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.weights.tree import Source

#: Minimum number of unresponsive sources from which a stall is attributed to this host's own link.
OWN_LINK_STALL_MIN_SOURCES = 3
#: Share of the stall timeout without any message from any source that counts as a stalled link.
OWN_LINK_STALL_SHARE = 0.9
#: Maximum number of consecutive extensions of all deadlines while the link appears stalled.
MAX_STALL_EXTENSIONS = 30


@dataclass(frozen=True, slots=True)
class FetchLimits:
    """Limits of a fetcher: concurrent requests, and times in seconds.

    ``stall_timeout_s`` limits the time without a message from a peer, ``wait_timeout_s`` the total
    time that a request to a peer may take, and ``origin_timeout_s`` that of one to the origin.
    Retries wait ``retry_delay_s``, doubled with each failure of the origin. A peer that stalled is
    excluded for ``suspect_duration_s``. Hosts that fall back to the origin do so
    ``origin_stagger_s`` apart.
    """

    max_in_flight: int = 32
    max_origin_in_flight: int = 2
    stall_timeout_s: float = 3
    wait_timeout_s: float = 300
    origin_timeout_s: float = 60
    retry_delay_s: float = 1
    suspect_duration_s: float = 30
    origin_stagger_s: float = 2


@dataclass(slots=True)
class ActiveFetch:
    """A request for a chunk that is in progress; times in seconds."""

    source: Source
    started: float
    deadline: float


@dataclass(slots=True)
class ActiveFetches:
    """The requests in progress, by the index of their chunk.

    ``last_activity_at`` is when any source last sent a message, in seconds. ``stall_extensions``
    counts how often all deadlines were extended since then.
    """

    limits: FetchLimits
    by_index: dict[int, ActiveFetch] = field(default_factory=dict)
    last_activity_at: float = 0
    stall_extensions: int = 0

    def start(self, index: int, source: Source, now: float) -> ActiveFetch:
        """Add a request.

        :param index: the chunk.
        :param source: the source that it is requested from.
        :param now: current time in seconds.
        :return: the request.
        """
        fetch = ActiveFetch(source, now, now)
        fetch.deadline = self.deadline(fetch, now)
        self.by_index[index] = fetch
        return fetch

    def remove(self, index: int, source: Source) -> bool:
        """Remove the request for a chunk if it was sent to this source.

        :param index: the chunk.
        :param source: the source.
        :return: whether it was removed.
        """
        fetch = self.by_index.get(index)
        if fetch is None or fetch.source.host != source.host:
            return False
        self.by_index.pop(index)
        return True

    def from_host(self, host: str) -> tuple[tuple[int, ActiveFetch], ...]:
        """Return the requests to a host.

        :param host: the host, empty for the origin.
        :return: indexes of chunks, and the requests.
        """
        return tuple(
            (index, fetch) for index, fetch in self.by_index.items() if fetch.source.host == host
        )

    def record_activity(self, host: str, now: float) -> None:
        """Extend the deadlines of the requests to a host that sent a message.

        :param host: the host.
        :param now: current time in seconds.
        """
        self.stall_extensions = 0
        self.last_activity_at = now
        for _, fetch in self.from_host(host):
            fetch.deadline = self.deadline(fetch, now)

    def deadline(self, fetch: ActiveFetch, now: float) -> float:
        """Return when a request expires unless its source is active before that.

        :param fetch: the request.
        :param now: current time in seconds.
        :return: seconds.
        """
        if fetch.source.is_origin:
            return now + self.limits.origin_timeout_s
        return min(now + self.limits.stall_timeout_s, fetch.started + self.limits.wait_timeout_s)

    def expire(self, now: float) -> tuple[int, ...]:
        """Return the expired requests, unless the own link appears stalled.

        :param now: current time in seconds.
        :return: indexes of their chunks; none if all deadlines were extended instead.
        """
        expired = tuple(index for index, fetch in self.by_index.items() if fetch.deadline <= now)
        if not expired or not self.is_own_link_stalled(now):
            return expired
        self.stall_extensions += 1
        for fetch in self.by_index.values():
            fetch.deadline = max(fetch.deadline, now + self.limits.stall_timeout_s)
        return ()

    def is_own_link_stalled(self, now: float) -> bool:
        """Return whether all sources became unresponsive at once.

        The likely cause is then this host's own link, so no source is suspected.

        :param now: current time in seconds.
        :return: whether the link appears stalled, and the deadlines may be extended once more.
        """
        requested_hosts = {fetch.source.host for fetch in self.by_index.values()} - {''}
        is_stalled = (
            now - self.last_activity_at >= self.limits.stall_timeout_s * OWN_LINK_STALL_SHARE
        )
        return (
            is_stalled
            and len(requested_hosts) >= OWN_LINK_STALL_MIN_SOURCES
            and self.stall_extensions < MAX_STALL_EXTENSIONS
        )

    def has_exceeded_wait(self, fetch: ActiveFetch) -> bool:
        """Return whether a request has expired although its source was active.

        :param fetch: an expired request.
        :return: whether it took the total time that a request to a peer may take.
        """
        return fetch.deadline >= fetch.started + self.limits.wait_timeout_s

    def has_capacity(self, *, origin: bool, reserve_for_origin: bool) -> bool:
        """Return whether the limits allow one more request.

        One request is reserved for chunks whose source is the origin. Otherwise hosts whose
        requests all wait for each other's chunks would never retry the origin after it failed.

        :param origin: whether the request goes to the origin.
        :param reserve_for_origin: whether a chunk waits for a request to the origin.
        :return: whether the request may start.
        """
        available = self.limits.max_in_flight - len(self.by_index)
        origin_count = sum(fetch.source.is_origin for fetch in self.by_index.values())
        if origin:
            return available > 0 and origin_count < self.limits.max_origin_in_flight
        reserved = reserve_for_origin and not origin_count and self.limits.max_in_flight > 1
        return available > reserved


__all__ = (
    'ActiveFetch',
    'ActiveFetches',
    'FetchLimits',
)
