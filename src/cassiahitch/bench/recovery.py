"""Benchmark of the time to full service after crashes, an outage and restarts.

It runs a site on loopback, over real sockets.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from cassiahitch.bench.api import BenchReport, Bound, Figure
from cassiahitch.bench.load_generator import LoadGenerator
from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.standins.scenario import OperatorClient
from cassiahitch.standins.site import FAILURE_DOMAINS, Site, SiteSize
from cassiahitch.stores.http_client import HttpClient

if TYPE_CHECKING:
    from cassiahitch.entry.process import EntryProcess

#: Numbers of hosts with model engines.
SIZES = (6,)
ENTRIES = 3
#: Duration of the outage of the table service, in seconds.
OUTAGE_S = 5.0
#: Seconds of load before and after each disturbance.
STEADY_S = 1.0
POLL_INTERVAL_S = 0.02
#: Seconds after which a recovery counts as failed.
RECOVERY_TIMEOUT_S = 40.0


@dataclass(slots=True)
class _RecoveryRun:
    """A site under load, with one client of the operators' API."""

    site: Site
    callers: LoadGenerator
    operator: OperatorClient
    replicas: int
    figures: list[Figure] = field(default_factory=list)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition."""
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S)

    def all_entries_route_to(self, expected: int) -> bool:
        """Return whether every entry routes to this number of replicas of the model."""
        return all(
            entry.configuration.ready and _model_replicas(entry) == expected
            for entry in self.site.entries
        )


_Disturbance = Callable[[_RecoveryRun], Awaitable[float]]


def run(seed: int, sizes: tuple[int, ...]) -> BenchReport:
    """Disturb a site under load and measure the time until it is in full service again.

    :param seed: seed of the callers.
    :param sizes: numbers of hosts with model engines.
    :return: the recovery times, and the numbers of lost requests and wrong responses.
    """
    sizes = sizes or SIZES
    figures: list[Figure] = []
    for hosts in sizes:
        for name, disturb in DISTURBANCES:
            figures.extend(asyncio.run(_measure_disturbance(seed, hosts, name, disturb)))
    return BenchReport('recovery', seed, sizes, tuple(figures))


async def _measure_disturbance(
    seed: int,
    hosts: int,
    name: str,
    disturb: _Disturbance,
) -> tuple[Figure, ...]:
    async with Site(SiteSize(ENTRIES, hosts, 1)) as site, HttpClient() as client:
        callers = LoadGenerator(site, seed)
        operator = OperatorClient(client, site.urls[0], site.token)
        run_state = _RecoveryRun(site, callers, operator, hosts)
        await callers.declare(operator)
        await run_state.wait_until(partial(run_state.all_entries_route_to, hosts))
        async with callers.generate_load():
            await asyncio.sleep(STEADY_S)
            recovery_s = await disturb(run_state)
            await asyncio.sleep(STEADY_S)
        return _figures(f'{name}, {hosts} hosts', recovery_s, callers)


def _figures(name: str, recovery_s: float, callers: LoadGenerator) -> tuple[Figure, ...]:
    results = callers.results
    issued = sum(sequence.issued for sequence in callers.site.backends.sequences.values())
    wrong = results.wrong + issued - len(set(results.numbers))
    retries = callers.interrupted_calls + sum(results.failures.values())
    return (
        Figure(f'{name}: full service after', recovery_s, 's'),
        Figure(f'{name}: right answers', results.correct, ''),
        Figure(f'{name}: wrong, doubled or skipped', wrong, '', Bound.at_most, 0),
        Figure(f'{name}: lost', callers.lost, '', Bound.at_most, 0),
        Figure(f'{name}: sent again by callers', retries, ''),
    )


async def _kill_entry(run_state: _RecoveryRun) -> float:
    started = time.monotonic()
    await run_state.site.entries[1].kill()
    await run_state.site.restart_entry(1)
    await run_state.wait_until(partial(run_state.all_entries_route_to, run_state.replicas))
    return time.monotonic() - started


async def _kill_agent(run_state: _RecoveryRun) -> float:
    return await _replace_hosts(run_state, (0,))


async def _kill_domain(run_state: _RecoveryRun) -> float:
    return await _replace_hosts(run_state, tuple(range(0, run_state.replicas, FAILURE_DOMAINS)))


async def _replace_hosts(run_state: _RecoveryRun, numbers: tuple[int, ...]) -> float:
    started = time.monotonic()
    for number in numbers:
        await run_state.site.agents[f'model-{number}'].kill()
    await run_state.wait_until(
        partial(run_state.all_entries_route_to, run_state.replicas - len(numbers))
    )
    for restarted in numbers:
        await run_state.site.start_model_host(restarted)
    await run_state.wait_until(partial(run_state.all_entries_route_to, run_state.replicas))
    return time.monotonic() - started


async def _store_outage(run_state: _RecoveryRun) -> float:
    run_state.site.tables.faults.down = True
    await asyncio.sleep(OUTAGE_S)
    run_state.site.tables.faults.down = False
    started = time.monotonic()
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        while not await _accepts_changes(run_state):
            await asyncio.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started


async def _accepts_changes(run_state: _RecoveryRun) -> bool:
    service = {'kind': 'Service', 'name': 'probe', 'type': 'plain', 'idempotent': True}
    try:
        await run_state.operator.create(service)
    except CassiahitchError as error:
        return error.code is Code.resource_exists
    return True


async def _restart_entries(run_state: _RecoveryRun) -> float:
    started = time.monotonic()
    for number in range(ENTRIES):
        await run_state.site.entries[number].stop()
        await run_state.site.restart_entry(number)
        await run_state.wait_until(partial(run_state.all_entries_route_to, run_state.replicas))
    return time.monotonic() - started


def _model_replicas(entry: EntryProcess) -> int:
    return sum(1 for host in entry.router.states if host.startswith('model-'))


DISTURBANCES: tuple[tuple[str, _Disturbance], ...] = (
    ('entry killed and replaced', _kill_entry),
    ('agent killed and replaced', _kill_agent),
    ('failure domain killed and replaced', _kill_domain),
    ('table service down', _store_outage),
    ('entries restarted one by one', _restart_entries),
)

__all__ = ('run',)
