"""Simulates how long changes of configuration take to be in force on all nodes."""

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

#: Seconds between two polls of the revision row by an entry.
STORE_POLL_INTERVAL_S = 1.0
#: Largest jitter of polls and heartbeats, as a share of their period.
JITTER = 0.2
#: Latency of a call to the table service, in seconds.
STORE_CALL_LATENCY_S = 0.05
#: One-way latency between hosts of different regions, in seconds.
NETWORK_LATENCY_S = 0.003
#: Changes of configuration per day.
CHANGES_PER_DAY = 17_000
DAY_S = 86_400
#: Largest size of the changes in one message, in bytes.
MAX_DELTA_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Propagation:
    """Seconds from commit until a change is in force on all nodes, and the rate of store reads."""

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
    """Entries that poll the store, and agents that each receive the heartbeats of one entry."""

    def __init__(self, rng: random.Random, entries: int, agents: int, changes: int) -> None:
        self.rng = rng
        self.entries = entries
        self.nodes = [Configuration() for _ in range(entries + agents)]
        self.commit_times = _draw_commit_times(rng, changes)
        self.store = Configuration()
        self.in_force_times: dict[int, list[float]] = {}
        self.events: list[_Event] = []
        self.sequence = 0
        self.store_reads = 0
        for node in range(entries + agents):
            self.schedule(rng.uniform(0, STORE_POLL_INTERVAL_S), node, None)

    def schedule(self, at: float, node: int, message: Delta | None) -> None:
        """Schedule a poll of a node, or the receipt of a message if there is one."""
        self.sequence += 1
        heapq.heappush(self.events, _Event(at, self.sequence, node, message))

    def run(self, until: float) -> None:
        """Run the events until a time in seconds."""
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
            self._receive_entry_heartbeat(event)

    def _poll_store(self, event: _Event) -> None:
        self.store_reads += 1
        self._commit(event.at + STORE_CALL_LATENCY_S / 2)
        delta = self.store.update_since(self.nodes[event.node].revision, MAX_DELTA_BYTES)
        if isinstance(delta, Delta) and delta.changes:
            self.store_reads += 1
            self.schedule(event.at + 2 * STORE_CALL_LATENCY_S, event.node, delta)
        self.schedule(event.at + self._with_jitter(STORE_POLL_INTERVAL_S), event.node, None)

    def _receive_entry_heartbeat(self, event: _Event) -> None:
        entry = self.nodes[event.node % self.entries]
        delta = entry.update_since(self.nodes[event.node].revision, MAX_DELTA_BYTES)
        if isinstance(delta, Delta) and delta.changes:
            self.schedule(event.at + NETWORK_LATENCY_S, event.node, delta)
        self.schedule(event.at + self._with_jitter(HEARTBEAT_INTERVAL_S), event.node, None)

    def _apply(self, event: _Event, message: Delta) -> None:
        previous_revision = self.nodes[event.node].revision
        for action in self.nodes[event.node].apply(message, event.at):
            match action:
                case RevisionApplied(revision=revision):
                    self._record_in_force(previous_revision, revision, event.at)
                case PullChanges():
                    self.schedule(event.at, event.node, None)

    def _record_in_force(self, previous_revision: int, revision: int, at: float) -> None:
        for applied_revision in range(previous_revision + 1, revision + 1):
            self.in_force_times.setdefault(applied_revision, []).append(at)

    def _commit(self, now: float) -> None:
        while self.store.revision < len(self.commit_times):
            current_revision = self.store.revision
            if self.commit_times[current_revision] > now:
                return
            self.store.apply(
                Delta(current_revision, (_change(current_revision + 1),), current_revision + 1), now
            )

    def _with_jitter(self, period_s: float) -> float:
        return period_s * self.rng.uniform(1 - JITTER, 1 + JITTER)


def measure_propagation(
    rng: random.Random,
    entries: int,
    agents: int,
    changes: int,
) -> Propagation:
    """Commit changes at the daily rate and measure their propagation to all nodes.

    :param rng: source of the commit times and of the jitter.
    :param entries: number of nodes that poll the store.
    :param agents: number of nodes that receive the heartbeats of one entry each.
    :param changes: number of changes.
    :return: the delays; infinite for a change that does not reach all nodes.
    """
    fleet = _Fleet(rng, entries, agents, changes)
    end = fleet.commit_times[-1] + 4 * (STORE_POLL_INTERVAL_S + HEARTBEAT_INTERVAL_S)
    fleet.run(end)
    delays = [
        propagation_delay_s(committed_at, fleet.in_force_times.get(revision, []), entries + agents)
        for revision, committed_at in enumerate(fleet.commit_times, start=1)
    ]
    return Propagation(max(delays), sum(delays) / len(delays), fleet.store_reads / end)


def propagation_delay_s(committed_at: float, in_force_at: list[float], nodes: int) -> float:
    """Return how long a change took to be in force on all nodes.

    :param committed_at: time of the commit in seconds.
    :param in_force_at: for each node that the change reached, the time when it came into force.
    :param nodes: number of nodes.
    :return: the delay in seconds; infinite if the change did not reach all nodes.
    """
    return (
        max(in_force_at) - committed_at
        if in_force_at and len(in_force_at) == nodes
        else float('inf')
    )


def _draw_commit_times(rng: random.Random, changes: int) -> tuple[float, ...]:
    commit_times: list[float] = []
    now = STORE_POLL_INTERVAL_S
    for _ in range(changes):
        now += rng.expovariate(CHANGES_PER_DAY / DAY_S)
        commit_times.append(now)
    return tuple(commit_times)


def _change(revision: int) -> Change:
    service = Service(name='s', type=ServiceType.plain, idempotent=True, deadline_s=9)
    return Change(f'c{revision}', revision, resource_key(service), resource_bytes(service))


__all__ = (
    'Propagation',
    'propagation_delay_s',
    'measure_propagation',
)
