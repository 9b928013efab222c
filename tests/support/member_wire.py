"""Simulates the gossip of many entries in virtual time over links that delay and drop datagrams."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from cassiahitch.direct.members.gossip import PROBE_PERIOD_S, Gossip
from cassiahitch.direct.members.gossipmessages import OutgoingMessage, Piggyback
from cassiahitch.direct.members.memberregistry import MemberRegistry
from cassiahitch.direct.members.regions import RegionRegistry
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import MemberNews, MemberState, VersionRecord
from cassiahitch.wire.datagrams import encode_datagram

#: Network delay in seconds between two hosts of one region, and of two regions.
SAME_REGION_DELAY_S = 0.0005
CROSS_REGION_DELAY_S = 0.0028
#: Bytes of the IP and UDP headers of a datagram.
HEADER_BYTES = 28
#: Seconds within which all entries start.
START_WINDOW_S = 0.3

Event = tuple[float, int, Callable[[], None]]


@dataclass
class GossipSimulation:
    """Entries of several regions and the network between them.

    ``cut`` has the pairs of regions that cannot reach each other, ``down`` the addresses of
    stopped entries and ``frozen`` those of paused ones. ``rows`` tells whether entries read the
    addresses of all others from the store; else they start with those of ``seeds`` entries.
    ``far_bytes`` counts the bytes between regions.
    """

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
        """Create the entries and schedule their start."""
        self.rng = random.Random(self.seed)
        for number in range(self.entries):
            self.add(number)

    def add(self, number: int) -> str:
        """Create an entry, schedule its start and return its address."""
        address = f'10.{number % self.regions}.{number // 250}.{number % 250 + 1}'
        region = f'region-{number % self.regions}'
        name = f'edge-{region}-{number}'
        own = MemberState(name, 1, 1, address, 8005, region=region)
        piggyback = Piggyback(versions=lambda _: self.versions)
        gossip = Gossip(
            MemberRegistry(own),
            RegionRegistry(region),
            piggyback,
            random.Random(self.seed + number),
        )
        self.members[address] = gossip
        self.at(self.now + self.rng.uniform(0, START_WINDOW_S), partial(self.start, address))
        return address

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def run(self, seconds: float) -> None:
        """Run the events of the next seconds."""
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            when, _, action = heapq.heappop(self.events)
            self.now = when
            action()
        self.now = until

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Run events until a condition holds and return how many seconds it took."""
        began = self.now
        while not condition():
            assert self.now - began < limit_s
            self.run(0.01)
        return self.now - began

    def start(self, address: str) -> None:
        """Start an entry with the addresses that it reads from the store."""
        gossip = self.members[address]
        seeds = list(self.members)[: self.seeds]
        gossip.registry.add_addresses(dict.fromkeys(seeds, ''), self.now)
        if self.rows:
            rows = {other: peer.registry.own.region for other, peer in self.members.items()}
            gossip.registry.add_addresses(rows, self.now)
        self.tick(address)
        self.change(address, ready=True)

    def tick(self, address: str) -> None:
        """Run one probe period of an entry and schedule the next one."""
        if address in self.down:
            return
        gossip = self.members[address]
        if address not in self.frozen:
            self.send(address, gossip.tick(self.now))
            self.schedule_push(address)
        self.at(
            self.now + PROBE_PERIOD_S * gossip.rng.uniform(0.9, 1.1), partial(self.tick, address)
        )

    def change(self, address: str, *, ready: bool = True, leaving: bool = False) -> None:
        """Change the state of an entry and push it at once."""
        if self.members[address].update_own_state(ready=ready, leaving=leaving):
            self.send(address, self.members[address].push(self.now))

    def schedule_push(self, address: str) -> None:
        """Schedule a push of the pending updates after the delay that the entry asks for."""
        due_s = self.members[address].push_delay_s(self.now)
        if due_s is not None and address not in self.pushing:
            self.pushing.add(address)
            self.at(self.now + due_s, partial(self.push, address))

    def push(self, address: str) -> None:
        """Push the pending updates."""
        self.pushing.discard(address)
        if address not in self.down and address not in self.frozen:
            self.send(address, self.members[address].push(self.now))
            self.schedule_push(address)

    def send(self, address: str, messages: list[OutgoingMessage]) -> None:
        """Send datagrams, and drop those that the network loses."""
        own = self.members[address].registry.own.region
        for outgoing in messages:
            size = len(encode_datagram(outgoing.message)) + HEADER_BYTES
            self.sent[address] += 1
            self.sent_bytes[address] += size
            other = self.members.get(outgoing.address)
            if other is None:
                continue
            far = other.registry.own.region != own
            self.far_bytes += size * far
            if frozenset((own, other.registry.own.region)) in self.cut:
                continue
            if self.rng.random() >= self.loss:
                delay_s = CROSS_REGION_DELAY_S if far else SAME_REGION_DELAY_S
                deliver = partial(self.deliver, outgoing.address, outgoing.message, address)
                self.at(self.now + delay_s, deliver)

    def deliver(self, address: str, message: MemberNews, sender: str) -> None:
        """Deliver a datagram."""
        if address in self.down or address in self.frozen:
            return
        self.received[address] += 1
        self.received_versions.setdefault(address, set()).update(
            record.version for record in message.versions
        )
        self.send(address, self.members[address].receive(message, sender, self.now))
        self.schedule_push(address)

    def running_entries(self) -> list[Gossip]:
        """Return the entries that are neither down nor frozen."""
        idle = self.down | self.frozen
        return [member for address, member in self.members.items() if address not in idle]

    def has_full_view(self, gossip: Gossip) -> bool:
        """Return whether an entry has all entries of its region as ready and the right count."""
        running_entries = self.running_entries()
        near = {
            peer.registry.own.name
            for peer in running_entries
            if not gossip.is_remote(peer.registry.own)
        }
        ready = {
            state.name
            for state in (gossip.registry.own, *gossip.registry.live_members())
            if state.ready
        }
        return near == ready and gossip.entry_count(self.now) == len(running_entries)

    def mean_view_completeness(self) -> float:
        """Return the mean share of the other entries of its region that an entry has as ready."""
        running_entries = self.running_entries()
        per_region = Counter(entry.registry.own.region for entry in running_entries)
        wanted = sum(number * (number - 1) for number in per_region.values())
        ready = (
            state
            for entry in running_entries
            for state in entry.registry.live_members()
            if state.ready
        )
        return sum(1 for _ in ready) / max(1, wanted)

    def all_views_complete(self) -> bool:
        """Return whether every running entry has a full view."""
        return all(self.has_full_view(entry) for entry in self.running_entries())

    def reset_counters(self) -> None:
        """Reset the counters of datagrams and bytes."""
        self.sent.clear()
        self.received.clear()
        self.sent_bytes.clear()
        self.far_bytes = 0


def endpoint_of(gossip: Gossip) -> Endpoint:
    """Return the endpoint at which callers reach an entry."""
    return Endpoint(gossip.registry.own.address, gossip.registry.own.http_port)


__all__ = (
    'GossipSimulation',
    'endpoint_of',
)
