"""Time to full service after deaths, an outage and restarts, over real sockets."""

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
#: Seconds for which the table service is down.
OUTAGE_S = 5.0
#: Seconds of requests before and after each disturbance.
STEADY_S = 1.0
POLL_S = 0.02
#: Seconds after which a recovery counts as failed.
LIMIT_S = 40.0


@dataclass(slots=True)
class _Run:
    """A site under load, with one client of the operators' API."""

    site: Site
    callers: LoadGenerator
    operator: OperatorClient
    replicas: int
    figures: list[Figure] = field(default_factory=list)

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition."""
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await asyncio.sleep(POLL_S)

    def routed(self, expected: int) -> bool:
        """Whether every entry routes to exactly so many replicas of the model."""
        return all(
            entry.configuration.ready and _model_replicas(entry) == expected
            for entry in self.site.entries
        )


_Disturbance = Callable[[_Run], Awaitable[float]]


def run(seed: int, sizes: tuple[int, ...]) -> BenchReport:
    """Disturb a site under load and wait until it serves fully again.

    :param seed: seed of the callers.
    :param sizes: numbers of hosts with model engines.
    :return: the times, and the requests that were lost or wrong.
    """
    sizes = sizes or SIZES
    figures: list[Figure] = []
    for hosts in sizes:
        for name, disturb in DISTURBANCES:
            figures.extend(asyncio.run(_measure(seed, hosts, name, disturb)))
    return BenchReport('recovery', seed, sizes, tuple(figures))


async def _measure(
    seed: int,
    hosts: int,
    name: str,
    disturb: _Disturbance,
) -> tuple[Figure, ...]:
    async with Site(SiteSize(ENTRIES, hosts, 1)) as site, HttpClient() as caller:
        callers = LoadGenerator(site, seed)
        operator = OperatorClient(caller, site.urls[0], site.token)
        state = _Run(site, callers, operator, hosts)
        await callers.declare(operator)
        await state.until(partial(state.routed, hosts))
        async with callers.asking():
            await asyncio.sleep(STEADY_S)
            recovered_s = await disturb(state)
            await asyncio.sleep(STEADY_S)
        return _figures(f'{name}, {hosts} hosts', recovered_s, callers)


def _figures(name: str, recovered_s: float, callers: LoadGenerator) -> tuple[Figure, ...]:
    results = callers.results
    issued = sum(sequence.issued for sequence in callers.site.backends.sequences.values())
    wrong = results.wrong + issued - len(set(results.numbers))
    again = callers.cut_off + sum(results.failures.values())
    return (
        Figure(f'{name}: full service after', recovered_s, 's'),
        Figure(f'{name}: right answers', results.correct, ''),
        Figure(f'{name}: wrong, doubled or skipped', wrong, '', Bound.at_most, 0),
        Figure(f'{name}: lost', callers.lost, '', Bound.at_most, 0),
        Figure(f'{name}: sent again by callers', again, ''),
    )


async def _kill_entry(state: _Run) -> float:
    started = time.monotonic()
    await state.site.entries[1].kill()
    await state.site.restart_entry(1)
    await state.until(partial(state.routed, state.replicas))
    return time.monotonic() - started


async def _kill_agent(state: _Run) -> float:
    return await _replace_hosts(state, (0,))


async def _kill_domain(state: _Run) -> float:
    return await _replace_hosts(state, tuple(range(0, state.replicas, FAILURE_DOMAINS)))


async def _replace_hosts(state: _Run, numbers: tuple[int, ...]) -> float:
    started = time.monotonic()
    for number in numbers:
        await state.site.agents[f'model-{number}'].kill()
    await state.until(partial(state.routed, state.replicas - len(numbers)))
    for returning in numbers:
        await state.site.start_model_host(returning)
    await state.until(partial(state.routed, state.replicas))
    return time.monotonic() - started


async def _store_outage(state: _Run) -> float:
    state.site.tables.faults.down = True
    await asyncio.sleep(OUTAGE_S)
    state.site.tables.faults.down = False
    started = time.monotonic()
    async with asyncio.timeout(LIMIT_S):
        while not await _accepts(state):
            await asyncio.sleep(POLL_S)
    return time.monotonic() - started


async def _accepts(state: _Run) -> bool:
    service = {'kind': 'Service', 'name': 'probe', 'type': 'plain', 'idempotent': True}
    try:
        await state.operator.create(service)
    except CassiahitchError as error:
        return error.code is Code.resource_exists
    return True


async def _restart_entries(state: _Run) -> float:
    started = time.monotonic()
    for number in range(ENTRIES):
        await state.site.entries[number].stop()
        await state.site.restart_entry(number)
        await state.until(partial(state.routed, state.replicas))
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
