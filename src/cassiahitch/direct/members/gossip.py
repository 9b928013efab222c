"""Gossip protocol by which entries learn which other entries are alive, ready or stopping.

Load pattern: hundreds of entries start within the same second, and each has a state to publish. The
cost per host must not grow with the size of the fleet. In each period, an entry probes one other
entry of its region. It pushes changed states to a few others, which push them on, and repeats a few
further states in each message, so that a lost datagram is made up for later. Two entries of each
region, its gateways, report to the other regions how many entries are alive there and which of them
to use; the state of a single entry is not sent to other regions.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiahitch.direct.members.failuredetector import FailureDetector
from cassiahitch.direct.members.gossipmessages import OutgoingMessage, Piggyback
from cassiahitch.direct.members.messagebuilder import MAX_CHANGED_STATES, MessageBuilder
from cassiahitch.direct.members.ownership import is_owner
from cassiahitch.direct.members.regionreports import RegionReporter
from cassiahitch.direct.members.regions import RegionRegistry, parse_endpoints
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import MemberNews, RegionState

if TYPE_CHECKING:
    from cassiahitch.direct.members.memberregistry import MemberRegistry
    from cassiahitch.wire.datagrammessages import MemberState

#: Seconds between two probes by an entry.
PROBE_PERIOD_S = 0.2
#: Additional probes for each entry that just became silent: others may have failed along with it.
EXTRA_PROBES_PER_SILENT = 2
#: Entries that receive a push, and the number of times that a changed state is pushed.
FANOUT = 4
PUSHES_PER_CHANGE = 2
#: Seconds for which changes are gathered into one push, and least time between two pushes.
PUSH_DELAY_S = 0.005
MIN_PUSH_INTERVAL_S = 0.1
#: Unconfirmed addresses that an entry contacts in a period, or names in a message.
MAX_CONTACTED = 2
#: Periods between two reports of a gateway to the other regions.
PERIODS_PER_REGION_REPORT = 2


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
    period_count: int = 0
    pushed_at: float = float('-inf')
    builder: MessageBuilder = field(init=False)
    detector: FailureDetector = field(init=False)
    reporter: RegionReporter = field(init=False)

    def __post_init__(self) -> None:
        """Create the parts of the protocol, which share the registries and the random numbers."""
        self.builder = MessageBuilder(
            self.registry, self.regions, self.piggyback, self.rng, self.pending_pushes
        )
        self.detector = FailureDetector(self.registry, self.builder, self.rng, self.mark_silent)
        self.reporter = RegionReporter(self.registry, self.regions, self.builder, self.rng)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Start a period.

        :param now: current time in seconds.
        :return: what to send.
        """
        self.period_count += 1
        self.registry.expire(now)
        messages, silent_count = self.detector.check_probes(now)
        for _ in range(1 + silent_count * EXTRA_PROBES_PER_SILENT):
            messages.extend(self.detector.probe_next(now))
        messages += self.contact_addresses(now)
        if self.period_count % PERIODS_PER_REGION_REPORT == 0:
            messages += self.reporter.report(now)
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
        if local or self.reporter.is_gateway():
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
        message = self.builder.build(now, self.builder.peer_states(names))
        messages = [OutgoingMessage(message, state.address) for state in receivers]
        if self.remote_pushes:
            self.remote_pushes -= 1
            messages += self.reporter.messages(now, asks=False)
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
            self.detector.confirm_alive(received.members[0].name)
            self.registry.add_addresses({address: received.members[0].region}, now)
        return [
            *self.reply_to(received, address, now),
            *self.detector.forward_probe_reply(received, now),
        ]

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

    def reply_to(self, received: MemberNews, address: str, now: float) -> list[OutgoingMessage]:
        """Reply to a message if that is requested, or if its sender counts as silent.

        A sender that counts as silent receives that state, so that it can refute it.

        :param received: the message.
        :param address: address of the sender.
        :param now: current time in seconds.
        :return: what to send.
        """
        if received.target:
            return [self.detector.probe_on_behalf(received, address, now)]
        sender = received.members[0].name if received.members else ''
        sender_state = self.registry.peers.get(sender)
        silent_state = (sender_state,) if sender_state is not None and sender_state.silent else ()
        if not received.asks and not silent_state:
            return []
        remote = not received.members or self.is_remote(received.members[0])
        message = self.builder.build(now, silent_state, remote=remote)
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

    def is_remote(self, state: MemberState) -> bool:
        """Return whether an entry is in another region.

        :param state: the entry.
        :return: whether it is.
        """
        return state.region != self.registry.own.region

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

    def contact_addresses(self, now: float) -> list[OutgoingMessage]:
        """Send a message that requests a reply to a few unconfirmed addresses.

        :param now: current time in seconds.
        :return: what to send.
        """
        addresses = self.registry.unconfirmed_addresses()
        receivers = self.rng.sample(addresses, min(MAX_CONTACTED, len(addresses)))
        message = replace(
            self.builder.build(now, remote=True), number=next(self.builder.numbers), asks=True
        )
        return [OutgoingMessage(message, address) for address in receivers]

    def entry_count(self, now: float) -> int:
        """Return how many entries may be alive in all regions.

        :param now: current time in seconds.
        :return: their number, including this one.
        """
        return 1 + len(self.registry.live_members()) + self.regions.live_count(now)


__all__ = ('Gossip',)
