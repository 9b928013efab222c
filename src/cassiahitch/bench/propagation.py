"""Time from accepted to in force on all nodes, in virtual time."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.controllers.changes import Change, Delta
from cassiahitch.controllers.configuration import Configuration, PullChanges, RevisionApplied
from cassiahitch.members.membership import HEARTBEAT_INTERVAL_S
from cassiahitch.resources.models import Service, ServiceType
from cassiahitch.resources.parsing import resource_bytes, resource_key

if TYPE_CHECKING:
    import random

#: Seconds between two polls of the revision row by one entry.
POLL_S = 1.0
#: Share of a period by which polls and heartbeats are jittered.
JITTER = 0.2
#: Seconds that a call to the table service takes.
STORE_CALL_S = 0.05
#: Seconds of one way between two hosts of different regions.
ONE_WAY_S = 0.003
#: Changes of configuration in a day.
CHANGES_A_DAY = 17_000
DAY_S = 86_400
#: Bytes of changes in one message.
DELTA_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Propagation:
    """Seconds from the commit of each change until it is in force on all nodes."""

    worst_s: float
    mean_s: float
    store_reads_per_s: float


@dataclass(order=True, slots=True)
class _Event:
    at: float
    order: int
    node: int = field(compare=False)
    message: Delta | None = field(compare=False)


class _Fleet:
    """Entries that poll the store, and agents that each hear one entry's heartbeats."""

    def __init__(self, rng: random.Random, entries: int, agents: int, changes: int) -> None:
        self.rng = rng
        self.entries = entries
        self.nodes = [Configuration() for _ in range(entries + agents)]
        self.committed = _commits(rng, changes)
        self.store = Configuration()
        self.in_force: dict[int, list[float]] = {}
        self.events: list[_Event] = []
        self.sequence = 0
        self.reads = 0
        for node in range(entries + agents):
            self.schedule(rng.uniform(0, POLL_S), node, None)

    def schedule(self, at: float, node: int, message: Delta | None) -> None:
        """Let a node act or take a message at a moment."""
        self.sequence += 1
        heapq.heappush(self.events, _Event(at, self.sequence, node, message))

    def run(self, until: float) -> None:
        """Run until a moment."""
        while self.events and self.events[0].at <= until:
            event = heapq.heappop(self.events)
            if event.message is None:
                self._act(event)
            else:
                self._apply(event, event.message)

    def _act(self, event: _Event) -> None:
        if event.node < self.entries:
            self._poll_store(event)
        else:
            self._hear_entry(event)

    def _poll_store(self, event: _Event) -> None:
        self.reads += 1
        self._commit(event.at + STORE_CALL_S / 2)
        delta = self.store.update_since(self.nodes[event.node].revision, DELTA_BYTES)
        if isinstance(delta, Delta) and delta.changes:
            self.reads += 1
            self.schedule(event.at + 2 * STORE_CALL_S, event.node, delta)
        self.schedule(event.at + self._jittered(POLL_S), event.node, None)

    def _hear_entry(self, event: _Event) -> None:
        entry = self.nodes[event.node % self.entries]
        delta = entry.update_since(self.nodes[event.node].revision, DELTA_BYTES)
        if isinstance(delta, Delta) and delta.changes:
            self.schedule(event.at + ONE_WAY_S, event.node, delta)
        self.schedule(event.at + self._jittered(HEARTBEAT_INTERVAL_S), event.node, None)

    def _apply(self, event: _Event, message: Delta) -> None:
        before = self.nodes[event.node].revision
        for action in self.nodes[event.node].apply(message, event.at):
            match action:
                case RevisionApplied(revision=revision):
                    self._note(before, revision, event.at)
                case PullChanges():
                    self.schedule(event.at, event.node, None)

    def _note(self, before: int, revision: int, at: float) -> None:
        for reached in range(before + 1, revision + 1):
            self.in_force.setdefault(reached, []).append(at)

    def _commit(self, now: float) -> None:
        while self.store.revision < len(self.committed):
            following = self.store.revision
            if self.committed[following] > now:
                return
            self.store.apply(Delta(following, (_change(following + 1),), following + 1), now)

    def _jittered(self, period_s: float) -> float:
        return period_s * self.rng.uniform(1 - JITTER, 1 + JITTER)


def measure_propagation(
    rng: random.Random,
    entries: int,
    agents: int,
    changes: int,
) -> Propagation:
    """Commit changes at the daily rate and follow them to all nodes.

    :param rng: draws the moments.
    :param entries: nodes that poll the store.
    :param agents: nodes that hear one entry each.
    :param changes: how many changes.
    :return: the times; a change that does not arrive everywhere takes for ever.
    """
    fleet = _Fleet(rng, entries, agents, changes)
    end = fleet.committed[-1] + 4 * (POLL_S + HEARTBEAT_INTERVAL_S)
    fleet.run(end)
    delays = [
        delay_to_all(committed, fleet.in_force.get(revision, []), entries + agents)
        for revision, committed in enumerate(fleet.committed, start=1)
    ]
    return Propagation(max(delays), sum(delays) / len(delays), fleet.reads / end)


def delay_to_all(committed: float, reached: list[float], nodes: int) -> float:
    """Return how long a change took to be in force on all nodes.

    :param committed: the moment of its commit, seconds.
    :param reached: the moment when it came into force on each node that it reached.
    :param nodes: how many nodes there are.
    :return: seconds; infinite if a node was not reached.
    """
    return max(reached) - committed if reached and len(reached) == nodes else float('inf')


def _commits(rng: random.Random, changes: int) -> tuple[float, ...]:
    moments: list[float] = []
    now = POLL_S
    for _ in range(changes):
        now += rng.expovariate(CHANGES_A_DAY / DAY_S)
        moments.append(now)
    return tuple(moments)


def _change(revision: int) -> Change:
    service = Service(name='s', type=ServiceType.plain, idempotent=True, deadline_s=9)
    return Change(f'c{revision}', revision, resource_key(service), resource_bytes(service))


__all__ = (
    'Propagation',
    'delay_to_all',
    'measure_propagation',
)
