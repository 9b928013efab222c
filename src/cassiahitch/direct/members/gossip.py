"""Spreads which entries live, are ready or leave, at a cost for each host that the fleet's size
does not change.

Load pattern: hundreds of entries start within the same second, and each of them has something to
say. Each entry probes one other entry of its region in each period, tells its news to a few others
that pass them on, and repeats a few states to each that it speaks to, so that what was lost on the
way arrives later. Two entries of each region tell the other regions how many live there and which
of them to use; no state of a single entry leaves its region.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiahitch.direct.members.regions import RegionRegistry, parse_endpoints, summarize_region
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.weights.tree import ranked
from cassiahitch.wire.beats import MemberNews, RegionState, SuspectRecord, VersionRecord

if TYPE_CHECKING:
    from cassiahitch.direct.members.memberregistry import MemberRegistry
    from cassiahitch.wire.beats import MemberState

#: Seconds between two probes.
PROBE_PERIOD_S = 0.2
#: Seconds without an answer after which others are asked to probe, and how many of them.
ASK_OTHERS_S = 0.2
OTHERS = 2
#: Seconds without an answer after which an entry counts as silent.
SILENT_S = 0.7
#: Further probes for each entry that has just become silent, since others may be as well.
PROBES_AFTER_SILENCE = 2
#: Entries that one is told of news at once, and how often it tells them.
FANOUT = 4
PUSHES = 2
#: Seconds in which news of several entries are gathered, and least time between two pushes.
GATHER_S = 0.005
PUSH_GAP_S = 0.1
#: States of other entries in a message: news, and others at random.
MOST_NEWS = 16
REPEATED = 2
#: Other regions that a message tells of: those heard of last, and one at random.
REGIONS_TOLD = 1
#: Addresses without a known entry that are greeted in a period.
GREETED = 2
#: Entries of a region that speak to other regions, and the periods between their messages.
GATEWAYS = 2
GATEWAY_PERIODS = 2


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message and the address that it goes to."""

    message: MemberNews
    address: str


@dataclass(slots=True)
class Probe:
    """A question whether an entry lives; ``at`` is when it was asked, in seconds."""

    name: str
    address: str
    at: float
    asked_others: bool = False


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A probe that another entry has asked for; it is answered under its ``number``."""

    number: int
    asker: str
    at: float


@dataclass(slots=True)
class Piggyback:
    """What else the messages carry; each returns it as of a moment, in seconds."""

    suspects: Callable[[float], tuple[SuspectRecord, ...]] = lambda _: ()
    versions: Callable[[float], tuple[VersionRecord, ...]] = lambda _: ()


@dataclass(slots=True)
class Gossip:
    """Decides what is sent to whom; the caller sends it, and passes on what arrives."""

    registry: MemberRegistry
    regions: RegionRegistry
    piggyback: Piggyback
    rng: random.Random
    on_change: Callable[[str, MemberState], None] = lambda _what, _state: None
    pending: dict[str, int] = field(default_factory=dict)
    probes: dict[int, Probe] = field(default_factory=dict)
    for_others: dict[int, IndirectProbe] = field(default_factory=dict)
    round: list[str] = field(default_factory=list)
    periods: int = 0
    pushed_at: float = float('-inf')
    numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Begin a period.

        :param now: seconds.
        :return: what to send.
        """
        self.periods += 1
        self.registry.expire(now)
        sends, silent = self.check_probes(now)
        for _ in range(1 + silent * PROBES_AFTER_SILENCE):
            sends.extend(self.probe_next(now))
        sends += self.greet(now)
        if self.periods % GATEWAY_PERIODS == 0:
            sends += self.tell_regions(now)
        return sends

    def update_own_state(self, *, ready: bool, leaving: bool) -> bool:
        """Change the own state.

        :param ready: whether callers may be sent here.
        :param leaving: whether this entry is about to end.
        :return: whether it is news to be pushed.
        """
        if not self.registry.update_own(ready=ready, leaving=leaving):
            return False
        self.pending[self.registry.own.name] = PUSHES
        return True

    def push_delay_s(self, now: float) -> float | None:
        """Return when news are to be passed on.

        :param now: seconds.
        :return: in how many seconds; nothing if there are none.
        """
        if not self.pending:
            return None
        return max(GATHER_S, self.pushed_at + PUSH_GAP_S - now)

    def push(self, now: float) -> list[OutgoingMessage]:
        """Tell what is new to a few entries, which pass it on.

        :param now: seconds.
        :return: what to send.
        """
        self.pushed_at = now
        names = sorted(self.pending, key=self.pending.__getitem__, reverse=True)[:MOST_NEWS]
        for name in names:
            self.pending[name] -= 1
            if not self.pending[name]:
                self.pending.pop(name)
        near = self.registry.live_members()
        few = near if len(near) <= 2 * FANOUT else self.rng.sample(near, FANOUT)
        message = self.message(now, self.states(names))
        return [OutgoingMessage(message, state.address) for state in few]

    def receive(self, news: MemberNews, address: str, now: float) -> list[OutgoingMessage]:
        """Take a message in.

        :param news: the message.
        :param address: where it came from.
        :param now: seconds.
        :return: what to send at once; what is to be pushed stays in ``pending``.
        """
        for state in news.members:
            self.apply(state, now)
        for region in news.regions:
            self.take_region(region, now)
        if news.members:
            self.heard(news.members[0].name)
            self.registry.add_addresses({address: news.members[0].region}, now)
        return [*self.answers(news, address, now), *self.answers_for_others(news, now)]

    def apply(self, state: MemberState, now: float) -> None:
        """Take the state of an entry in, and keep it for others if it is news.

        :param state: the state.
        :param now: seconds.
        """
        before = self.registry.peers.get(state.name)
        if not self.registry.apply(state, now):
            return
        self.pending[state.name] = PUSHES
        if state.name == self.registry.own.name:
            self.on_change('called silent', self.registry.own)
        elif before is None or before.incarnation != state.incarnation:
            self.on_change('entry heard', state)
        elif before.silent != state.silent:
            self.on_change('entry silent' if state.silent else 'entry back', state)

    def take_region(self, region: RegionState, now: float) -> None:
        """Take in what an entry knows of a region.

        :param region: its state; that of the own region only names entries to greet.
        :param now: seconds.
        """
        own = self.registry.own.region
        if region.region == own:
            self.registry.add_addresses({one.address: own for one in parse_endpoints(region)}, now)
        else:
            self.regions.apply(region, now)

    def heard(self, name: str) -> None:
        """Note that an entry lives.

        :param name: the sender of a message.
        """
        for number, probe in tuple(self.probes.items()):
            if probe.name == name:
                self.probes.pop(number)

    def answers(self, news: MemberNews, address: str, now: float) -> list[OutgoingMessage]:
        """Answer a message, if its sender waits for that or does not know that it is called silent.

        :param news: the message.
        :param address: where it came from.
        :param now: seconds.
        :return: what to send.
        """
        if news.target:
            return [self.probe_for_other(news, address, now)]
        sender = news.members[0].name if news.members else ''
        known = self.registry.peers.get(sender)
        mark = (known,) if known is not None and known.silent else ()
        if not news.asks and not mark:
            return []
        far = not news.members or self.is_remote(news.members[0])
        message = self.message(now, mark, far=far)
        number = news.number if news.asks else 0
        regions = (*message.regions, *self.neighbours(news, address))
        return [OutgoingMessage(replace(message, number=number, regions=regions), address)]

    def neighbours(self, news: MemberNews, address: str) -> tuple[RegionState, ...]:
        """Return where an entry of another region may find those of its own.

        :param news: its message.
        :param address: where it came from.
        :return: a state of its region without a count.
        """
        region = news.members[0].region if news.members else ''
        known = [one for one in self.registry.addresses_of(region) if one != address]
        if not known or region == self.registry.own.region:
            return ()
        few = self.rng.sample(known, min(GREETED, len(known)))
        port = self.registry.own.http_port
        return (RegionState(region, endpoints=tuple(str(Endpoint(one, port)) for one in few)),)

    def answers_for_others(self, news: MemberNews, now: float) -> list[OutgoingMessage]:
        """Pass the answer to a probe on to the entry that wanted it.

        :param news: the answer.
        :param now: seconds.
        :return: what to send.
        """
        wanted = None if news.asks else self.for_others.pop(news.number, None)
        if wanted is None or not news.members:
            return []
        # The later state of the probed entry is evidence by itself.
        message = self.message(now, news.members[:1])
        return [OutgoingMessage(replace(message, number=wanted.number), wanted.asker)]

    def probe_for_other(self, news: MemberNews, asker: str, now: float) -> OutgoingMessage:
        """Probe an entry for another one.

        :param news: the request.
        :param asker: who wants it.
        :param now: seconds.
        :return: the probe.
        """
        number = next(self.numbers)
        self.for_others[number] = IndirectProbe(news.number, asker, now)
        return OutgoingMessage(replace(self.message(now), number=number, asks=True), news.target)

    def check_probes(self, now: float) -> tuple[list[OutgoingMessage], int]:
        """Look for probes without an answer.

        :param now: seconds.
        :return: what to send, and how many entries became silent.
        """
        sends: list[OutgoingMessage] = []
        silent = 0
        for number, probe in tuple(self.probes.items()):
            age_s = now - probe.at
            if age_s >= SILENT_S:
                self.probes.pop(number)
                silent += self.mark_silent(probe.name, now)
            elif age_s >= ASK_OTHERS_S and not probe.asked_others:
                probe.asked_others = True
                again = replace(self.message(now), number=number, asks=True)
                sends += [
                    OutgoingMessage(again, probe.address),
                    *self.ask_others(number, probe, now),
                ]
        for number, wanted in tuple(self.for_others.items()):
            if now - wanted.at >= SILENT_S:
                self.for_others.pop(number)
        return sends, silent

    def ask_others(self, number: int, probe: Probe, now: float) -> list[OutgoingMessage]:
        """Ask others to probe an entry, which may just not reach this one.

        :param number: the number of the probe.
        :param probe: the probe.
        :param now: seconds.
        :return: what to send.
        """
        others = [one for one in self.registry.live_members() if one.name != probe.name]
        few = self.rng.sample(others, min(OTHERS, len(others)))
        message = replace(self.message(now), number=number, target=probe.address)
        return [OutgoingMessage(message, one.address) for one in few]

    def mark_silent(self, name: str, now: float) -> bool:
        """Note that an entry does not answer, and keep that for others.

        :param name: the entry.
        :param now: seconds.
        :return: whether that is news.
        """
        if not self.registry.mark_silent(name, now):
            return False
        self.pending[name] = PUSHES
        self.on_change('entry silent', self.registry.peers[name])
        return True

    def probe_next(self, now: float) -> list[OutgoingMessage]:
        """Probe the next entry of a round in random order.

        :param now: seconds.
        :return: what to send.
        """
        live = {state.name: state for state in self.registry.live_members()}
        if not any(name in live for name in self.round):
            self.round = list(live)
            self.rng.shuffle(self.round)
        while self.round:
            state = live.get(self.round.pop())
            if state is not None:
                number = next(self.numbers)
                self.probes[number] = Probe(state.name, state.address, now)
                message = replace(self.message(now), number=number, asks=True)
                return [OutgoingMessage(message, state.address)]
        return []

    def greet(self, now: float) -> list[OutgoingMessage]:
        """Greet addresses at which there may be an entry.

        :param now: seconds.
        :return: what to send.
        """
        addresses = self.registry.unconfirmed_addresses()
        few = self.rng.sample(addresses, min(GREETED, len(addresses)))
        message = replace(self.message(now, far=True), number=next(self.numbers), asks=True)
        return [OutgoingMessage(message, address) for address in few]

    def tell_regions(self, now: float) -> list[OutgoingMessage]:
        """Tell an entry of each other region about this one, if that is this entry's task.

        :param now: seconds.
        :return: what to send.
        """
        own = self.registry.own
        names = ranked(0, tuple(one.name for one in (own, *self.registry.live_members())))
        if own.name not in names[:GATEWAYS]:
            return []
        # An entry that knows no other one of its region asks where they are.
        asks = not self.registry.live_members()
        message = replace(self.message(now, far=True), number=next(self.numbers), asks=asks)
        addresses = (self.address_in(region, now) for region in self.other_regions())
        return [OutgoingMessage(message, address) for address in addresses if address]

    def other_regions(self) -> tuple[str, ...]:
        """Return the other regions in which there may be entries.

        :return: their names.
        """
        addresses = {
            one.region for one in self.registry.addresses.values()
        } | self.regions.snapshots.keys()
        return tuple(sorted(addresses - {'', self.registry.own.region}))

    def address_in(self, region: str, now: float) -> str:
        """Choose an entry of another region.

        :param region: the region.
        :param now: seconds.
        :return: its address, empty if none is known.
        """
        live = tuple(one.address for one in self.regions.endpoints(now, region))
        addresses = live or self.registry.addresses_of(region)
        return self.rng.choice(addresses) if addresses else ''

    def is_remote(self, state: MemberState) -> bool:
        """Tell whether an entry is in another region.

        :param state: the entry.
        :return: whether it is.
        """
        return state.region != self.registry.own.region

    def message(
        self, now: float, news: Iterable[MemberState] = (), *, far: bool = False
    ) -> MemberNews:
        """Return what an entry is told.

        :param now: seconds.
        :param news: states that it must know.
        :param far: whether it may be in another region.
        :return: the message, without what it asks.
        """
        peers = tuple(self.registry.peers.values())
        repeated = self.rng.sample(peers, min(REPEATED, len(peers)))
        fresh = self.states(self.pending)
        news = itertools.islice(itertools.chain(news, fresh), MOST_NEWS)
        members = dict.fromkeys((self.registry.own, *news, *repeated))
        return MemberNews(
            members=tuple(members),
            regions=self.regions_for(now, far=far),
            suspects=self.piggyback.suspects(now),
            versions=self.piggyback.versions(now),
        )

    def states(self, names: Iterable[str]) -> tuple[MemberState, ...]:
        """Return the states of other entries.

        :param names: entries, which may be unknown.
        :return: the states of those that are known.
        """
        return tuple(self.registry.peers[name] for name in names if name in self.registry.peers)

    def regions_for(self, now: float, *, far: bool) -> tuple[RegionState, ...]:
        """Return what an entry is told of regions.

        :param now: seconds.
        :param far: whether it may be in another region.
        :return: states of regions.
        """
        current_states = self.regions.current_states(now)
        latest = sorted(current_states, key=lambda state: state.age_ms)[:REGIONS_TOLD]
        few = tuple(
            dict.fromkeys((*latest, *self.rng.sample(current_states, min(1, len(current_states)))))
        )
        if not far:
            return few
        states = [self.registry.own, *self.registry.live_members()]
        self.rng.shuffle(states)
        return (summarize_region(self.registry.own.region, tuple(states)), *few)

    def entry_count(self, now: float) -> int:
        """Return how many entries may live.

        :param now: seconds.
        :return: their number, with the own one.
        """
        return 1 + len(self.registry.live_members()) + self.regions.live_count(now)


__all__ = (
    'Gossip',
    'OutgoingMessage',
    'Piggyback',
)
