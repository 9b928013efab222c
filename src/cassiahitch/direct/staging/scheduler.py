"""Decides which chunk of a version an agent fetches next, and from where.

Load pattern: all agents need all chunks at once over links of about the same rate, so a version
is everywhere soonest if every link sends all the time. One agent draws a chunk from the origin
and one in each further region takes it over the link between regions; within a region, agents
tell each other what they hold and fetch from the least busy holder, rare chunks first. While an
engine may serve nothing, each region that the origin can feed draws its own copy.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from operator import itemgetter
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.fleet import ChunkFetch, Fleet, FromOrigin, FromPeer, FromRegion
from cassiahitch.direct.staging.uploads import MAX_QUEUED_UPLOADS
from cassiahitch.weights.tree import ranked

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

#: Most chunks that are received at once from agents of the own region.
PEER_FLIGHTS = 4
#: Seconds after which a chunk is late: the own link carries less than usual.
LATE_S = 1.0
#: Chunks that are asked of agents of another region at once; most of them wait there.
REGION_FLIGHTS = 6
#: Chunks that are asked of the origin at once.
ORIGIN_FLIGHTS = 2
#: Seconds without news after which another agent is not counted on.
SILENT_S = 1.2
#: Seconds without a new chunk in the region after which the next agent takes a duty over.
TAKEOVER_S = 2.0
#: Agents that take a duty over one after the other.
TAKEOVER_RANKS = 4
#: Seconds for which an agent that failed is asked last.
PENALTY_S = 3.0
#: Failures upstream after which a chunk is drawn from the origin.
UPSTREAM_TRIES = 6
#: Seconds after which a chunk that another region does not send is asked of the origin as well.
REGION_LATE_S = 1.5
#: Chunks that only one host of the region holds, from which on its link is too slow for all.
CROWDED_CHUNKS = 8
#: Failures of the origin in a row after which a region turns to the one before it in the chain.
ORIGIN_TRIES = 3
#: Times that an agent does not have a chunk yet until it counts as a failure.
EMPTY_ANSWERS = 3
#: First pause after a failure of the origin, in seconds, and the doublings of it.
ORIGIN_PAUSE_S = 0.06
MOST_DOUBLINGS = 4


@dataclass(slots=True)
class Holder:
    """What an agent of the own region told: the chunks that it holds, as bits, and its uploads."""

    held: int = 0
    uploads: int = 0
    heard_at: float = float('-inf')
    penalty_until: float = float('-inf')


@dataclass(slots=True)
class ChunkScheduler:
    """Fetches ``count`` chunks; ``have`` holds the bits of those that are here.

    ``pace_s`` is the time in which the origin sends one chunk; they are asked of it in turn at
    that pace, as none would be there to be passed on before the time of all otherwise.
    ``is_urgent`` tells that the engine may serve nothing until the chunks are here, and ``fed``
    how many regions then draw a copy of their own.
    """

    fleet: Fleet
    count: int
    rng: random.Random
    pace_s: float
    started_at: float
    have: int = 0
    holders: dict[str, Holder] = field(default_factory=dict)
    flights: dict[int, ChunkFetch] = field(default_factory=dict)
    tries: dict[int, int] = field(default_factory=dict)
    empty_answers: dict[int, int] = field(default_factory=dict)
    asked_at: dict[int, float] = field(default_factory=dict)
    is_urgent: bool = False
    fed: int = 1
    peer_flights: int = PEER_FLIGHTS
    origin_failures: int = 0
    origin_at: float = float('-inf')
    progress_at: float = field(init=False)

    def __post_init__(self) -> None:
        """Count the time without progress from the start."""
        self.progress_at = self.started_at

    @property
    def complete(self) -> bool:
        """Whether all chunks are here."""
        return self.have == (1 << self.count) - 1

    def told(self, host: str, held: int, uploads: int, now: float) -> None:
        """Take in what another agent holds.

        :param host: the agent.
        :param held: bits of its chunks.
        :param uploads: chunks that it sends or that wait for it to send them.
        :param now: seconds.
        """
        if host not in self.fleet.near:
            return
        holder = self.holders.setdefault(host, Holder())
        if held & ~holder.held:
            self.progress_at = now
        holder.held = held
        holder.uploads = uploads
        holder.heard_at = now

    def arrived(self, index: int, now: float) -> None:
        """Note that a chunk is here.

        :param index: its position.
        :param now: seconds.
        """
        order = self.flights.pop(index, None)
        self.have |= 1 << index
        self.progress_at = now
        match order:
            case FromOrigin():
                self.origin_failures = 0
            case FromPeer():
                self.adapt(now - self.asked_at.get(index, now))

    def moved(self, index: int, now: float) -> None:
        """Note that a chunk of another region makes progress, or waits for the own link.

        :param index: its position.
        :param now: seconds; infinite while it waits, as its source is not late then.
        """
        self.asked_at[index] = now

    def adapt(self, took_s: float) -> None:
        """Receive fewer chunks at once while they are late.

        Load pattern: the link of a host carries a fraction of its rate, and the chunks that were
        asked for are on it before the requests for the engine.

        :param took_s: seconds that a chunk took.
        """
        if took_s > LATE_S:
            self.peer_flights = 1
        else:
            self.peer_flights = min(PEER_FLIGHTS, self.peer_flights + 1)

    def failed(self, order: ChunkFetch, now: float) -> None:
        """Note that a source failed.

        :param order: what was ordered.
        :param now: seconds.
        """
        index = order.index
        self.drop(order)
        match order:
            case FromPeer(host=host):
                holder = self.holders.setdefault(host, Holder())
                holder.held &= ~(1 << index)
                holder.penalty_until = now + PENALTY_S
                self.adapt(now - self.asked_at.get(index, now))
            case FromRegion():
                self.tries[index] = self.tries.get(index, 0) + 1
            case FromOrigin():
                steps = min(self.origin_failures, MOST_DOUBLINGS)
                self.origin_failures += 1
                pause_s = ORIGIN_PAUSE_S * (1 << steps) * self.rng.uniform(1, 2)
                self.origin_at = now + pause_s

    def drop(self, order: ChunkFetch) -> None:
        """Count an order no longer as under way, unless another one has replaced it."""
        if self.flights.get(order.index) == order:
            self.flights.pop(order.index)

    def refused(self, order: ChunkFetch, now: float) -> None:
        """Note that an agent is busy, or does not have a chunk yet.

        :param order: what was ordered.
        :param now: seconds.
        """
        self.drop(order)
        match order:
            case FromPeer(host=host):
                holder = self.holders.setdefault(host, Holder())
                holder.uploads = max(holder.uploads, MAX_QUEUED_UPLOADS)
            case _:
                answers = self.empty_answers.get(order.index, 0) + 1
                self.empty_answers[order.index] = answers % EMPTY_ANSWERS
                if answers == EMPTY_ANSWERS:
                    self.failed(order, now)

    def orders(self, now: float) -> tuple[ChunkFetch, ...]:
        """Return what to fetch now; it counts as under way from here on.

        :param now: seconds.
        :return: orders.
        """
        found: list[ChunkFetch] = []
        heard = self.heard(now)
        missing = {
            index: [host for host, held in heard if held >> index & 1]
            for index in range(self.count)
            if self.is_open(index)
        }
        found.extend(self.duties(missing, now))
        found.extend(self.pieces(missing, now))
        return tuple(found)

    def is_open(self, index: int) -> bool:
        """Tell whether a chunk is neither here nor under way."""
        return not self.have >> index & 1 and index not in self.flights

    def duties(self, missing: dict[int, list[str]], now: float) -> Iterator[ChunkFetch]:
        """Yield the chunks that this host brings into its region."""
        for index in self.late(now):
            if self.may_begin(FromOrigin(index), now):
                self.tries[index] = UPSTREAM_TRIES
                self.flights[index] = FromOrigin(index)
                yield self.flights[index]
        crowded = self.crowded(missing)
        for index, holders in missing.items():
            can_send = bool(holders) and not crowded.issuperset(holders)
            if can_send or self.duty_at(index, now) > now:
                continue
            order = self.upstream(index)
            if self.may_begin(order, now):
                self.flights[index] = order
                self.asked_at[index] = now
                yield order

    def may_begin(self, order: ChunkFetch, now: float) -> bool:
        """Tell whether an order may begin now."""
        waits = isinstance(order, FromOrigin) and now < self.origin_at
        return self.has_room(order) and not waits

    def late(self, now: float) -> tuple[int, ...]:
        """Return the chunks that another region was asked for long ago.

        Load pattern: the host that was asked stands still, and all hosts of the region wait for
        one chunk until the call times out.
        """
        return tuple(
            index
            for index, order in self.flights.items()
            if isinstance(order, FromRegion) and now - self.asked_at[index] > REGION_LATE_S
        )

    def crowded(self, missing: dict[int, list[str]]) -> set[str]:
        """Return the hosts that alone hold so much that their link keeps the region waiting.

        Load pattern: one host of a region has a whole version after a loss of power, all others
        ask it, and the origin sends nothing.
        """
        if not self.is_urgent:
            return set()
        alone = Counter(holders[0] for holders in missing.values() if len(holders) == 1)
        return {host for host, chunks in alone.items() if chunks >= CROWDED_CHUNKS}

    def asked_of(self, host: str) -> int:
        """Return how many chunks this host has asked another one for."""
        return sum(isinstance(one, FromPeer) and one.host == host for one in self.flights.values())

    def pieces(self, missing: dict[int, list[str]], now: float) -> Iterator[ChunkFetch]:
        """Yield the chunks that others in the region hold, from the least busy ones first.

        Were the rarest chunk the first, all would ask the only one that holds it.
        """
        found: list[tuple[int, int, float, FromPeer]] = []
        for index, holders in missing.items():
            if holders:
                load, _, host = min(self.scored(host, now) for host in holders)
                turn = self.rng.random()
                found.append((int(load), len(holders), turn, FromPeer(index, host)))
        for _, _, _, order in sorted(found, key=itemgetter(0, 1, 2)):
            if not self.has_room(order):
                return
            self.flights[order.index] = order
            self.asked_at[order.index] = now
            yield order

    def scored(self, host: str, now: float) -> tuple[float, float, str]:
        """Return how busy a holder is, blurred so that not all hosts choose the same one."""
        return self.load(host, now) + self.rng.random(), self.rng.random(), host

    def heard(self, now: float) -> tuple[tuple[str, int], ...]:
        """Return the holders of the region that were heard lately, with what they hold."""
        return tuple(
            (host, holder.held)
            for host, holder in self.holders.items()
            if now - holder.heard_at < SILENT_S
        )

    def load(self, host: str, now: float) -> float:
        """Return how busy a holder is; one that failed lately comes last."""
        holder = self.holders[host]
        penalty = self.count if now < holder.penalty_until else 0
        return holder.uploads + self.asked_of(host) + penalty

    def duty_at(self, index: int, now: float) -> float:
        """Return when this host is to bring a chunk into its region."""
        ahead = sum(self.lacks(host, index, now) for host in self.fleet.ahead(index))
        rank = min(ahead, TAKEOVER_RANKS)
        due = self.started_at + index * self.pace_s * self.drawing
        if rank:
            return max(due, self.progress_at) + rank * TAKEOVER_S
        return due

    def lacks(self, host: str, index: int, now: float) -> bool:
        """Tell whether another host of the region may be relied upon to fetch a chunk."""
        holder = self.holders.get(host)
        has_it = holder is not None and holder.held >> index & 1
        return not has_it and self.counts(host, now)

    @property
    def drawing(self) -> int:
        """How many regions draw a copy from the origin at the same time."""
        if self.is_urgent and self.origin_failures < ORIGIN_TRIES:
            return min(self.fed, len(self.fleet.regions))
        return 1

    def counts(self, host: str, now: float) -> bool:
        """Tell whether another host of the region may be relied upon."""
        if now - self.started_at < SILENT_S:
            return True
        holder = self.holders.get(host)
        return holder is not None and now - holder.heard_at < SILENT_S

    def upstream(self, index: int) -> ChunkFetch:
        """Return the source outside of the region."""
        chain = self.fleet.chain(index)
        position = chain.index(self.fleet.member.region)
        tries = self.tries.get(index, 0)
        if position < self.drawing or tries >= UPSTREAM_TRIES:
            return FromOrigin(index)
        hosts = ranked(index, self.fleet.hosts(chain[position - 1]))
        return FromRegion(index, hosts[tries % len(hosts)])

    def has_room(self, order: ChunkFetch) -> bool:
        """Tell whether one more of a kind may be under way."""
        same = sum(isinstance(flight, type(order)) for flight in self.flights.values())
        match order:
            case FromOrigin():
                return same < ORIGIN_FLIGHTS
            case FromRegion():
                return same < REGION_FLIGHTS
            case FromPeer():
                return same < self.peer_flights


__all__ = ('ChunkScheduler',)
