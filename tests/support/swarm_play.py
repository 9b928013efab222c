"""Simulates the distribution of the chunks of a version among agents over modelled links."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.chunkservice import CHUNK_WAIT_S
from cassiahitch.direct.staging.fleet import Fleet, FromOrigin, FromPeer, FromRegion
from cassiahitch.direct.staging.scheduler import ChunkScheduler
from cassiahitch.direct.staging.uploads import MAX_QUEUED_UPLOADS
from cassiahitch.direct.staging.urgency import origin_region_capacity
from cassiahitch.weights.plan import Participant

if TYPE_CHECKING:
    from cassiahitch.direct.staging.fleet import ChunkFetch

CHUNKS = 48
#: Seconds that a host link and the origin take for a chunk.
LINK_S = 0.09
ORIGIN_S = 0.044
STEP_S = 0.02
#: Seconds between two chunk maps of an agent.
MAP_INTERVAL_S = 0.08
#: Start and end of the time in which the origin refuses connections, in seconds.
NO_OUTAGE = (float('inf'), float('inf'))


@dataclass(frozen=True)
class TransferTimes:
    """Seconds that the links of a host, of a region and of the origin take for a chunk.

    ``crossing_s`` is the time that a host takes to send a chunk to another region. With 0 as
    ``region_s``, the links between regions are unlimited. ``pace`` is the interval between requests
    to the origin, relative to the time that the origin takes for a chunk. ``first_region`` is the
    region of the origin.
    """

    link_s: float = LINK_S
    origin_s: float = ORIGIN_S
    region_s: float = 0
    crossing_s: float = 0
    step_s: float = STEP_S
    first_region: str = ''
    pace: float = 1


RATES = TransferTimes()
ALL_HOSTS: frozenset[str] = frozenset()


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
    """The outcome of a chunk request."""

    chunk = auto()
    refused = auto()
    failed = auto()


@dataclass
class Link:
    """A link that transfers chunks one after the other."""

    chunk_s: float
    free_at: float = 0

    def queue_length(self, now: float) -> int:
        return int(max(0, self.free_at - now) / self.chunk_s)

    def send(self, now: float) -> float:
        self.free_at = max(now, self.free_at) + self.chunk_s
        return self.free_at


@dataclass
class SwarmSimulation:
    """Simulates the fetch of a version by all agents; those in ``dead`` never run.

    ``held`` has the chunks of each agent at the start as a bit map, ``urgent`` the agents whose
    engines can serve nothing, and ``outage`` is when the origin refuses connections. ``waiting``
    has the requests that wait until an agent of another region holds their chunk.
    """

    participants: tuple[Participant, ...]
    dead: frozenset[str] = frozenset()
    rates: TransferTimes = RATES
    held: Mapping[str, int] = field(default_factory=dict)
    urgent: frozenset[str] = frozenset()
    outage: tuple[float, float] = NO_OUTAGE
    origin_chunks: int = 0
    cross_region_transfers: int = 0
    events: list[tuple[float, int, str, ChunkFetch, Outcome]] = field(default_factory=list)
    done_at: dict[str, float] = field(default_factory=dict)
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    waiting: dict[tuple[str, ChunkFetch], float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.swarms = {
            agent.host: make_scheduler(self.participants, number, self.rates)
            for number, agent in enumerate(self.participants)
            if agent.host not in self.dead
        }
        for host, swarm in self.swarms.items():
            swarm.held = self.held.get(host, 0)
            swarm.is_urgent = host in self.urgent
        self.uplinks = {host: Link(self.rates.link_s) for host in self.swarms}
        self.downlinks = {host: Link(self.rates.link_s) for host in self.swarms}
        self.crossing = {host: Link(self.rates.crossing_s) for host in self.swarms}
        self.origin = Link(self.rates.origin_s)
        regions = {agent.region for agent in self.participants}
        self.region_uplinks = {region: Link(self.rates.region_s) for region in regions}
        self.region_downlinks = {region: Link(self.rates.region_s) for region in regions}

    def run(self, seconds: float) -> float:
        """Return the time in seconds at which the last agent has all chunks."""
        for step in range(int(seconds / self.rates.step_s)):
            now = step * self.rates.step_s
            self.deliver(now)
            if not int(now / MAP_INTERVAL_S) == int((now - self.rates.step_s) / MAP_INTERVAL_S):
                self.send_maps(now)
            for host, swarm in self.swarms.items():
                for fetch in swarm.schedule(now):
                    self.start_fetch(host, fetch, now)
                if swarm.complete:
                    self.done_at.setdefault(host, now)
            if len(self.done_at) == len(self.swarms):
                return now
        return float('inf')

    def median_completion_time(self, hosts: frozenset[str] = ALL_HOSTS) -> float:
        """Return when half of the given agents, by default of all, had all chunks."""
        times = sorted(self.done_at.get(host, float('inf')) for host in hosts or self.swarms)
        return times[(len(times) - 1) // 2]

    def send_maps(self, now: float) -> None:
        for host, swarm in self.swarms.items():
            queue_length = self.uplinks[host].queue_length(now)
            for other in swarm.fleet.region_hosts:
                if other != host and other in self.swarms:
                    self.swarms[other].update_holder(host, swarm.held, queue_length, now)

    def start_fetch(self, host: str, fetch: ChunkFetch, now: float) -> None:
        match fetch:
            case FromOrigin() if self.is_origin_down(now):
                self.schedule_outcome(now + self.rates.step_s, host, fetch, Outcome.failed)
            case FromOrigin():
                self.origin_chunks += 1
                sent = self.cross_region_arrival(
                    self.rates.first_region, host, self.origin.send(now)
                )
                arrives = max(sent, self.downlinks[host].send(now))
                if self.is_origin_down(arrives):
                    self.schedule_outcome(self.outage[0], host, fetch, Outcome.failed)
                else:
                    self.schedule_outcome(arrives, host, fetch, Outcome.chunk)
            case FromRegion(host=source) | FromPeer(host=source):
                sender = self.swarms.get(source)
                if sender is None:
                    self.schedule_outcome(now + 1, host, fetch, Outcome.failed)
                else:
                    self.request_chunk(host, fetch, sender, now)

    def request_chunk(
        self, host: str, fetch: ChunkFetch, sender: ChunkScheduler, now: float
    ) -> None:
        uplink = self.uplinks[sender.fleet.local_agent.host]
        is_held = sender.held >> fetch.index & 1
        if isinstance(fetch, FromRegion) and not is_held:
            self.waiting[host, fetch] = now + CHUNK_WAIT_S
            self.schedule_outcome(now + CHUNK_WAIT_S, host, fetch, Outcome.refused)
            return
        busy = isinstance(fetch, FromPeer) and uplink.queue_length(now) >= MAX_QUEUED_UPLOADS
        if busy or not is_held:
            self.schedule_outcome(now + self.rates.step_s, host, fetch, Outcome.refused)
            return
        self.send_chunk(host, fetch, sender, now)

    def send_chunk(self, host: str, fetch: ChunkFetch, sender: ChunkScheduler, now: float) -> None:
        sent = self.uplinks[sender.fleet.local_agent.host].send(now)
        if isinstance(fetch, FromRegion):
            self.cross_region_transfers += 1
            sent = max(sent, self.crossing[sender.fleet.local_agent.host].send(now))
        sent = self.cross_region_arrival(sender.fleet.local_agent.region, host, sent)
        arrives = max(sent, self.downlinks[host].send(now))
        if isinstance(fetch, FromRegion):
            # Its parts arrive until then.
            self.swarms[host].record_progress(fetch.index, arrives)
        self.schedule_outcome(arrives, host, fetch, Outcome.chunk)

    def cross_region_arrival(self, region: str, host: str, sent: float) -> float:
        """Return when a chunk arrives over the links between regions."""
        target = self.swarms[host].fleet.local_agent.region
        if not self.rates.region_s or region == target:
            return sent
        return max(self.region_uplinks[region].send(sent), self.region_downlinks[target].send(sent))

    def schedule_outcome(self, at: float, host: str, fetch: ChunkFetch, outcome: Outcome) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), host, fetch, outcome))

    def deliver(self, now: float) -> None:
        while self.events and self.events[0][0] <= now:
            _, _, host, fetch, outcome = heapq.heappop(self.events)
            swarm = self.swarms[host]
            match outcome:
                case Outcome.chunk:
                    swarm.record_arrival(fetch.index, now)
                    self.serve_waiting(swarm, fetch.index, now)
                case Outcome.refused:
                    self.refuse(swarm, fetch, now)
                case Outcome.failed:
                    swarm.record_failure(fetch, now)

    def refuse(self, swarm: ChunkScheduler, fetch: ChunkFetch, now: float) -> None:
        if isinstance(fetch, FromRegion):
            waiting = swarm.fleet.local_agent.host, fetch
            if self.waiting.get(waiting, float('inf')) > now:
                # The chunk arrived in the meantime and has been sent.
                return
            self.waiting.pop(waiting)
        swarm.record_refusal(fetch, now)

    def serve_waiting(self, sender: ChunkScheduler, index: int, now: float) -> None:
        """Send a chunk that has arrived to the agents of other regions that wait for it."""
        wanted = FromRegion(index, sender.fleet.local_agent.host)
        for host, fetch in tuple(self.waiting):
            if fetch == wanted:
                self.waiting.pop((host, fetch))
                self.send_chunk(host, fetch, sender, now)

    def is_origin_down(self, now: float) -> bool:
        start, end = self.outage
        return start <= now < end
