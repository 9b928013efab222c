"""Applies the events of a plan to a site, and records what they disturb."""

from __future__ import annotations

import asyncio
import signal
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING

from cassiahitch.platform import names
from cassiahitch.soak.events import (
    BackendFailure,
    CorruptChunks,
    CrashByPrompts,
    Declaration,
    Declare,
    Event,
    ExecuteLate,
    FailBackend,
    FailStore,
    HarmLink,
    Kill,
    KillAtCall,
    Overload,
    Pause,
    Reload,
    RollOutLate,
    SpoilManifests,
    StoreFailure,
    Terminate,
)
from cassiahitch.soak.exchange import MODEL
from cassiahitch.soak.proxy import LinkFault
from cassiahitch.soak.records import (
    STORE,
    Disturbance,
    KeyRevoked,
    ReplicaLeft,
    WeightsNamed,
    stop_target,
)
from cassiahitch.soak.weightfaults import (
    corrupt_chunks,
    execute_late,
    kill_at_call,
    spoil_manifests,
)
from cassiahitch.standins.configurations import (
    organisations_by_key,
    with_organisations,
)
from cassiahitch.standins.faults import Fault
from cassiahitch.standins.rowstore import StoreFaults

if TYPE_CHECKING:
    from cassiahitch.soak.backend import SoakBackend
    from cassiahitch.soak.processes import RunningProcess
    from cassiahitch.soak.site import SoakSite

#: Factor by which a slow backend server is slower.
SLOWNESS = 5.0
#: Rate limit that a backend server names, in requests per second.
RATE_LIMIT_PER_S = 2.0
#: Duration of a rate limit, as a multiple of that of other faults.
LIMIT_DURATION_FACTOR = 4.0
#: Seconds beyond ``drain_s`` for which a draining replica still serves requests.
DRAIN_SLACK_S = 1.0
#: Seconds between a replica's announcement of its shutdown and its mark in the list.
ANNOUNCEMENT_LEAD_S = 3.0
BACKEND_FAULTS = MappingProxyType(
    {
        BackendFailure.refuse: Fault.refuse,
        BackendFailure.lose: Fault.lose,
        BackendFailure.cut: Fault.cut,
        BackendFailure.pause: Fault.ask_pause,
        BackendFailure.endless: Fault.endless,
        BackendFailure.trickle: Fault.trickle,
        BackendFailure.double: Fault.double,
        BackendFailure.unframed: Fault.unframed,
        BackendFailure.half_event: Fault.half_event,
        BackendFailure.repeat_refusal: Fault.repeat_refusal,
        BackendFailure.fail_resumed: Fault.fail_resumed,
        BackendFailure.break_off: Fault.break_off,
    }
)
#: What a backend server may do without being disturbed.
SOUND_FAILURES = frozenset((BackendFailure.limit, BackendFailure.silent, BackendFailure.unframed))


@dataclass
class FaultInjector:
    """Applies events to a site.

    ``run_overload`` runs an overload for some seconds, and ``run_crashing_prompts`` callers whose
    prompts crash engines. ``replacements`` has a lock for each replica, held while it is replaced.
    """

    site: SoakSite
    run_overload: Callable[[float], Awaitable[None]]
    run_crashing_prompts: Callable[[float], Awaitable[None]]
    replacements: defaultdict[str, asyncio.Lock] = field(
        default_factory=lambda: defaultdict(asyncio.Lock)
    )

    async def run(self, plan: tuple[Event, ...], began: float) -> None:
        """Apply the events of a plan and wait until the last one is over.

        :param plan: the events.
        :param began: start of the load, from which the times of the events count.
        """
        async with asyncio.TaskGroup() as group:
            for event in plan:
                group.create_task(self.apply_at(began + event.at, event))

    async def apply_at(self, time: float, event: Event) -> None:
        """Apply an event at its time and record what it disturbed.

        :param time: when to apply it, in monotonic seconds.
        :param event: the event.
        """
        clock = asyncio.get_running_loop().time
        await asyncio.sleep(max(0, time - clock()))
        since = clock()
        for target in await self.apply(event):
            disturbance = Disturbance(target, since, clock())
            self.site.record.disturbances.append(disturbance)
        if not isinstance(event, CrashByPrompts):
            self.site.record.events.append(Disturbance(type(event).__name__, since, clock()))

    async def apply(self, event: Event) -> tuple[str, ...]:
        """Apply an event and wait until it is over.

        :param event: the event.
        :return: targets that it disturbed.
        """
        match event:
            case Terminate() | Kill() | Pause() | Reload():
                effect = self.send_signal(event)
            case HarmLink():
                effect = self.apply_link_fault(event)
            case FailBackend():
                effect = self.apply_backend_failure(event, self.site.backends[event.backend])
            case FailStore():
                effect = self.apply_store_failure(event)
            case Declare():
                effect = self.apply_declaration(event)
            case Overload():
                effect = self.apply_load(self.run_overload, event.seconds)
            case CrashByPrompts():
                effect = self.apply_load(self.run_crashing_prompts, event.seconds)
            case RollOutLate():
                effect = self.roll_out_late(event)
            case KillAtCall():
                effect = kill_at_call(self.site, event)
            case CorruptChunks():
                effect = corrupt_chunks(self.site, event)
            case ExecuteLate():
                effect = execute_late(self.site, event)
            case SpoilManifests():
                effect = spoil_manifests(self.site, event)
        return await effect

    async def apply_load(
        self, run_load: Callable[[float], Awaitable[None]], seconds: float
    ) -> tuple[str, ...]:
        """Run additional callers.

        :param run_load: runs the callers for some seconds.
        :param seconds: how long they run.
        :return: no targets, since load disturbs no host by itself.
        """
        await run_load(seconds)
        return ()

    async def send_signal(self, event: Terminate | Kill | Pause | Reload) -> tuple[str, ...]:
        """Send a signal to a process, unless the event stops a process that is already restarting.

        :param event: the event.
        :return: targets that it disturbed.
        """
        process = self.site.processes[event.process]
        if isinstance(event, Reload):
            process.settings['bounds']['retry_slack'] += 1
            process.write_settings()
            process.send_signal(signal.SIGHUP)
            return ()
        if isinstance(event, Pause):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(event.seconds)
            process.send_signal(signal.SIGCONT)
            return (event.process,)
        if process.restart_lock.locked():
            return ()
        async with process.restart_lock:
            return await self.stop_and_restart(event, process)

    async def stop_and_restart(
        self, event: Terminate | Kill, process: RunningProcess
    ) -> tuple[str, ...]:
        """Stop a process and start it again.

        :param event: the event.
        :param process: the process.
        :return: targets that it disturbed.
        """
        if isinstance(event, Terminate):
            await process.terminate()
            await process.start()
            return (stop_target(event.process),)
        await process.kill()
        await asyncio.sleep(event.seconds)
        await process.start()
        return (event.process,)

    async def apply_link_fault(self, event: HarmLink) -> tuple[str, ...]:
        """Apply a fault to a link for some seconds.

        :param event: the event.
        :return: targets that it disturbed.
        """
        link = self.site.links[event.link]
        link.set_fault(event.harm)
        await asyncio.sleep(event.seconds)
        link.set_fault(LinkFault.none)
        return (event.link,)

    async def apply_backend_failure(
        self, event: FailBackend, backend: SoakBackend
    ) -> tuple[str, ...]:
        """Apply a fault to a backend server for some seconds.

        :param event: the event.
        :param backend: the backend server.
        :return: targets that it disturbed.
        """
        match event.failure:
            case BackendFailure.limit:
                await self.limit_backend(backend, event.seconds * LIMIT_DURATION_FACTOR)
            case BackendFailure.silent:
                await backend.fall_silent(event.seconds)
            case BackendFailure.crash:
                await backend.restart(event.seconds)
            case BackendFailure.slow:
                backend.slowness = SLOWNESS
                await asyncio.sleep(event.seconds)
                backend.slowness = 1
            case _:
                backend.fault = BACKEND_FAULTS[event.failure]
                await asyncio.sleep(event.seconds)
                backend.fault = Fault.none
        return () if event.failure in SOUND_FAILURES else (event.backend,)

    async def limit_backend(self, backend: SoakBackend, seconds: float) -> None:
        """Let a backend server name a rate limit.

        :param backend: the backend server.
        :param seconds: how long it names the limit.
        """
        backend.limited_since = self.now()
        backend.limit_per_s = RATE_LIMIT_PER_S
        await asyncio.sleep(seconds)
        backend.limit_per_s = None

    async def apply_store_failure(self, event: FailStore) -> tuple[str, ...]:
        """Apply a fault to the store for some seconds.

        :param event: the event.
        :return: targets that it disturbed.
        """
        self.site.store.faults = StoreFaults(
            down=event.failure is StoreFailure.down, lost=event.failure is StoreFailure.lost
        )
        await asyncio.sleep(event.seconds)
        self.site.store.faults = StoreFaults()
        return (STORE,)

    async def apply_declaration(self, event: Declare) -> tuple[str, ...]:
        """Make a change as the operator.

        :param event: the event.
        :return: targets that it disturbed.
        """
        match event.declaration:
            case Declaration.key:
                self.revoke_key()
            case Declaration.route:
                self.write_configuration()
            case Declaration.weights:
                self.publish_weights()
            case Declaration.drain:
                await self.replace_replica_once(f'm-{event.number}')
        return ()

    def revoke_key(self) -> None:
        """Revoke the key of the last organisation, unless it is the only one."""
        organisations = organisations_by_key(self.site.configuration)
        if len(organisations) > 1:
            key, _ = organisations.popitem()
            self.write_configuration(**with_organisations({}, organisations))
            self.site.record.changes.append(KeyRevoked(self.now(), key))

    def write_configuration(self, **fields: object) -> None:
        """Write the next version of the configuration.

        :param fields: fields to change.
        """
        version = self.site.configuration['version'] + 2
        self.site.configure({**self.site.configuration, **fields, 'version': version})

    def publish_weights(self) -> None:
        """Publish new weights and write their version to the store."""
        version = max(self.site.weights.chunks) + 1
        self.site.weights.publish(version, self.site.size.chunks)
        document = {'model': MODEL, 'version': version}
        self.site.store.put(names.OPERATOR_TABLE, f'{names.VERSION_PREFIX}{MODEL}', document)
        self.site.record.changes.append(WeightsNamed(self.now(), version))

    async def roll_out_late(self, event: RollOutLate) -> tuple[str, ...]:
        """Publish new weights that no engine can load for some seconds.

        :param event: the event.
        :return: no targets, since engines may load weights at any time.
        """
        self.site.weights.down = True
        self.publish_weights()
        await asyncio.sleep(event.seconds)
        self.site.weights.down = False
        return ()

    async def replace_replica_once(self, name: str) -> None:
        """Replace a replica, unless it is being replaced already.

        The first of two replacements would end with new requests at the replica, and the second one
        would wait for their end as long as the load runs.

        :param name: name of the replica.
        """
        if self.replacements[name].locked():
            return
        async with self.replacements[name]:
            await self.replace_replica(name)

    async def replace_replica(self, name: str) -> None:
        """Drain a replica, remove it, and register it again under a new id.

        :param name: name of the replica, which is its id at the start of the run.
        """
        backend = self.site.backends[name]
        replica_id = backend.id
        # The replica announces its shutdown before the list marks it as draining.
        backend.stopping = True
        await asyncio.sleep(ANNOUNCEMENT_LEAD_S)
        self.site.register(name, 'draining')
        self.site.record.changes.append(ReplicaLeft(self.now(), replica_id))
        await asyncio.sleep(self.site.record.bounds.drain_s + DRAIN_SLACK_S)
        while backend.running:
            await asyncio.sleep(DRAIN_SLACK_S / 10)
        self.site.store.remove(names.REPLICA_TABLE, replica_id)
        backend.id = f'{replica_id}x'
        backend.started_at_ms += 1
        backend.stopping = False
        backend.limit_per_s = None
        self.site.register(name)

    def now(self) -> float:
        """Return the time of the event loop.

        :return: monotonic seconds.
        """
        return asyncio.get_running_loop().time()


__all__ = ('FaultInjector',)
