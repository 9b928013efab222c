"""Control cost of each node, with slopes over the size of the fleet."""

from __future__ import annotations

import random
from dataclasses import dataclass

from cassiahitch.bench.api import BenchReport, Bound, Figure, Series
from cassiahitch.bench.heartbeats import HeartbeatCost, measure_heartbeats
from cassiahitch.bench.propagation import CHANGES_A_DAY, DAY_S, measure_propagation
from cassiahitch.bench.reconciliation import measure_reconciliation
from cassiahitch.bench.regression import Line, fit
from cassiahitch.bench.revisions import RevisionCost, measure_revisions
from cassiahitch.members.membership import Role

#: Peers, and organisations in tens, of the standard sizes.
SIZES = (50, 100, 200, 400, 800)
#: Organisations for each peer of a size.
ORGANISATIONS_PER_SIZE = 5
#: Goals: share of a core, bytes of memory, bytes in a second, seconds until in force.
CORE_SHARE = 0.033
MEMORY_BYTES = 128 * 1024 * 1024
BYTES_PER_S = 10_000
IN_FORCE_S = 7.0
#: Size for which the goals are stated.
ENTRIES = 1_800
AGENTS = 10_000
#: Organisations at that size.
ORGANISATIONS = 20_000
#: Entries of today.
ENTRIES_TODAY = 9
#: Changes that are followed to all nodes.
FOLLOWED_CHANGES = 40

MICROSECONDS = 1_000_000
PER_CENT = 100


@dataclass(frozen=True, slots=True)
class _Lines:
    """Cost over a number of peers or organisations."""

    cpu_s: Line
    size_bytes: Line
    memory_bytes: Line


@dataclass(frozen=True, slots=True)
class _Cost:
    """Cost of the heartbeats of one node in a second."""

    cpu_s: float
    size_bytes: float
    memory_bytes: float


def run(seed: int, sizes: tuple[int, ...]) -> BenchReport:
    """Measure the cost of heartbeats and configuration and fit slopes.

    :param seed: seed of all that is drawn.
    :param sizes: numbers of peers; at least four.
    :return: slopes, and the costs at the stated size beside the goals.
    """
    sizes = sizes or SIZES
    agents = {size: measure_heartbeats(random.Random(seed), size, Role.agent) for size in sizes}
    entries = {size: measure_heartbeats(random.Random(seed), size, Role.entry) for size in sizes}
    organisations = {
        size * ORGANISATIONS_PER_SIZE: measure_revisions(size * ORGANISATIONS_PER_SIZE)
        for size in sizes
    }
    of_agents = _heartbeat_lines(agents)
    of_entries = _heartbeat_lines(entries)
    of_agent = _lines_at_agent(seed, sizes)
    held = _revision_lines(organisations)
    change = organisations[max(organisations)]
    compared = fit([(size, measure_reconciliation(size)) for size in sizes])
    return BenchReport(
        'control',
        seed,
        sizes,
        (
            *_slopes('agent', of_agents),
            *_slopes('entry', of_entries),
            *_slopes('entry, at an agent', of_agent),
            *_configuration(held, change),
            *_entry_at_size(of_agents, of_entries, held, change),
            *_agent_at_size(of_agent, held, change),
            *_in_force(seed, sizes),
            Figure('comparison of a rollout per replica', compared.slope * MICROSECONDS, 'us'),
        ),
        (
            Series('entry: bytes/s over agents', _points(agents)),
            Series('bytes/s over entries', _points(entries)),
        ),
        ('peers', 'bytes/s in and out'),
    )


def _lines_at_agent(seed: int, sizes: tuple[int, ...]) -> _Lines:
    costs = {
        size: measure_heartbeats(random.Random(seed), size, Role.entry, own=Role.agent)
        for size in sizes
    }
    return _heartbeat_lines(costs)


def _points(costs: dict[int, HeartbeatCost]) -> tuple[tuple[float, float], ...]:
    return tuple((size, cost.bytes_in + cost.bytes_out) for size, cost in costs.items())


def _heartbeat_lines(costs: dict[int, HeartbeatCost]) -> _Lines:
    return _Lines(
        fit([(size, cost.cpu_s) for size, cost in costs.items()]),
        fit(_points(costs)),
        fit([(size, cost.memory_bytes) for size, cost in costs.items()]),
    )


def _revision_lines(costs: dict[int, RevisionCost]) -> _Lines:
    return _Lines(
        fit([(size, cost.snapshot_cpu_s) for size, cost in costs.items()]),
        fit([(size, cost.snapshot_bytes) for size, cost in costs.items()]),
        fit([(size, cost.memory_bytes) for size, cost in costs.items()]),
    )


def _slopes(peer: str, lines: _Lines) -> tuple[Figure, ...]:
    return (
        Figure(f'processor time per {peer} heard', lines.cpu_s.slope * MICROSECONDS, 'us/s'),
        Figure(f'bytes per {peer}, both ways', lines.size_bytes.slope, 'B/s'),
        Figure(f'memory per {peer}', lines.memory_bytes.slope, 'B'),
    )


def _configuration(held: _Lines, change: RevisionCost) -> tuple[Figure, ...]:
    return (
        Figure('memory per organisation', held.memory_bytes.slope, 'B'),
        Figure('snapshot per organisation', held.size_bytes.slope, 'B'),
        Figure('start per organisation', held.cpu_s.slope * MICROSECONDS, 'us'),
        Figure('processor time per change', change.cpu_s * MICROSECONDS, 'us'),
        Figure('bytes per change', change.change_bytes, 'B'),
    )


def _entry_at_size(
    of_agents: _Lines,
    of_entries: _Lines,
    held: _Lines,
    change: RevisionCost,
) -> tuple[Figure, ...]:
    cpu_s = of_agents.cpu_s.at(AGENTS) + of_entries.cpu_s.at(ENTRIES)
    sent = of_agents.size_bytes.at(AGENTS) + of_entries.size_bytes.at(ENTRIES)
    memory = of_agents.memory_bytes.at(AGENTS) + of_entries.memory_bytes.at(ENTRIES)
    return _goals('entry', _Cost(cpu_s, sent, memory), held, change)


def _agent_at_size(of_agent: _Lines, held: _Lines, change: RevisionCost) -> tuple[Figure, ...]:
    cost = _Cost(
        of_agent.cpu_s.at(ENTRIES),
        of_agent.size_bytes.at(ENTRIES),
        of_agent.memory_bytes.at(ENTRIES),
    )
    return _goals('agent', cost, held, change)


def _goals(
    role: str,
    cost: _Cost,
    held: _Lines,
    change: RevisionCost,
) -> tuple[Figure, ...]:
    changes_per_s = CHANGES_A_DAY / DAY_S
    cpu_s = cost.cpu_s + changes_per_s * change.cpu_s
    sent = cost.size_bytes + changes_per_s * change.change_bytes
    memory = cost.memory_bytes + held.memory_bytes.at(ORGANISATIONS)
    size = f'{ENTRIES} entries, {AGENTS} agents, all to all'
    most = Bound.at_most
    share = PER_CENT * CORE_SHARE
    return (
        Figure(f'{role} at {size}: core', cpu_s * PER_CENT, '%', most, share),
        Figure(f'{role} at {size}: traffic', sent, 'B/s', most, BYTES_PER_S),
        Figure(f'{role} at {size}: memory', memory, 'B', most, MEMORY_BYTES),
    )


def _in_force(seed: int, sizes: tuple[int, ...]) -> tuple[Figure, ...]:
    agents = max(sizes)
    found = measure_propagation(random.Random(seed), ENTRIES_TODAY, agents, FOLLOWED_CHANGES)
    size = f'{ENTRIES_TODAY} entries, {agents} agents'
    reads = found.store_reads_per_s / ENTRIES_TODAY
    return (
        Figure(f'in force, worst, {size}', found.worst_s, 's', Bound.at_most, IN_FORCE_S),
        Figure(f'in force, mean, {size}', found.mean_s, 's'),
        Figure('store reads per entry', reads, '/s'),
    )


__all__ = ('run',)
