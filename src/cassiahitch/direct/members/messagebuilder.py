"""Contents of gossip messages: states of entries and of regions, and the records beside them."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.members.regions import RegionRegistry, summarize_region
from cassiahitch.wire.datagrammessages import MemberNews

if TYPE_CHECKING:
    from cassiahitch.direct.members.gossipmessages import Piggyback
    from cassiahitch.direct.members.memberregistry import MemberRegistry
    from cassiahitch.wire.datagrammessages import MemberState, RegionState

#: States of other entries in a message: changed ones, and random ones that are repeated.
MAX_CHANGED_STATES = 16
REPEATED_STATES = 2
#: States of other regions in a message: the most recent ones, and a random one in addition.
LATEST_REGIONS = 1


@dataclass(slots=True)
class MessageBuilder:
    """Builds the messages of an entry, and numbers those that request a reply.

    ``pending_pushes`` holds how often the state of each changed entry is still to be pushed.
    """

    registry: MemberRegistry
    regions: RegionRegistry
    piggyback: Piggyback
    rng: random.Random
    pending_pushes: dict[str, int]
    numbers: itertools.count[int] = field(init=False)

    def __post_init__(self) -> None:
        """Number the messages, from another first number after each start."""
        self.numbers = itertools.count(self.registry.own.incarnation + 1)

    def build(
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


__all__ = ('MessageBuilder',)
