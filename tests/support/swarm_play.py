"""Plays the choice of chunks and sources in virtual time over modelled links."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.fleet import Fleet, FromOrigin, FromPeer, FromRegion
from cassiahitch.direct.staging.scheduler import ChunkScheduler
from cassiahitch.direct.staging.uploads import MAX_QUEUED_UPLOADS
from cassiahitch.direct.staging.urgency import origin_region_capacity
from cassiahitch.weights.plan import Participant

if TYPE_CHECKING:
    from cassiahitch.direct.staging.fleet import ChunkFetch

CHUNKS = 48
#: Seconds in which a link carries a chunk, and in which the origin sends one.
LINK_S = 0.09
ORIGIN_S = 0.044
STEP_S = 0.02
#: Seconds between two tellings of an agent.
TELL_S = 0.08


@dataclass(frozen=True)
class TransferTimes:
    """Seconds in which the links of a host, of a region and of the origin carry a chunk.

    ``crossing_s`` is the time that a host takes to send one to another region. With 0, the links
    between regions carry any number at once. ``pace`` is the part of the time of a chunk after
    which the next one is asked of the origin.
    """

    link_s: float = LINK_S
    origin_s: float = ORIGIN_S
    region_s: float = 0
    crossing_s: float = 0
    step_s: float = STEP_S
    first_region: str = ''
    pace: float = 1


RATES = TransferTimes()
EVERYONE: frozenset[str] = frozenset()


def make_participants(regions: int, hosts: int) -> tuple[Participant, ...]:
    return tuple(
        Participant(f'10.{region}.0.{host}', f'region-{region}', f'domain-{region}')
        for region in range(regions)
        for host in range(hosts)
    )


def make_scheduler(
    participants: tuple[Participant, ...], local_agent: int = 0, rates: TransferTimes = RATES
) -> ChunkScheduler:
    fleet = Fleet(participants[local_agent], participants, rates.first_region)
    origin_regions = origin_region_capacity(rates.link_s, rates.origin_s)
    return ChunkScheduler(
        fleet,
        CHUNKS,
        random.Random(local_agent),
        rates.pace * rates.origin_s,
        0,
        origin_regions=origin_regions,
    )


class Outcome(Enum):
    chunk = auto()
    refused = auto()
    silence = auto()


@dataclass
class Link:
    """Carries chunks one after the other."""

    chunk_s: float
    free_at: float = 0

    def waiting(self, now: float) -> int:
        return int(max(0, self.free_at - now) / self.chunk_s)

    def send(self, now: float) -> float:
        self.free_at = max(now, self.free_at) + self.chunk_s
        return self.free_at


@dataclass
class SwarmSimulation:
    """Plays the fetch of a version by all agents; those in ``dead`` never run.

    ``held`` are the chunks that agents have at the start, and ``urgent`` those whose engines may
    serve nothing.
    """

    participants: tuple[Participant, ...]
    dead: frozenset[str] = frozenset()
    rates: TransferTimes = RATES
    held: Mapping[str, int] = field(default_factory=dict)
    urgent: frozenset[str] = frozenset()
    origin_chunks: int = 0
    cross_region_transfers: int = 0
    events: list[tuple[float, int, str, ChunkFetch, Outcome]] = field(default_factory=list)
    done_at: dict[str, float] = field(default_factory=dict)
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        self.swarms = {
            one.host: make_scheduler(self.participants, number, self.rates)
            for number, one in enumerate(self.participants)
            if one.host not in self.dead
        }
        for host, swarm in self.swarms.items():
            swarm.held = self.held.get(host, 0)
            swarm.is_urgent = host in self.urgent
        self.uplinks = {host: Link(self.rates.link_s) for host in self.swarms}
        self.downlinks = {host: Link(self.rates.link_s) for host in self.swarms}
        self.crossing = {host: Link(self.rates.crossing_s) for host in self.swarms}
        self.origin = Link(self.rates.origin_s)
        regions = {one.region for one in self.participants}
        self.region_uplinks = {region: Link(self.rates.region_s) for region in regions}
        self.region_downlinks = {region: Link(self.rates.region_s) for region in regions}

    def run(self, seconds: float) -> float:
        """Return when the last agent has all chunks."""
        for step in range(int(seconds / self.rates.step_s)):
            now = step * self.rates.step_s
            self.deliver(now)
            if not int(now / TELL_S) == int((now - self.rates.step_s) / TELL_S):
                self.tell(now)
            for host, swarm in self.swarms.items():
                for order in swarm.schedule(now):
                    self.order(host, order, now)
                if swarm.complete:
                    self.done_at.setdefault(host, now)
            if len(self.done_at) == len(self.swarms):
                return now
        return float('inf')

    def median_completion_time(self, hosts: frozenset[str] = EVERYONE) -> float:
        """Return when half of some agents, else of all, had all chunks."""
        times = sorted(self.done_at.get(host, float('inf')) for host in hosts or self.swarms)
        return times[(len(times) - 1) // 2]

    def tell(self, now: float) -> None:
        for host, swarm in self.swarms.items():
            waiting = self.uplinks[host].waiting(now)
            for other in swarm.fleet.region_hosts:
                if other != host and other in self.swarms:
                    self.swarms[other].update_holder(host, swarm.held, waiting, now)

    def order(self, host: str, order: ChunkFetch, now: float) -> None:
        match order:
            case FromOrigin():
                self.origin_chunks += 1
                sent = self.cross(self.rates.first_region, host, self.origin.send(now))
                arrives = max(sent, self.downlinks[host].send(now))
                self.expect(arrives, host, order, Outcome.chunk)
            case FromRegion(host=source) | FromPeer(host=source):
                sender = self.swarms.get(source)
                if sender is None:
                    self.expect(now + 1, host, order, Outcome.silence)
                else:
                    self.ask(host, order, sender, now)

    def ask(self, host: str, order: ChunkFetch, sender: ChunkScheduler, now: float) -> None:
        uplink = self.uplinks[sender.fleet.local_agent.host]
        busy = isinstance(order, FromPeer) and uplink.waiting(now) >= MAX_QUEUED_UPLOADS
        if busy or not sender.held >> order.index & 1:
            self.expect(now + self.rates.step_s, host, order, Outcome.refused)
            return
        sent = uplink.send(now)
        if isinstance(order, FromRegion):
            self.cross_region_transfers += 1
            sent = max(sent, self.crossing[sender.fleet.local_agent.host].send(now))
        sent = self.cross(sender.fleet.local_agent.region, host, sent)
        arrives = max(sent, self.downlinks[host].send(now))
        self.expect(arrives, host, order, Outcome.chunk)

    def cross(self, region: str, host: str, sent: float) -> float:
        """Return when a chunk has come over the links between regions."""
        target = self.swarms[host].fleet.local_agent.region
        if not self.rates.region_s or region == target:
            return sent
        return max(self.region_uplinks[region].send(sent), self.region_downlinks[target].send(sent))

    def expect(self, at: float, host: str, order: ChunkFetch, outcome: Outcome) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), host, order, outcome))

    def deliver(self, now: float) -> None:
        while self.events and self.events[0][0] <= now:
            _, _, host, order, outcome = heapq.heappop(self.events)
            swarm = self.swarms[host]
            match outcome:
                case Outcome.chunk:
                    swarm.record_arrival(order.index, now)
                case Outcome.refused:
                    self.refuse(swarm, order, now)
                case Outcome.silence:
                    swarm.record_failure(order, now)

    def refuse(self, swarm: ChunkScheduler, order: ChunkFetch, now: float) -> None:
        swarm.record_refusal(order, now)
        # An agent of another region waits for the chunk before it says that it has none.
        swarm.region_refusals.pop(order.index, None)
