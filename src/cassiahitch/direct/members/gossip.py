"""Gossip protocol by which entries learn which other entries are alive, ready or stopping.

Load pattern: hundreds of entries start within the same second, and each has a state to publish. The
cost per host must not grow with the size of the fleet. In each period, an entry probes one other
entry of its region. It pushes changed states to a few others, which push them on, and repeats a few
further states in each message, so that a lost datagram is made up for later. Two entries of each
region, its gateways, report to the other regions how many entries are alive there and which of them
to use; the state of a single entry is not sent to other regions.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiahitch.direct.members.ownership import is_owner
from cassiahitch.direct.members.regions import RegionRegistry, parse_endpoints, summarize_region
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.weights.tree import rendezvous_order
from cassiahitch.wire.datagrammessages import (
    LimitRecord,
    MemberNews,
    RegionState,
    SegmentCrashRecord,
    SegmentRecord,
    SuspectRecord,
    VersionRecord,
)

if TYPE_CHECKING:
    from cassiahitch.direct.members.memberregistry import MemberRegistry
    from cassiahitch.wire.datagrammessages import MemberState

#: Seconds between two probes by an entry.
PROBE_PERIOD_S = 0.2
#: Seconds without a reply after which other entries are asked to probe too, and their number.
INDIRECT_PROBE_AFTER_S = 0.2
INDIRECT_PROBERS = 2
#: Seconds without a reply to a probe after which an entry counts as silent.
SILENT_AFTER_S = 0.7
#: Additional probes for each entry that just became silent: others may have failed along with it.
EXTRA_PROBES_PER_SILENT = 2
#: Entries that receive a push, and the number of times that a changed state is pushed.
FANOUT = 4
PUSHES_PER_CHANGE = 2
#: Seconds for which changes are gathered into one push, and least time between two pushes.
PUSH_DELAY_S = 0.005
MIN_PUSH_INTERVAL_S = 0.1
#: States of other entries in a message: changed ones, and random ones that are repeated.
MAX_CHANGED_STATES = 16
REPEATED_STATES = 2
#: States of other regions in a message: the most recent ones, and a random one in addition.
LATEST_REGIONS = 1
#: Unconfirmed addresses that an entry contacts in a period, or names in a message.
MAX_CONTACTED = 2
#: Entries of a region that report to other regions, and the periods between their reports.
GATEWAYS = 2
PERIODS_PER_REGION_REPORT = 2


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message and its destination address."""

    message: MemberNews
    address: str


@dataclass(slots=True)
class Probe:
    """A probe whose reply is outstanding; ``sent_at`` is in seconds."""

    name: str
    address: str
    sent_at: float
    indirect_requested: bool = False


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A probe on behalf of another entry.

    The reply is forwarded to ``requester`` under the ``number`` of its request; ``sent_at`` is in
    seconds.
    """

    number: int
    requester: str
    sent_at: float


@dataclass(slots=True)
class Piggyback:
    """Sources of the records that messages carry in addition, as of a time in seconds."""

    suspects: Callable[[float], tuple[SuspectRecord, ...]] = lambda _: ()
    versions: Callable[[float], tuple[VersionRecord, ...]] = lambda _: ()
    limits: Callable[[float], tuple[LimitRecord, ...]] = lambda _: ()
    segment_crashes: Callable[[float], tuple[SegmentCrashRecord, ...]] = lambda _: ()
    sound_segments: Callable[[float], tuple[SegmentRecord, ...]] = lambda _: ()


@dataclass(slots=True)
class Gossip:
    """State machine of the protocol: decides which messages are sent to whom.

    It does no I/O: its methods return the messages to send, and are given the received ones.
    ``pending_pushes`` holds how often the state of each changed entry is still to be pushed.
    ``remote_pushes`` is how often records are still to be pushed to the other regions.
    ``on_change`` is called with each change of state and a text for the log.
    """

    registry: MemberRegistry
    regions: RegionRegistry
    piggyback: Piggyback
    rng: random.Random
    on_change: Callable[[str, MemberState], None] = lambda _what, _state: None
    pending_pushes: dict[str, int] = field(default_factory=dict)
    remote_pushes: int = 0
    probes: dict[int, Probe] = field(default_factory=dict)
    indirect_probes: dict[int, IndirectProbe] = field(default_factory=dict)
    probe_order: list[str] = field(default_factory=list)
    period_count: int = 0
    pushed_at: float = float('-inf')
    message_numbers: itertools.count[int] = field(init=False)

    def __post_init__(self) -> None:
        """Number the messages, from another first number after each start."""
        self.message_numbers = itertools.count(self.registry.own.incarnation + 1)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Start a period.

        :param now: current time in seconds.
        :return: what to send.
        """
        self.period_count += 1
        self.registry.expire(now)
        messages, silent_count = self.check_probes(now)
        for _ in range(1 + silent_count * EXTRA_PROBES_PER_SILENT):
            messages.extend(self.probe_next(now))
        messages += self.contact_addresses(now)
        if self.period_count % PERIODS_PER_REGION_REPORT == 0:
            messages += self.report_to_regions(now)
        return messages

    def update_own_state(self, *, ready: bool, leaving: bool) -> bool:
        """Update the state of this entry.

        :param ready: whether this entry may be used by callers.
        :param leaving: whether this entry is stopping.
        :return: whether the state changed and is to be pushed.
        """
        if not self.registry.update_own(ready=ready, leaving=leaving):
            return False
        self.pending_pushes[self.registry.own.name] = PUSHES_PER_CHANGE
        return True

    def request_push(self, *, local: bool) -> None:
        """Push the records of messages at once, since one has changed.

        :param local: whether this entry made the observation; what it has heard from others is
            pushed to other regions only if it is a gateway.
        """
        self.pending_pushes[self.registry.own.name] = PUSHES_PER_CHANGE
        if local or self.is_gateway():
            self.remote_pushes = PUSHES_PER_CHANGE

    def is_owner(self, task: str, now: float) -> bool:
        """Return whether this entry is the one that all entries choose for a task.

        :param task: name of the task.
        :param now: current time in seconds.
        :return: whether it is.
        """
        return is_owner(task, self.registry, self.regions, now)

    def push_delay_s(self, now: float) -> float | None:
        """Return the time until the next push.

        :param now: current time in seconds.
        :return: seconds, or None if no state is to be pushed.
        """
        if not self.pending_pushes:
            return None
        return max(PUSH_DELAY_S, self.pushed_at + MIN_PUSH_INTERVAL_S - now)

    def push(self, now: float) -> list[OutgoingMessage]:
        """Send changed states to a few entries, which push them on.

        :param now: current time in seconds.
        :return: what to send.
        """
        self.pushed_at = now
        names = sorted(self.pending_pushes, key=self.pending_pushes.__getitem__, reverse=True)[
            :MAX_CHANGED_STATES
        ]
        for name in names:
            self.pending_pushes[name] -= 1
            if not self.pending_pushes[name]:
                self.pending_pushes.pop(name)
        live = self.registry.live_members()
        receivers = live if len(live) <= 2 * FANOUT else self.rng.sample(live, FANOUT)
        message = self.build_message(now, self.peer_states(names))
        messages = [OutgoingMessage(message, state.address) for state in receivers]
        if self.remote_pushes:
            self.remote_pushes -= 1
            messages += self.remote_messages(now, asks=False)
        return messages

    def receive(self, received: MemberNews, address: str, now: float) -> list[OutgoingMessage]:
        """Process a received message.

        :param received: the message.
        :param address: address of the sender.
        :param now: current time in seconds.
        :return: what to send at once; changed states are added to ``pending_pushes``.
        """
        for state in received.members:
            self.apply(state, now)
        for region in received.regions:
            self.apply_region(region, now)
        if received.members:
            self.confirm_alive(received.members[0].name)
            self.registry.add_addresses({address: received.members[0].region}, now)
        return [*self.reply_to(received, address, now), *self.forward_probe_reply(received, now)]

    def apply(self, state: MemberState, now: float) -> None:
        """Apply the state of an entry, and push it if it is newer than the stored one.

        :param state: the state.
        :param now: current time in seconds.
        """
        before = self.registry.peers.get(state.name)
        if not self.registry.apply(state, now):
            return
        self.pending_pushes[state.name] = PUSHES_PER_CHANGE
        if state.name == self.registry.own.name:
            self.on_change('called silent', self.registry.own)
        elif before is None or before.incarnation != state.incarnation:
            self.on_change('entry heard', state)
        elif before.silent != state.silent:
            self.on_change('entry silent' if state.silent else 'entry back', state)

    def apply_region(self, region: RegionState, now: float) -> None:
        """Apply the state of a region.

        :param region: the state; that of the own region only names addresses to contact.
        :param now: current time in seconds.
        """
        own = self.registry.own.region
        if region.region == own:
            self.registry.add_addresses(
                {endpoint.address: own for endpoint in parse_endpoints(region)}, now
            )
        else:
            self.regions.apply(region, now)

    def confirm_alive(self, name: str) -> None:
        """Remove the outstanding probes of an entry that has sent a message.

        :param name: the entry.
        """
        for number, probe in tuple(self.probes.items()):
            if probe.name == name:
                self.probes.pop(number)

    def reply_to(self, received: MemberNews, address: str, now: float) -> list[OutgoingMessage]:
        """Reply to a message if that is requested, or if its sender counts as silent.

        A sender that counts as silent receives that state, so that it can refute it.

        :param received: the message.
        :param address: address of the sender.
        :param now: current time in seconds.
        :return: what to send.
        """
        if received.target:
            return [self.probe_on_behalf(received, address, now)]
        sender = received.members[0].name if received.members else ''
        sender_state = self.registry.peers.get(sender)
        silent_state = (sender_state,) if sender_state is not None and sender_state.silent else ()
        if not received.asks and not silent_state:
            return []
        remote = not received.members or self.is_remote(received.members[0])
        message = self.build_message(now, silent_state, remote=remote)
        number = received.number if received.asks else 0
        regions = (*message.regions, *self.region_peers(received, address))
        return [OutgoingMessage(replace(message, number=number, regions=regions), address)]

    def region_peers(self, received: MemberNews, address: str) -> tuple[RegionState, ...]:
        """Return addresses at which an entry of another region may find others of its region.

        :param received: the message of that entry.
        :param address: address of that entry, which is left out.
        :return: a state of its region with endpoints only.
        """
        region = received.members[0].region if received.members else ''
        peers = [peer for peer in self.registry.addresses_of(region) if peer != address]
        if not peers or region == self.registry.own.region:
            return ()
        chosen = self.rng.sample(peers, min(MAX_CONTACTED, len(peers)))
        port = self.registry.own.http_port
        return (
            RegionState(region, endpoints=tuple(str(Endpoint(other, port)) for other in chosen)),
        )

    def forward_probe_reply(self, received: MemberNews, now: float) -> list[OutgoingMessage]:
        """Forward the reply to an indirect probe to the entry that requested it.

        :param received: the reply.
        :param now: current time in seconds.
        :return: what to send.
        """
        indirect_probe = None if received.asks else self.indirect_probes.pop(received.number, None)
        if indirect_probe is None or not received.members:
            return []
        # The newer state of the probed entry proves to the requester that it is alive.
        message = self.build_message(now, received.members[:1])
        return [
            OutgoingMessage(
                replace(message, number=indirect_probe.number), indirect_probe.requester
            )
        ]

    def probe_on_behalf(self, received: MemberNews, requester: str, now: float) -> OutgoingMessage:
        """Probe an entry on behalf of another one.

        :param received: the request.
        :param requester: address of the entry that requested it.
        :param now: current time in seconds.
        :return: the probe.
        """
        number = next(self.message_numbers)
        self.indirect_probes[number] = IndirectProbe(received.number, requester, now)
        return OutgoingMessage(
            replace(self.build_message(now), number=number, asks=True), received.target
        )

    def check_probes(self, now: float) -> tuple[list[OutgoingMessage], int]:
        """Repeat probes without a reply, and mark entries as silent once they time out.

        :param now: current time in seconds.
        :return: what to send, and how many entries became silent.
        """
        messages: list[OutgoingMessage] = []
        silent_count = 0
        for number, probe in tuple(self.probes.items()):
            age_s = now - probe.sent_at
            if age_s >= SILENT_AFTER_S:
                self.probes.pop(number)
                silent_count += self.mark_silent(probe.name, now)
            elif age_s >= INDIRECT_PROBE_AFTER_S and not probe.indirect_requested:
                probe.indirect_requested = True
                repeated = replace(self.build_message(now), number=number, asks=True)
                messages += [
                    OutgoingMessage(repeated, probe.address),
                    *self.request_indirect_probes(number, probe, now),
                ]
        for number, indirect_probe in tuple(self.indirect_probes.items()):
            if now - indirect_probe.sent_at >= SILENT_AFTER_S:
                self.indirect_probes.pop(number)
        return messages, silent_count

    def request_indirect_probes(
        self, number: int, probe: Probe, now: float
    ) -> list[OutgoingMessage]:
        """Ask other entries to probe one that may be unreachable only from this entry.

        :param number: number of the probe.
        :param probe: the probe without a reply.
        :param now: current time in seconds.
        :return: what to send.
        """
        others = [other for other in self.registry.live_members() if other.name != probe.name]
        probers = self.rng.sample(others, min(INDIRECT_PROBERS, len(others)))
        message = replace(self.build_message(now), number=number, target=probe.address)
        return [OutgoingMessage(message, prober.address) for prober in probers]

    def mark_silent(self, name: str, now: float) -> bool:
        """Mark an entry as silent, and push that state.

        :param name: the entry.
        :param now: current time in seconds.
        :return: whether it was not silent before.
        """
        if not self.registry.mark_silent(name, now):
            return False
        self.pending_pushes[name] = PUSHES_PER_CHANGE
        self.on_change('entry silent', self.registry.peers[name])
        return True

    def probe_next(self, now: float) -> list[OutgoingMessage]:
        """Probe the next entry; each round covers all entries in random order.

        :param now: current time in seconds.
        :return: what to send.
        """
        live = {state.name: state for state in self.registry.live_members()}
        if not any(name in live for name in self.probe_order):
            self.probe_order = list(live)
            self.rng.shuffle(self.probe_order)
        while self.probe_order:
            state = live.get(self.probe_order.pop())
            if state is not None:
                number = next(self.message_numbers)
                self.probes[number] = Probe(state.name, state.address, now)
                message = replace(self.build_message(now), number=number, asks=True)
                return [OutgoingMessage(message, state.address)]
        return []

    def contact_addresses(self, now: float) -> list[OutgoingMessage]:
        """Send a message that requests a reply to a few unconfirmed addresses.

        :param now: current time in seconds.
        :return: what to send.
        """
        addresses = self.registry.unconfirmed_addresses()
        receivers = self.rng.sample(addresses, min(MAX_CONTACTED, len(addresses)))
        message = replace(
            self.build_message(now, remote=True), number=next(self.message_numbers), asks=True
        )
        return [OutgoingMessage(message, address) for address in receivers]

    def report_to_regions(self, now: float) -> list[OutgoingMessage]:
        """Report this region to an entry of each other region, if this entry is a gateway.

        :param now: current time in seconds.
        :return: what to send.
        """
        if not self.is_gateway():
            return []
        # Without a live entry in its own region, the gateway requests a reply that names some.
        return self.remote_messages(now, asks=not self.registry.live_members())

    def is_gateway(self) -> bool:
        """Return whether this entry reports its region to the other ones.

        :return: whether it is one of the first live entries of its region.
        """
        own = self.registry.own
        names = rendezvous_order(
            0, tuple(other.name for other in (own, *self.registry.live_members()))
        )
        return own.name in names[:GATEWAYS]

    def remote_messages(self, now: float, *, asks: bool) -> list[OutgoingMessage]:
        """Return a message to an entry of each other region.

        :param now: current time in seconds.
        :param asks: whether the receivers are to reply.
        :return: what to send.
        """
        message = replace(
            self.build_message(now, remote=True), number=next(self.message_numbers), asks=asks
        )
        addresses = (self.choose_address(region, now) for region in self.other_regions())
        return [OutgoingMessage(message, address) for address in addresses if address]

    def other_regions(self) -> tuple[str, ...]:
        """Return the other regions that may have entries.

        :return: their names, sorted.
        """
        names = {
            candidate.region for candidate in self.registry.addresses.values()
        } | self.regions.snapshots.keys()
        return tuple(sorted(names - {'', self.registry.own.region}))

    def choose_address(self, region: str, now: float) -> str:
        """Choose an entry of another region at random.

        :param region: the region.
        :param now: current time in seconds.
        :return: its address, empty if there is none.
        """
        live = tuple(endpoint.address for endpoint in self.regions.endpoints(now, region))
        addresses = live or self.registry.addresses_of(region)
        return self.rng.choice(addresses) if addresses else ''

    def is_remote(self, state: MemberState) -> bool:
        """Return whether an entry is in another region.

        :param state: the entry.
        :return: whether it is.
        """
        return state.region != self.registry.own.region

    def build_message(
        self, now: float, changed: Iterable[MemberState] = (), *, remote: bool = False
    ) -> MemberNews:
        """Return a message with the current states.

        :param now: current time in seconds.
        :param changed: states that it must contain.
        :param remote: whether the receiver may be in another region.
        :return: the message; it requests no reply.
        """
        peers = tuple(self.registry.peers.values())
        repeated = self.rng.sample(peers, min(REPEATED_STATES, len(peers)))
        pending = self.peer_states(self.pending_pushes)
        changed = itertools.islice(itertools.chain(changed, pending), MAX_CHANGED_STATES)
        members = dict.fromkeys((self.registry.own, *changed, *repeated))
        return MemberNews(
            members=tuple(members),
            regions=self.region_states(now, remote=remote),
            suspects=self.piggyback.suspects(now),
            versions=self.piggyback.versions(now),
            limits=self.piggyback.limits(now),
            segment_crashes=self.piggyback.segment_crashes(now),
            sound_segments=self.piggyback.sound_segments(now),
        )

    def peer_states(self, names: Iterable[str]) -> tuple[MemberState, ...]:
        """Return the states of other entries.

        :param names: names of entries.
        :return: the states of those that are in the registry.
        """
        return tuple(self.registry.peers[name] for name in names if name in self.registry.peers)

    def region_states(self, now: float, *, remote: bool) -> tuple[RegionState, ...]:
        """Return the states of regions for a message.

        :param now: current time in seconds.
        :param remote: whether the receiver may be in another region.
        :return: states of other regions, and of the own one for a remote receiver.
        """
        states = self.regions.current_states(now)
        latest = sorted(states, key=lambda state: state.age_ms)[:LATEST_REGIONS]
        others = tuple(dict.fromkeys((*latest, *self.rng.sample(states, min(1, len(states))))))
        if not remote:
            return others
        live = [self.registry.own, *self.registry.live_members()]
        self.rng.shuffle(live)
        return (summarize_region(self.registry.own.region, tuple(live)), *others)

    def entry_count(self, now: float) -> int:
        """Return how many entries may be alive in all regions.

        :param now: current time in seconds.
        :return: their number, including this one.
        """
        return 1 + len(self.registry.live_members()) + self.regions.live_count(now)


__all__ = (
    'Gossip',
    'OutgoingMessage',
    'Piggyback',
)
