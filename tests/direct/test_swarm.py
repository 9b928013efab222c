"""Tests of the choice of chunks and sources, played in virtual time over slow links."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

import pytest

from cassiahitch.direct.swarm import (
    SILENT_S,
    TAKEOVER_S,
    Fleet,
    FromOrigin,
    FromPeer,
    FromRegion,
    Swarm,
)
from cassiahitch.direct.uploads import MOST_UPLOADS
from cassiahitch.weights.plan import Participant

if TYPE_CHECKING:
    from cassiahitch.direct.swarm import FetchOrder

CHUNKS = 48
#: Seconds in which a link carries a chunk, and in which the origin sends one.
LINK_S = 0.09
ORIGIN_S = 0.044
STEP_S = 0.02


def make_fleet(regions: int, hosts: int) -> tuple[Participant, ...]:
    return tuple(
        Participant(f'10.{region}.0.{host}', f'region-{region}', f'domain-{region}')
        for region in range(regions)
        for host in range(hosts)
    )


def make_swarm(participants: tuple[Participant, ...], member: int = 0) -> Swarm:
    fleet = Fleet(participants[member], participants)
    return Swarm(fleet, CHUNKS, random.Random(member), ORIGIN_S, 0)


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
class Play:
    """Plays the fetch of a version by all agents; those in ``dead`` never run."""

    participants: tuple[Participant, ...]
    dead: frozenset[str] = frozenset()
    from_origin: int = 0
    crossings: int = 0
    events: list[tuple[float, int, str, FetchOrder, Outcome]] = field(default_factory=list)

    numbers: itertools.count[int] = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        self.swarms = {
            one.host: make_swarm(self.participants, number)
            for number, one in enumerate(self.participants)
            if one.host not in self.dead
        }
        self.uplinks = {host: Link(LINK_S) for host in self.swarms}
        self.downlinks = {host: Link(LINK_S) for host in self.swarms}
        self.origin = Link(ORIGIN_S)

    def run(self, seconds: float) -> float:
        """Return when the last agent has all chunks."""
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            self.deliver(now)
            if step % 4 == 0:
                self.tell(now)
            for host, swarm in self.swarms.items():
                for order in swarm.orders(now):
                    self.order(host, order, now)
            if all(swarm.complete for swarm in self.swarms.values()):
                return now
        return float('inf')

    def tell(self, now: float) -> None:
        for host, swarm in self.swarms.items():
            waiting = self.uplinks[host].waiting(now)
            for other in self.swarms.values():
                if other is not swarm:
                    other.told(host, swarm.have, waiting, now)

    def order(self, host: str, order: FetchOrder, now: float) -> None:
        match order:
            case FromOrigin():
                self.from_origin += 1
                arrives = max(self.origin.send(now), self.downlinks[host].send(now))
                self.expect(arrives, host, order, Outcome.chunk)
            case FromRegion(host=source) | FromPeer(host=source):
                sender = self.swarms.get(source)
                if sender is None:
                    self.expect(now + 1, host, order, Outcome.silence)
                else:
                    self.ask(host, order, sender, now)

    def ask(self, host: str, order: FetchOrder, sender: Swarm, now: float) -> None:
        uplink = self.uplinks[sender.fleet.member.host]
        busy = isinstance(order, FromPeer) and uplink.waiting(now) >= MOST_UPLOADS
        if busy or not sender.have >> order.index & 1:
            self.expect(now + STEP_S, host, order, Outcome.refused)
            return
        self.crossings += isinstance(order, FromRegion)
        arrives = max(uplink.send(now), self.downlinks[host].send(now))
        self.expect(arrives, host, order, Outcome.chunk)

    def expect(self, at: float, host: str, order: FetchOrder, outcome: Outcome) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), host, order, outcome))

    def deliver(self, now: float) -> None:
        while self.events and self.events[0][0] <= now:
            _, _, host, order, outcome = heapq.heappop(self.events)
            swarm = self.swarms[host]
            match outcome:
                case Outcome.chunk:
                    swarm.arrived(order.index, now)
                case Outcome.refused:
                    self.refuse(swarm, order, now)
                case Outcome.silence:
                    swarm.failed(order, now)

    def refuse(self, swarm: Swarm, order: FetchOrder, now: float) -> None:
        swarm.refused(order, now)
        # An agent of another region waits for the chunk before it says that it has none.
        swarm.empty_answers.pop(order.index, None)


@pytest.mark.parametrize(('regions', 'hosts'), [(3, 3), (3, 14), (4, 10)])
def test_version_is_everywhere_in_little_more_than_the_time_of_one_link(
    regions: int, hosts: int
) -> None:
    play = Play(make_fleet(regions, hosts))
    assert play.run(20) < 1.45 * CHUNKS * LINK_S
    assert play.from_origin == CHUNKS
    assert play.crossings <= CHUNKS * regions


def test_agents_that_never_answer_delay_a_version_by_seconds_only() -> None:
    participants = make_fleet(3, 5)
    dead = frozenset(participants[number].host for number in (0, 6, 12))
    play = Play(participants, dead)
    assert play.run(40) < 2 * CHUNKS * LINK_S + SILENT_S + 2 * TAKEOVER_S


def test_chunks_are_asked_of_the_origin_in_turn_at_its_rate() -> None:
    swarm = make_swarm(make_fleet(1, 1))
    assert swarm.orders(0) == (FromOrigin(0),)
    swarm.arrived(0, ORIGIN_S / 2)
    assert not swarm.orders(ORIGIN_S / 2)
    assert swarm.orders(ORIGIN_S) == (FromOrigin(1),)


def test_chunk_is_fetched_from_the_least_busy_holder() -> None:
    participants = make_fleet(1, 4)
    swarm = make_swarm(participants)
    first, second, third = (one.host for one in participants[1:])
    swarm.told(first, 1, 5, 0)
    swarm.told(second, 2, 3, 0)
    swarm.told(third, 1, 0, 0)
    found = [order for order in swarm.orders(0) if isinstance(order, FromPeer)]
    assert found == [FromPeer(0, third), FromPeer(1, second)]


def test_holder_that_failed_is_asked_last() -> None:
    participants = make_fleet(1, 3)
    swarm = make_swarm(participants)
    first, second = (one.host for one in participants[1:])
    swarm.told(first, 1, 0, 0)
    swarm.told(second, 1, 9, 0)
    swarm.failed(FromPeer(0, first), 0)
    swarm.told(first, 1, 0, 0.1)
    assert FromPeer(0, second) in swarm.orders(0.1)


def test_origin_that_fails_is_asked_again_after_growing_pauses() -> None:
    swarm = make_swarm(make_fleet(1, 1))
    times: list[float] = []
    for step in range(1000):
        now = step / 100
        for order in swarm.orders(now):
            times.append(now)
            swarm.failed(order, now)
    pauses = [after - before for before, after in zip(times, times[1:], strict=False)]
    assert max(pauses) > 4 * pauses[0]
    assert max(pauses) < 3
    assert len(times) < 20


def test_region_without_agents_that_answer_does_not_keep_the_next_one_waiting_for_ever() -> None:
    participants = (*make_fleet(1, 2), Participant('10.9.0.1', 'region-9', 'domain-9'))
    dead = frozenset(('10.9.0.1',))
    play = Play(participants, dead)
    assert play.run(60) < 30


def test_agent_that_joins_late_fetches_from_those_that_hold_the_version() -> None:
    participants = make_fleet(1, 3)
    swarm = make_swarm(participants)
    whole = (1 << CHUNKS) - 1
    for other in participants[1:]:
        swarm.told(other.host, whole, 0, 0)
    assert all(isinstance(order, FromPeer) for order in swarm.orders(0))


def test_fewer_chunks_are_received_at_once_over_a_link_that_is_slow() -> None:
    participants = make_fleet(1, 2)
    swarm = make_swarm(participants)
    swarm.told(participants[1].host, (1 << CHUNKS) - 1, 0, 0)
    first = swarm.orders(0)
    for order in first:
        swarm.arrived(order.index, 2)
    swarm.told(participants[1].host, (1 << CHUNKS) - 1, 0, 2)
    assert len(swarm.orders(2)) == 1
