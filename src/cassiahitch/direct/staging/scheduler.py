"""Decides which chunks of a version an agent fetches next, and from which source.

Load pattern: all agents need all chunks at the same time over links of about the same rate, so
that a version is everywhere soonest if every link sends all the time. One agent fetches a chunk
from the origin, and one agent of each further region fetches it from another region. Within a
region, agents send each other maps of the chunks they hold, and fetch from the least busy holder,
rare chunks first. While an engine may serve nothing, each region that the origin can supply
fetches its own copy from it.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from operator import itemgetter
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.fleet import ChunkFetch, Fleet, FromOrigin, FromPeer, FromRegion
from cassiahitch.direct.staging.uploads import MAX_QUEUED_UPLOADS
from cassiahitch.weights.tree import rendezvous_order

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

#: Most chunks that are received at once from agents of the own region.
MAX_PEER_FETCHES = 4
#: Seconds after which a chunk from the own region is late, which means that the link of this host
#: carries less than usual.
LATE_AFTER_S = 1.0
#: Chunks that are requested at once from agents of another region; most of them wait there.
MAX_REGION_FETCHES = 6
#: Chunks that are requested at once from the origin.
MAX_ORIGIN_FETCHES = 2
#: Seconds after its last chunk map until another agent counts as unavailable.
HOLDER_EXPIRY_S = 1.2
#: Seconds without a new chunk in the region after which the agent next in rank fetches a chunk.
TAKEOVER_DELAY_S = 2.0
#: Maximum number of takeover delays that an agent waits, whatever its rank.
MAX_TAKEOVER_RANK = 4
#: Seconds for which an agent that failed is chosen last.
PENALTY_S = 3.0
#: Failures of other regions after which a chunk is fetched from the origin.
MAX_REGION_FAILURES = 6
#: Seconds after which a chunk that another region does not send is also requested of the origin.
REGION_LATE_AFTER_S = 1.5
#: Chunks held by a single host of the region from which on its link is too slow for all others.
OVERLOADED_HOLDER_CHUNKS = 8
#: Failures of the origin in a row after which a region fetches from the previous one in the chain.
MAX_ORIGIN_FAILURES = 3
#: Refusals of a chunk by agents of another region that together count as one failure, and after
#: which not only the first of them is asked.
MAX_REGION_REFUSALS = 3
#: First delay after a failure of the origin, in seconds, and how often it is doubled at most.
ORIGIN_RETRY_DELAY_S = 0.06
MAX_RETRY_DOUBLINGS = 4


@dataclass(slots=True)
class Holder:
    """Last chunk map of an agent of the own region.

    ``held`` is the bitmap of its chunks, and ``uploads`` the number of chunks that it sends or has
    queued. ``penalty_until`` is the time until which it is chosen last because of a failure.
    """

    held: int = 0
    uploads: int = 0
    received_at: float = float('-inf')
    penalty_until: float = float('-inf')


@dataclass(slots=True)
class ChunkScheduler:
    """Schedules the fetch of ``count`` chunks; ``held`` is the bitmap of those on this host.

    ``origin_interval_s`` is the time between two requests to the origin. Chunks are requested from
    it one by one at that interval: if all were requested at once, all would arrive last, and there
    would be nothing to pass on to other hosts before. While ``is_urgent`` is set, the engine may
    serve nothing until this host holds all chunks, and ``origin_regions`` regions fetch a copy of
    their own from the origin.

    ``in_flight`` holds the fetch of each requested chunk and ``requested_at`` its time.
    ``region_failures`` and ``region_refusals`` count failures and refusals of other regions by
    chunk. ``region_held`` is the bitmap of the chunks that other hosts of the region have held, and
    ``progress_at`` is when a chunk last arrived at this host or at another one of the
    region.
    """

    fleet: Fleet
    count: int
    rng: random.Random
    origin_interval_s: float
    started_at: float
    held: int = 0
    holders: dict[str, Holder] = field(default_factory=dict)
    in_flight: dict[int, ChunkFetch] = field(default_factory=dict)
    region_failures: dict[int, int] = field(default_factory=dict)
    region_refusals: dict[int, int] = field(default_factory=dict)
    requested_at: dict[int, float] = field(default_factory=dict)
    is_urgent: bool = False
    origin_regions: int = 1
    peer_fetch_limit: int = MAX_PEER_FETCHES
    origin_failures: int = 0
    origin_retry_at: float = float('-inf')
    region_held: int = 0
    progress_at: float = field(init=False)

    def __post_init__(self) -> None:
        """Count the time without progress from the start."""
        self.progress_at = self.started_at

    @property
    def complete(self) -> bool:
        """Whether this host holds all chunks."""
        return self.held == (1 << self.count) - 1

    def update_holder(self, host: str, held: int, uploads: int, now: float) -> None:
        """Record the chunk map of another agent of the own region.

        :param host: the agent.
        :param held: bitmap of the chunks that it holds.
        :param uploads: number of chunks that it sends or has queued to send.
        :param now: current time in seconds.
        """
        if host not in self.fleet.region_hosts:
            return
        holder = self.holders.setdefault(host, Holder())
        if held & ~holder.held:
            self.progress_at = now
        if held & ~(self.region_held | self.held):
            self.record_origin_recovery(now)
        self.region_held |= held
        holder.held = held
        holder.uploads = uploads
        holder.received_at = now

    def record_origin_recovery(self, now: float) -> None:
        """Allow requests to the origin at once, since it has sent a chunk to the region.

        Load pattern: the origin returns after some seconds. By then its agents have failed so often
        that each asks it again only after a long delay, while another one has reached it already.

        :param now: current time in seconds.
        """
        self.origin_failures = 0
        self.origin_retry_at = min(self.origin_retry_at, now)

    def record_arrival(self, index: int, now: float) -> None:
        """Record that a chunk has arrived at this host.

        :param index: its position.
        :param now: current time in seconds.
        """
        fetch = self.in_flight.pop(index, None)
        self.held |= 1 << index
        self.progress_at = now
        match fetch:
            case FromOrigin():
                self.origin_failures = 0
            case FromPeer():
                self.adjust_peer_limit(now - self.requested_at.get(index, now))

    def record_progress(self, index: int, now: float) -> None:
        """Record that a chunk of another region makes progress, or waits for the receive window.

        :param index: its position.
        :param now: current time in seconds; infinity while this host delays the transfer, since its
            source is not late then.
        """
        self.requested_at[index] = now

    def adjust_peer_limit(self, took_s: float) -> None:
        """Allow one concurrent chunk after a late chunk, and one more after each that is on time.

        Load pattern: the link of a host carries a fraction of its rate, and requests for the
        engine queue on it behind the chunks that were requested.

        :param took_s: seconds that a chunk took.
        """
        if took_s > LATE_AFTER_S:
            self.peer_fetch_limit = 1
        else:
            self.peer_fetch_limit = min(MAX_PEER_FETCHES, self.peer_fetch_limit + 1)

    def record_failure(self, fetch: ChunkFetch, now: float) -> None:
        """Record that a source failed to send a chunk.

        :param fetch: the fetch.
        :param now: current time in seconds.
        """
        index = fetch.index
        self.remove_in_flight(fetch)
        match fetch:
            case FromPeer(host=host):
                holder = self.holders.setdefault(host, Holder())
                holder.held &= ~(1 << index)
                holder.penalty_until = now + PENALTY_S
                self.adjust_peer_limit(now - self.requested_at.get(index, now))
            case FromRegion():
                self.region_failures[index] = self.region_failures.get(index, 0) + 1
            case FromOrigin():
                doublings = min(self.origin_failures, MAX_RETRY_DOUBLINGS)
                self.origin_failures += 1
                delay_s = ORIGIN_RETRY_DELAY_S * (1 << doublings) * self.rng.uniform(1, 2)
                self.origin_retry_at = now + delay_s

    def remove_in_flight(self, fetch: ChunkFetch) -> None:
        """Remove a fetch from those in flight, unless another fetch of its chunk replaced it."""
        if self.in_flight.get(fetch.index) == fetch:
            self.in_flight.pop(fetch.index)

    def record_refusal(self, fetch: ChunkFetch, now: float) -> None:
        """Record that an agent is busy or does not hold the chunk yet.

        :param fetch: the fetch.
        :param now: current time in seconds.
        """
        self.remove_in_flight(fetch)
        match fetch:
            case FromPeer(host=host):
                holder = self.holders.setdefault(host, Holder())
                holder.uploads = max(holder.uploads, MAX_QUEUED_UPLOADS)
            case _:
                refusals = self.region_refusals.get(fetch.index, 0) + 1
                self.region_refusals[fetch.index] = refusals

    def schedule(self, now: float) -> tuple[ChunkFetch, ...]:
        """Return the fetches to start now, and count them as in flight.

        :param now: current time in seconds.
        :return: the fetches.
        """
        fetches: list[ChunkFetch] = []
        live_holders = self.live_holders(now)
        missing = {
            index: [host for host, held in live_holders if held >> index & 1]
            for index in range(self.count)
            if self.is_unscheduled(index)
        }
        fetches.extend(self.upstream_fetches(missing, now))
        fetches.extend(self.peer_fetches(missing, now))
        return tuple(fetches)

    def is_unscheduled(self, index: int) -> bool:
        """Return whether a chunk is neither held by this host nor in flight."""
        return not self.held >> index & 1 and index not in self.in_flight

    def upstream_fetches(self, missing: dict[int, list[str]], now: float) -> Iterator[ChunkFetch]:
        """Yield fetches from the origin and from other regions that this host is to start."""
        for index in self.late_region_chunks(now):
            if self.may_start(FromOrigin(index), now):
                self.region_failures[index] = MAX_REGION_FAILURES
                self.in_flight[index] = FromOrigin(index)
                yield self.in_flight[index]
        overloaded = self.overloaded_holders(missing)
        for index, holders in missing.items():
            can_send = bool(holders) and not overloaded.issuperset(holders)
            if can_send or self.upstream_due_at(index, now) > now:
                continue
            fetch = self.upstream_source(index)
            if self.may_start(fetch, now):
                self.in_flight[index] = fetch
                self.requested_at[index] = now
                yield fetch

    def may_start(self, fetch: ChunkFetch, now: float) -> bool:
        """Return whether a fetch may start now."""
        is_delayed = isinstance(fetch, FromOrigin) and now < self.origin_retry_at
        return self.has_capacity(fetch) and not is_delayed

    def late_region_chunks(self, now: float) -> tuple[int, ...]:
        """Return the chunks that were requested from another region too long ago.

        Load pattern: the host of the other region is stalled, and without a second source all
        hosts of the own region lack the chunk until the call times out.
        """
        return tuple(
            index
            for index, fetch in self.in_flight.items()
            if isinstance(fetch, FromRegion)
            and now - self.requested_at[index] > REGION_LATE_AFTER_S
        )

    def overloaded_holders(self, missing: dict[int, list[str]]) -> set[str]:
        """Return the hosts that are the only holders of so many chunks that they delay the region.

        Load pattern: after a loss of power, one host of a region holds a complete version. All
        others request it from that host, and nothing comes from the origin.
        """
        if not self.is_urgent:
            return set()
        sole_holders = Counter(holders[0] for holders in missing.values() if len(holders) == 1)
        return {host for host, chunks in sole_holders.items() if chunks >= OVERLOADED_HOLDER_CHUNKS}

    def fetches_from(self, host: str) -> int:
        """Return how many chunks are in flight from an agent of the own region."""
        return sum(
            isinstance(fetch, FromPeer) and fetch.host == host for fetch in self.in_flight.values()
        )

    def peer_fetches(self, missing: dict[int, list[str]], now: float) -> Iterator[ChunkFetch]:
        """Yield fetches from agents of the own region, of the least busy holders first.

        Among equally busy holders, rare chunks come first. If rarity came before load, all agents
        would send requests to the only holder of the rarest chunk.
        """
        candidates: list[tuple[int, int, float, FromPeer]] = []
        for index, holders in missing.items():
            if holders:
                load, _, host = min(self.holder_score(host, now) for host in holders)
                tie_break = self.rng.random()
                candidates.append((int(load), len(holders), tie_break, FromPeer(index, host)))
        for _, _, _, fetch in sorted(candidates, key=itemgetter(0, 1, 2)):
            if not self.has_capacity(fetch):
                return
            self.in_flight[fetch.index] = fetch
            self.requested_at[fetch.index] = now
            yield fetch

    def holder_score(self, host: str, now: float) -> tuple[float, float, str]:
        """Return the load of a holder with jitter, so that not all agents choose the same one."""
        return self.holder_load(host, now) + self.rng.random(), self.rng.random(), host

    def live_holders(self, now: float) -> tuple[tuple[str, int], ...]:
        """Return the agents of the region with a recent chunk map, and the bitmaps they sent."""
        return tuple(
            (host, holder.held)
            for host, holder in self.holders.items()
            if now - holder.received_at < HOLDER_EXPIRY_S
        )

    def holder_load(self, host: str, now: float) -> float:
        """Return how busy a holder is; one that failed lately counts as busier than any other."""
        holder = self.holders[host]
        penalty = self.count if now < holder.penalty_until else 0
        return holder.uploads + self.fetches_from(host) + penalty

    def upstream_due_at(self, index: int, now: float) -> float:
        """Return when this host is to fetch a chunk from the origin or from another region."""
        ahead = sum(
            self.is_expected_to_fetch(host, index, now)
            for host in self.fleet.preceding_hosts(index)
        )
        rank = min(ahead, MAX_TAKEOVER_RANK)
        due = self.started_at + index * self.origin_interval_s * self.origin_copies
        if rank:
            return max(due, self.progress_at) + rank * TAKEOVER_DELAY_S
        return due

    def is_expected_to_fetch(self, host: str, index: int, now: float) -> bool:
        """Return whether another host of the region lacks a chunk and is available to fetch it."""
        holder = self.holders.get(host)
        has_chunk = holder is not None and holder.held >> index & 1
        return not has_chunk and self.is_available(host, now)

    @property
    def origin_copies(self) -> int:
        """Number of regions that fetch a copy from the origin at the same time."""
        if self.is_urgent and self.origin_failures < MAX_ORIGIN_FAILURES:
            return min(self.origin_regions, len(self.fleet.regions))
        return 1

    def is_available(self, host: str, now: float) -> bool:
        """Return whether an agent of the region sent a chunk map lately, or had no time to yet."""
        if now - self.started_at < HOLDER_EXPIRY_S:
            return True
        holder = self.holders.get(host)
        return holder is not None and now - holder.received_at < HOLDER_EXPIRY_S

    def upstream_source(self, index: int) -> ChunkFetch:
        """Return the fetch of a chunk from its source outside of the own region."""
        chain = self.fleet.region_chain(index)
        position = chain.index(self.fleet.local_agent.region)
        failures = self.region_failures.get(index, 0)
        refusals = self.region_refusals.get(index, 0)
        total_failures = failures + refusals // MAX_REGION_REFUSALS
        if position < self.origin_copies or total_failures >= MAX_REGION_FAILURES:
            return FromOrigin(index)
        hosts = rendezvous_order(index, self.fleet.hosts_in(chain[position - 1]))
        return FromRegion(index, hosts[source_rank(failures, refusals) % len(hosts)])

    def has_capacity(self, fetch: ChunkFetch) -> bool:
        """Return whether one more fetch of the same kind of source may be in flight."""
        same_kind = sum(isinstance(other, type(fetch)) for other in self.in_flight.values())
        match fetch:
            case FromOrigin():
                return same_kind < MAX_ORIGIN_FETCHES
            case FromRegion():
                return same_kind < MAX_REGION_FETCHES
            case FromPeer():
                return same_kind < self.peer_fetch_limit


def source_rank(failures: int, refusals: int) -> int:
    """Return which agent of another region is asked for a chunk.

    Load pattern: the origin is unavailable for some seconds, and no agent of the other region holds
    the chunk. The first one in rank will be the one that fetches it, and the others get it later
    from there. But it may also wait in vain, so that each second request goes to another agent.

    :param failures: failures to fetch the chunk from an agent of the region.
    :param refusals: how often agents of the region did not hold the chunk yet.
    :return: rank of the agent; each failure excludes one more of the first agents.
    """
    tries = max(0, refusals - MAX_REGION_REFUSALS + 1)
    if tries % 2:
        return failures + tries // 2 + 1
    return failures


__all__ = ('ChunkScheduler',)
