"""Benchmark of the control traffic: its cost at each node, as a function of the fleet's size."""

from __future__ import annotations

import random
from dataclasses import dataclass

from cassiahitch.bench.api import BenchReport, Bound, Figure, Series
from cassiahitch.bench.heartbeats import HeartbeatCost, measure_heartbeats
from cassiahitch.bench.propagation import CHANGES_PER_DAY, DAY_S, measure_propagation
from cassiahitch.bench.reconciliation import measure_reconciliation
from cassiahitch.bench.regression import Line, fit_line
from cassiahitch.bench.revisions import RevisionCost, measure_revisions
from cassiahitch.members.membership import Role

#: Standard sizes, in peers.
SIZES = (50, 100, 200, 400, 800)
#: Organisations per peer of a size.
ORGANISATIONS_PER_SIZE = 5
#: Targets for a node: share of a core, memory, traffic, and seconds until a change is in force.
CORE_SHARE_TARGET = 0.033
MEMORY_TARGET_BYTES = 128 * 1024 * 1024
TRAFFIC_TARGET_BYTES_PER_S = 10_000
IN_FORCE_TARGET_S = 7.0
#: Fleet size for which the targets are stated.
TARGET_ENTRIES = 1_800
TARGET_AGENTS = 10_000
#: Organisations at that fleet size.
TARGET_ORGANISATIONS = 20_000
#: Entries of the current deployment.
CURRENT_ENTRIES = 9
#: Changes whose propagation to all nodes is measured.
FOLLOWED_CHANGES = 40

US_PER_S = 1_000_000
PER_CENT = 100


@dataclass(frozen=True, slots=True)
class _CostLines:
    """Costs as linear functions of the number of peers or organisations."""

    cpu_s: Line
    size_bytes: Line
    memory_bytes: Line


@dataclass(frozen=True, slots=True)
class _NodeCost:
    """Cost of the heartbeats at one node per second."""

    cpu_s: float
    size_bytes: float
    memory_bytes: float


def run(seed: int, sizes: tuple[int, ...]) -> BenchReport:
    """Measure the cost of heartbeats and configuration and fit lines to them.

    :param seed: seed of all random numbers.
    :param sizes: at least four numbers of peers.
    :return: the slopes, and the costs at the target fleet size with their targets.
    """
    sizes = sizes or SIZES
    agents = {size: measure_heartbeats(random.Random(seed), size, Role.agent) for size in sizes}
    entries = {size: measure_heartbeats(random.Random(seed), size, Role.entry) for size in sizes}
    organisations = {
        size * ORGANISATIONS_PER_SIZE: measure_revisions(size * ORGANISATIONS_PER_SIZE)
        for size in sizes
    }
    agent_lines = _heartbeat_lines(agents)
    entry_lines = _heartbeat_lines(entries)
    entry_lines_at_agent = _measure_entries_at_agent(seed, sizes)
    configuration_lines = _revision_lines(organisations)
    change_cost = organisations[max(organisations)]
    reconciliation_line = fit_line([(size, measure_reconciliation(size)) for size in sizes])
    return BenchReport(
        'control',
        seed,
        sizes,
        (
            *_slope_figures('agent', agent_lines),
            *_slope_figures('entry', entry_lines),
            *_slope_figures('entry, at an agent', entry_lines_at_agent),
            *_configuration_figures(configuration_lines, change_cost),
            *_entry_target_figures(agent_lines, entry_lines, configuration_lines, change_cost),
            *_agent_target_figures(entry_lines_at_agent, configuration_lines, change_cost),
            *_propagation_figures(seed, sizes),
            Figure(
                'comparison of a rollout per replica', reconciliation_line.slope * US_PER_S, 'us'
            ),
        ),
        (
            Series('entry: bytes/s over agents', _points(agents)),
            Series('bytes/s over entries', _points(entries)),
        ),
        ('peers', 'bytes/s in and out'),
    )


def _measure_entries_at_agent(seed: int, sizes: tuple[int, ...]) -> _CostLines:
    costs = {
        size: measure_heartbeats(random.Random(seed), size, Role.entry, own_role=Role.agent)
        for size in sizes
    }
    return _heartbeat_lines(costs)


def _points(costs: dict[int, HeartbeatCost]) -> tuple[tuple[float, float], ...]:
    return tuple((size, cost.bytes_in + cost.bytes_out) for size, cost in costs.items())


def _heartbeat_lines(costs: dict[int, HeartbeatCost]) -> _CostLines:
    return _CostLines(
        fit_line([(size, cost.cpu_s) for size, cost in costs.items()]),
        fit_line(_points(costs)),
        fit_line([(size, cost.memory_bytes) for size, cost in costs.items()]),
    )


def _revision_lines(costs: dict[int, RevisionCost]) -> _CostLines:
    return _CostLines(
        fit_line([(size, cost.snapshot_cpu_s) for size, cost in costs.items()]),
        fit_line([(size, cost.snapshot_bytes) for size, cost in costs.items()]),
        fit_line([(size, cost.memory_bytes) for size, cost in costs.items()]),
    )


def _slope_figures(peer: str, lines: _CostLines) -> tuple[Figure, ...]:
    return (
        Figure(f'processor time per {peer} heard', lines.cpu_s.slope * US_PER_S, 'us/s'),
        Figure(f'bytes per {peer}, both ways', lines.size_bytes.slope, 'B/s'),
        Figure(f'memory per {peer}', lines.memory_bytes.slope, 'B'),
    )


def _configuration_figures(
    configuration_lines: _CostLines, change_cost: RevisionCost
) -> tuple[Figure, ...]:
    return (
        Figure('memory per organisation', configuration_lines.memory_bytes.slope, 'B'),
        Figure('snapshot per organisation', configuration_lines.size_bytes.slope, 'B'),
        Figure('start per organisation', configuration_lines.cpu_s.slope * US_PER_S, 'us'),
        Figure('processor time per change', change_cost.cpu_s * US_PER_S, 'us'),
        Figure('bytes per change', change_cost.change_bytes, 'B'),
    )


def _entry_target_figures(
    agent_lines: _CostLines,
    entry_lines: _CostLines,
    configuration_lines: _CostLines,
    change_cost: RevisionCost,
) -> tuple[Figure, ...]:
    cpu_s = agent_lines.cpu_s.cost_at(TARGET_AGENTS) + entry_lines.cpu_s.cost_at(TARGET_ENTRIES)
    sent = agent_lines.size_bytes.cost_at(TARGET_AGENTS) + entry_lines.size_bytes.cost_at(
        TARGET_ENTRIES
    )
    memory = agent_lines.memory_bytes.cost_at(TARGET_AGENTS) + entry_lines.memory_bytes.cost_at(
        TARGET_ENTRIES
    )
    return _target_figures(
        'entry', _NodeCost(cpu_s, sent, memory), configuration_lines, change_cost
    )


def _agent_target_figures(
    entry_lines_at_agent: _CostLines, configuration_lines: _CostLines, change_cost: RevisionCost
) -> tuple[Figure, ...]:
    cost = _NodeCost(
        entry_lines_at_agent.cpu_s.cost_at(TARGET_ENTRIES),
        entry_lines_at_agent.size_bytes.cost_at(TARGET_ENTRIES),
        entry_lines_at_agent.memory_bytes.cost_at(TARGET_ENTRIES),
    )
    return _target_figures('agent', cost, configuration_lines, change_cost)


def _target_figures(
    role: str,
    cost: _NodeCost,
    configuration_lines: _CostLines,
    change_cost: RevisionCost,
) -> tuple[Figure, ...]:
    changes_per_s = CHANGES_PER_DAY / DAY_S
    cpu_s = cost.cpu_s + changes_per_s * change_cost.cpu_s
    sent = cost.size_bytes + changes_per_s * change_cost.change_bytes
    memory = cost.memory_bytes + configuration_lines.memory_bytes.cost_at(TARGET_ORGANISATIONS)
    size = f'{TARGET_ENTRIES} entries, {TARGET_AGENTS} agents, all to all'
    at_most = Bound.at_most
    share = PER_CENT * CORE_SHARE_TARGET
    return (
        Figure(f'{role} at {size}: core', cpu_s * PER_CENT, '%', at_most, share),
        Figure(f'{role} at {size}: traffic', sent, 'B/s', at_most, TRAFFIC_TARGET_BYTES_PER_S),
        Figure(f'{role} at {size}: memory', memory, 'B', at_most, MEMORY_TARGET_BYTES),
    )


def _propagation_figures(seed: int, sizes: tuple[int, ...]) -> tuple[Figure, ...]:
    agents = max(sizes)
    propagation = measure_propagation(
        random.Random(seed), CURRENT_ENTRIES, agents, FOLLOWED_CHANGES
    )
    size = f'{CURRENT_ENTRIES} entries, {agents} agents'
    reads = propagation.store_reads_per_s / CURRENT_ENTRIES
    return (
        Figure(
            f'in force, worst, {size}', propagation.worst_s, 's', Bound.at_most, IN_FORCE_TARGET_S
        ),
        Figure(f'in force, mean, {size}', propagation.mean_s, 's'),
        Figure('store reads per entry', reads, '/s'),
    )


__all__ = ('run',)
