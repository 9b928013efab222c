"""Plays the gossip of many entries in virtual time over a wire that delays and loses datagrams."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from cassiahitch.direct.members.gossip import PROBE_PERIOD_S, Gossip, OutgoingMessage, Piggyback
from cassiahitch.direct.members.memberregistry import MemberRegistry
from cassiahitch.direct.members.regions import RegionRegistry
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import MemberNews, MemberState, VersionRecord
from cassiahitch.wire.datagrams import encode_datagram

#: Seconds from one host to another, in a region and between regions.
SAME_REGION_DELAY_S = 0.0005
CROSS_REGION_DELAY_S = 0.0028
#: Bytes of a datagram beside its content.
HEADER_BYTES = 28
#: Seconds within which all start.
START_S = 0.3

Event = tuple[float, int, Callable[[], None]]


@dataclass
class GossipSimulation:
    """Entries of several regions; ``cut`` holds pairs of regions that do not reach each other."""

    entries: int
    regions: int = 5
    loss: float = 0
    seed: int = 1
    seeds: int = 3
    rows: bool = True
    now: float = 0
    events: list[Event] = field(default_factory=list)
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    members: dict[str, Gossip] = field(default_factory=dict)
    down: set[str] = field(default_factory=set)
    frozen: set[str] = field(default_factory=set)
    cut: set[frozenset[str]] = field(default_factory=set)
    sent: Counter[str] = field(default_factory=Counter)
    received: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    far_bytes: int = 0
    received_versions: dict[str, set[int]] = field(default_factory=dict)
    pushing: set[str] = field(default_factory=set)
    versions: tuple[VersionRecord, ...] = (VersionRecord('m', 3, 900), VersionRecord('m', 2, 9000))

    def __post_init__(self) -> None:
        """Create the entries."""
        self.rng = random.Random(self.seed)
        for number in range(self.entries):
            self.add(number)

    def add(self, number: int) -> str:
        """Create an entry that starts soon; return its address."""
        address = f'10.{number % self.regions}.{number // 250}.{number % 250 + 1}'
        region = f'region-{number % self.regions}'
        name = f'edge-{region}-{number}'
        own = MemberState(name, 1, 1, address, 8005, region=region)
        told = Piggyback(versions=lambda _: self.versions)
        gossip = Gossip(
            MemberRegistry(own), RegionRegistry(region), told, random.Random(self.seed + number)
        )
        self.members[address] = gossip
        self.at(self.now + self.rng.uniform(0, START_S), partial(self.start, address))
        return address

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            when, _, action = heapq.heappop(self.events)
            self.now = when
            action()
        self.now = until

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Let time pass until something holds; return how long it took."""
        began = self.now
        while not condition():
            assert self.now - began < limit_s
            self.run(0.01)
        return self.now - began

    def start(self, address: str) -> None:
        """Let an entry learn what the store has of others, and begin."""
        gossip = self.members[address]
        seeds = list(self.members)[: self.seeds]
        gossip.registry.add_addresses(dict.fromkeys(seeds, ''), self.now)
        if self.rows:
            rows = {other: one.registry.own.region for other, one in self.members.items()}
            gossip.registry.add_addresses(rows, self.now)
        self.tick(address)
        self.change(address, ready=True)

    def tick(self, address: str) -> None:
        """Begin a period of an entry."""
        if address in self.down:
            return
        gossip = self.members[address]
        if address not in self.frozen:
            self.send(address, gossip.tick(self.now))
            self.push_soon(address)
        self.at(
            self.now + PROBE_PERIOD_S * gossip.rng.uniform(0.9, 1.1), partial(self.tick, address)
        )

    def change(self, address: str, *, ready: bool = True, leaving: bool = False) -> None:
        """Change the state of an entry, which pushes it at once."""
        if self.members[address].update_own_state(ready=ready, leaving=leaving):
            self.send(address, self.members[address].push(self.now))

    def push_soon(self, address: str) -> None:
        """Push what is pending after a moment."""
        due_s = self.members[address].push_delay_s(self.now)
        if due_s is not None and address not in self.pushing:
            self.pushing.add(address)
            self.at(self.now + due_s, partial(self.push, address))

    def push(self, address: str) -> None:
        """Push what is pending."""
        self.pushing.discard(address)
        if address not in self.down and address not in self.frozen:
            self.send(address, self.members[address].push(self.now))
            self.push_soon(address)

    def send(self, address: str, sends: list[OutgoingMessage]) -> None:
        """Send datagrams."""
        own = self.members[address].registry.own.region
        for one in sends:
            size = len(encode_datagram(one.message)) + HEADER_BYTES
            self.sent[address] += 1
            self.sent_bytes[address] += size
            other = self.members.get(one.address)
            if other is None:
                continue
            far = other.registry.own.region != own
            self.far_bytes += size * far
            if frozenset((own, other.registry.own.region)) in self.cut:
                continue
            if self.rng.random() >= self.loss:
                delay_s = CROSS_REGION_DELAY_S if far else SAME_REGION_DELAY_S
                arrive = partial(self.arrive, one.address, one.message, address)
                self.at(self.now + delay_s, arrive)

    def arrive(self, address: str, message: MemberNews, sender: str) -> None:
        """Let a datagram arrive."""
        if address in self.down or address in self.frozen:
            return
        self.received[address] += 1
        self.received_versions.setdefault(address, set()).update(
            one.version for one in message.versions
        )
        self.send(address, self.members[address].receive(message, sender, self.now))
        self.push_soon(address)

    def running_entries(self) -> list[Gossip]:
        """Return the entries that run."""
        idle = self.down | self.frozen
        return [one for address, one in self.members.items() if address not in idle]

    def has_full_view(self, gossip: Gossip) -> bool:
        """Tell whether an entry knows all of its region as ready and counts all that run."""
        running_entries = self.running_entries()
        near = {
            one.registry.own.name
            for one in running_entries
            if not gossip.is_remote(one.registry.own)
        }
        ready = {
            one.name for one in (gossip.registry.own, *gossip.registry.live_members()) if one.ready
        }
        return near == ready and gossip.entry_count(self.now) == len(running_entries)

    def mean_view_completeness(self) -> float:
        """Return which part of the other entries of its region an entry knows as ready."""
        running_entries = self.running_entries()
        per_region = Counter(one.registry.own.region for one in running_entries)
        wanted = sum(number * (number - 1) for number in per_region.values())
        ready = (
            state for one in running_entries for state in one.registry.live_members() if state.ready
        )
        return sum(1 for _ in ready) / max(1, wanted)

    def all_views_complete(self) -> bool:
        """Tell whether every entry does."""
        return all(self.has_full_view(one) for one in self.running_entries())

    def reset_counters(self) -> None:
        """Forget what was sent so far."""
        self.sent.clear()
        self.received.clear()
        self.sent_bytes.clear()
        self.far_bytes = 0


def endpoint_of(gossip: Gossip) -> Endpoint:
    """Return where callers reach an entry."""
    return Endpoint(gossip.registry.own.address, gossip.registry.own.http_port)


__all__ = (
    'GossipSimulation',
    'endpoint_of',
)
