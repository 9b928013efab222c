"""Decides which chunk of a version an agent fetches next, and from where.

Load pattern: all agents need all chunks at once over links of about the same rate, so a version
is everywhere soonest if every link sends all the time. One agent draws a chunk from the origin
and one in each further region takes it over the link between regions; within a region, agents
tell each other what they hold and fetch from the least busy holder, rare chunks first.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from operator import itemgetter
from typing import TYPE_CHECKING

from cassiahitch.direct.uploads import MOST_UPLOADS
from cassiahitch.weights.tree import ranked, rendezvous_hash

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from cassiahitch.weights.plan import Participant

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
#: Times that an agent does not have a chunk yet until it counts as a failure.
EMPTY_ANSWERS = 3
#: First pause after a failure of the origin, in seconds, and the doublings of it.
ORIGIN_PAUSE_S = 0.06
MOST_DOUBLINGS = 4


@dataclass(frozen=True, slots=True)
class FromOrigin:
    """Fetch a chunk from the origin."""

    index: int


@dataclass(frozen=True, slots=True)
class FromRegion:
    """Fetch a chunk from an agent of another region, which may not have it yet."""

    index: int
    host: str


@dataclass(frozen=True, slots=True)
class FromPeer:
    """Fetch a chunk from an agent of the own region that holds it."""

    index: int
    host: str


FetchOrder = FromOrigin | FromRegion | FromPeer


@dataclass(slots=True)
class Holder:
    """What an agent of the own region told: the chunks that it holds, as bits, and its uploads."""

    held: int = 0
    uploads: int = 0
    heard_at: float = float('-inf')
    penalty_until: float = float('-inf')


@dataclass(frozen=True)
class Fleet:
    """The agents that fetch the same version."""

    member: Participant
    participants: tuple[Participant, ...]
    first_region: str = ''
    known_ahead: dict[int, tuple[str, ...]] = field(default_factory=dict, init=False, compare=False)

    @cached_property
    def near(self) -> tuple[str, ...]:
        """Hosts of the own region, this one among them."""
        return self.hosts(self.member.region)

    @cached_property
    def regions(self) -> tuple[str, ...]:
        """All regions."""
        return tuple(sorted({one.region for one in self.participants} | {self.member.region}))

    def hosts(self, region: str) -> tuple[str, ...]:
        """Return the hosts of a region.

        :param region: the region.
        :return: their names.
        """
        own = {self.member.host} if region == self.member.region else set()
        named = {one.host for one in self.participants if one.region == region}
        return tuple(sorted(named | own))

    def ahead(self, index: int) -> tuple[str, ...]:
        """Return the hosts of the region that have the duty for a chunk before this one.

        :param index: the position of the chunk.
        :return: their names; it is asked for all the time and worked out once.
        """
        if index not in self.known_ahead:
            order = ranked(index, self.near)
            self.known_ahead[index] = order[: order.index(self.member.host)]
        return self.known_ahead[index]

    def chain(self, index: int) -> tuple[str, ...]:
        """Return the regions in the order in which a chunk comes to them.

        :param index: the position of the chunk.
        :return: regions, that of the origin first if it is known.
        """
        return tuple(
            sorted(
                self.regions,
                key=lambda region: (region != self.first_region, rendezvous_hash(index, region)),
            )
        )


@dataclass(slots=True)
class Swarm:
    """Fetches ``count`` chunks; ``have`` holds the bits of those that are here.

    ``pace_s`` is the time in which the origin sends one chunk; they are asked of it in turn at
    that pace, as none would be there to be passed on before the time of all otherwise.
    """

    fleet: Fleet
    count: int
    rng: random.Random
    pace_s: float
    started_at: float
    have: int = 0
    holders: dict[str, Holder] = field(default_factory=dict)
    flights: dict[int, FetchOrder] = field(default_factory=dict)
    tries: dict[int, int] = field(default_factory=dict)
    empty_answers: dict[int, int] = field(default_factory=dict)
    asked_at: dict[int, float] = field(default_factory=dict)
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

    def failed(self, order: FetchOrder, now: float) -> None:
        """Note that a source failed.

        :param order: what was ordered.
        :param now: seconds.
        """
        index = order.index
        self.flights.pop(index, None)
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

    def refused(self, order: FetchOrder, now: float) -> None:
        """Note that an agent is busy, or does not have a chunk yet.

        :param order: what was ordered.
        :param now: seconds.
        """
        self.flights.pop(order.index, None)
        match order:
            case FromPeer(host=host):
                holder = self.holders.setdefault(host, Holder())
                holder.uploads = max(holder.uploads, MOST_UPLOADS)
            case _:
                answers = self.empty_answers.get(order.index, 0) + 1
                self.empty_answers[order.index] = answers % EMPTY_ANSWERS
                if answers == EMPTY_ANSWERS:
                    self.failed(order, now)

    def orders(self, now: float) -> tuple[FetchOrder, ...]:
        """Return what to fetch now; it counts as under way from here on.

        :param now: seconds.
        :return: orders.
        """
        found: list[FetchOrder] = []
        missing = {
            index: self.holders_of(index, now) for index in range(self.count) if self.is_open(index)
        }
        found.extend(self.duties(missing, now))
        found.extend(self.pieces(missing, now))
        return tuple(found)

    def is_open(self, index: int) -> bool:
        """Tell whether a chunk is neither here nor under way."""
        return not self.have >> index & 1 and index not in self.flights

    def duties(self, missing: dict[int, list[str]], now: float) -> Iterator[FetchOrder]:
        """Yield the chunks that this host brings into its region."""
        for index, holders in missing.items():
            if holders or self.duty_at(index, now) > now:
                continue
            order = self.upstream(index)
            waits = isinstance(order, FromOrigin) and now < self.origin_at
            if self.has_room(order) and not waits:
                self.flights[index] = order
                yield order

    def pieces(self, missing: dict[int, list[str]], now: float) -> Iterator[FetchOrder]:
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

    def holders_of(self, index: int, now: float) -> list[str]:
        """Return who holds a chunk in the region, of those that were heard lately."""
        return [
            host
            for host, holder in self.holders.items()
            if holder.held >> index & 1 and now - holder.heard_at < SILENT_S
        ]

    def load(self, host: str, now: float) -> float:
        """Return how busy a holder is; one that failed lately comes last."""
        holder = self.holders[host]
        own = sum(isinstance(one, FromPeer) and one.host == host for one in self.flights.values())
        penalty = self.count if now < holder.penalty_until else 0
        return holder.uploads + own + penalty

    def duty_at(self, index: int, now: float) -> float:
        """Return when this host is to bring a chunk into its region."""
        ahead = sum(self.counts(host, now) for host in self.fleet.ahead(index))
        rank = min(ahead, TAKEOVER_RANKS)
        due = self.started_at + index * self.pace_s
        if rank:
            return max(due, self.progress_at) + rank * TAKEOVER_S
        return due

    def counts(self, host: str, now: float) -> bool:
        """Tell whether another host of the region may be relied upon."""
        if now - self.started_at < SILENT_S:
            return True
        holder = self.holders.get(host)
        return holder is not None and now - holder.heard_at < SILENT_S

    def upstream(self, index: int) -> FetchOrder:
        """Return the source outside of the region."""
        chain = self.fleet.chain(index)
        position = chain.index(self.fleet.member.region)
        tries = self.tries.get(index, 0)
        if not position or tries >= UPSTREAM_TRIES:
            return FromOrigin(index)
        hosts = ranked(index, self.fleet.hosts(chain[position - 1]))
        return FromRegion(index, hosts[tries % len(hosts)])

    def has_room(self, order: FetchOrder) -> bool:
        """Tell whether one more of a kind may be under way."""
        same = sum(isinstance(flight, type(order)) for flight in self.flights.values())
        match order:
            case FromOrigin():
                return same < ORIGIN_FLIGHTS
            case FromRegion():
                return same < REGION_FLIGHTS
            case FromPeer():
                return same < self.peer_flights


__all__ = (
    'FetchOrder',
    'Fleet',
    'FromOrigin',
    'FromPeer',
    'FromRegion',
    'Swarm',
)
