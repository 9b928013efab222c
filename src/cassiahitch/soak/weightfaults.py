"""Applies the faults that disturb the loads of engines."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from cassiahitch.soak.auditedweights import AuditedWeights
from cassiahitch.soak.latecalls import LateCalls
from cassiahitch.soak.weightplan import CALL_TIMEOUT_S

if TYPE_CHECKING:
    from cassiahitch.soak.backend import SoakBackend
    from cassiahitch.soak.events import (
        AgentCall,
        CorruptChunks,
        ExecuteLate,
        KillAtCall,
        SpoilManifests,
    )
    from cassiahitch.soak.site import SoakSite

POLL_INTERVAL_S = 0.005


async def kill_at_call(site: SoakSite, event: KillAtCall) -> tuple[str, ...]:
    """Kill an agent once or more after the next call of a kind, and start it again each time.

    :param site: the site.
    :param event: the event.
    :return: the agent, or nothing if no such call came in time or the agent is restarting.
    """
    process = site.processes[event.process]
    received = await wait_for_call(site.backends[event.engine], event.call)
    if not received or process.restart_lock.locked():
        return ()
    async with process.restart_lock:
        for delay_s in event.delays_s:
            await asyncio.sleep(delay_s)
            await process.kill()
            await process.start()
    return (event.process,)


async def wait_for_call(engine: SoakBackend, call: AgentCall) -> bool:
    """Wait until an engine receives a call of its agent.

    :param engine: the engine.
    :param call: kind of the call.
    :return: whether it came in time.
    """
    calls_before = engine.agent_calls[call]
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            while engine.agent_calls[call] == calls_before:
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError:
        return False
    return True


async def corrupt_chunks(site: SoakSite, event: CorruptChunks) -> tuple[str, ...]:
    """Let staged chunks of an engine turn corrupt.

    :param site: the site.
    :param event: the event.
    :return: the engine.
    """
    weights = site.backends[event.engine].engine
    if isinstance(weights, AuditedWeights):
        for position in event.positions:
            weights.corrupt_chunk(position)
    return (event.engine,)


async def spoil_manifests(site: SoakSite, event: SpoilManifests) -> tuple[str, ...]:
    """Let the origin send faulty manifests.

    :param site: the site.
    :param event: the event.
    :return: no targets, since agents ask again.
    """
    site.weights.manifest_fault = event.fault
    site.weights.corrupt_manifests = event.count
    return ()


async def execute_late(site: SoakSite, event: ExecuteLate) -> tuple[str, ...]:
    """Let all engines execute some calls of their agents late.

    :param site: the site.
    :param event: the event.
    :return: all engines.
    """
    engines = site.size.engines()
    for name in engines:
        site.backends[name].late_calls = LateCalls(random.Random(f'late {event.seed} {name}'))
    await asyncio.sleep(event.seconds)
    for name in engines:
        site.backends[name].late_calls = None
    return tuple(engines)


__all__ = (
    'corrupt_chunks',
    'execute_late',
    'kill_at_call',
    'spoil_manifests',
    'wait_for_call',
)
