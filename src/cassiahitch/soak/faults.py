"""Carries out the events of a plan and notes what they disturb."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING

from cassiahitch.platform import names
from cassiahitch.soak.exchange import MODEL
from cassiahitch.soak.plan import (
    BackendFailure,
    Declaration,
    Declare,
    Event,
    FailBackend,
    FailStore,
    HarmLink,
    Kill,
    Overload,
    Pause,
    Reload,
    StoreFailure,
    Terminate,
)
from cassiahitch.soak.proxy import LinkFault
from cassiahitch.soak.records import (
    STORE,
    Disturbance,
    KeyRevoked,
    ReplicaLeft,
    WeightsNamed,
    stop_target,
)
from cassiahitch.standins.backends import Fault
from cassiahitch.standins.configurations import (
    CHUNK_COUNT,
    organisations_by_key,
    with_organisations,
)
from cassiahitch.standins.rowstore import StoreFaults

if TYPE_CHECKING:
    from cassiahitch.soak.backend import SoakBackend
    from cassiahitch.soak.processes import RunningProcess
    from cassiahitch.soak.site import SoakSite

#: How much slower a slow backend server is.
SLOWNESS = 5.0
#: Seconds for which a draining replica still serves, beyond the bound.
DRAIN_SLACK_S = 1.0
#: Seconds between what a replica says of its leaving and what the list says.
SAID_BEFORE_S = 3.0
FAULTS = MappingProxyType(
    {
        BackendFailure.refuse: Fault.refuse,
        BackendFailure.lose: Fault.lose,
        BackendFailure.cut: Fault.cut,
        BackendFailure.pause: Fault.ask_pause,
        BackendFailure.endless: Fault.endless,
        BackendFailure.trickle: Fault.trickle,
        BackendFailure.double: Fault.double,
    }
)


@dataclass
class FaultInjector:
    """Acts on a site; ``burst`` runs many callers for some seconds."""

    site: SoakSite
    burst: Callable[[float], Awaitable[None]]

    async def run(self, plan: tuple[Event, ...], began: float) -> None:
        """Carry out a plan and wait until all of it is over.

        :param plan: the events.
        :param began: time from which their times count.
        """
        async with asyncio.TaskGroup() as group:
            for event in plan:
                group.create_task(self.at(began + event.at, event))

    async def at(self, time: float, event: Event) -> None:
        """Carry out an event at its time.

        :param time: when.
        :param event: the event.
        """
        clock = asyncio.get_running_loop().time
        await asyncio.sleep(max(0, time - clock()))
        since = clock()
        for target in await self.carry_out(event):
            disturbance = Disturbance(target, since, clock())
            self.site.record.disturbances.append(disturbance)

    async def carry_out(self, event: Event) -> tuple[str, ...]:
        """Carry out an event until it is over.

        :param event: the event.
        :return: what it disturbed.
        """
        match event:
            case Terminate() | Kill() | Pause() | Reload():
                work = self.signal(event)
            case HarmLink():
                work = self.harm(event)
            case FailBackend():
                work = self.apply_backend_failure(event, self.site.backends[event.backend])
            case FailStore():
                work = self.fail_store(event)
            case Declare():
                work = self.declare(event)
            case Overload():
                work = self.overload(event)
        return await work

    async def overload(self, event: Overload) -> tuple[str, ...]:
        """Let many callers ask for some time.

        :param event: the event.
        :return: nothing, since it disturbs no host.
        """
        await self.burst(event.seconds)
        return ()

    async def signal(self, event: Terminate | Kill | Pause | Reload) -> tuple[str, ...]:
        """Send a signal to a process; one that is being ended already is left alone.

        :param event: the event.
        :return: what it disturbed.
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
            return await self.end(event, process)

    async def end(self, event: Terminate | Kill, process: RunningProcess) -> tuple[str, ...]:
        """End a process, and start it again.

        :param event: the event.
        :param process: the process.
        :return: what it disturbed.
        """
        if isinstance(event, Terminate):
            await process.terminate()
            await process.start()
            return (stop_target(event.process),)
        await process.kill()
        await asyncio.sleep(event.seconds)
        await process.start()
        return (event.process,)

    async def harm(self, event: HarmLink) -> tuple[str, ...]:
        """LinkFault a link for a time.

        :param event: the event.
        :return: what it disturbed.
        """
        link = self.site.links[event.link]
        link.set_fault(event.harm)
        await asyncio.sleep(event.seconds)
        link.set_fault(LinkFault.none)
        return (event.link,)

    async def apply_backend_failure(
        self, event: FailBackend, backend: SoakBackend
    ) -> tuple[str, ...]:
        """Let a backend server fail for a time.

        :param event: the event.
        :param backend: the backend server.
        :return: what it disturbed.
        """
        if event.failure is BackendFailure.crash:
            await self.crash(backend, event.seconds)
        elif event.failure is BackendFailure.slow:
            backend.slowness = SLOWNESS
            await asyncio.sleep(event.seconds)
            backend.slowness = 1
        else:
            backend.fault = FAULTS[event.failure]
            await asyncio.sleep(event.seconds)
            backend.fault = Fault.none
        return (event.backend,)

    async def crash(self, backend: SoakBackend, seconds: float) -> None:
        """End a backend server at once and start it again on the same port.

        :param backend: the backend server.
        :param seconds: how long it is away.
        """
        await backend.stop()
        await asyncio.sleep(seconds)
        await backend.start(backend.address, backend.port)

    async def fail_store(self, event: FailStore) -> tuple[str, ...]:
        """Let the store fail for a time.

        :param event: the event.
        :return: what it disturbed.
        """
        self.site.store.faults = StoreFaults(
            down=event.failure is StoreFailure.down, lost=event.failure is StoreFailure.lost
        )
        await asyncio.sleep(event.seconds)
        self.site.store.faults = StoreFaults()
        return (STORE,)

    async def declare(self, event: Declare) -> tuple[str, ...]:
        """Change what the operator declares.

        :param event: the event.
        :return: what it disturbed.
        """
        match event.declaration:
            case Declaration.key:
                self.revoke()
            case Declaration.route:
                self.configure()
            case Declaration.weights:
                self.name_weights()
            case Declaration.drain:
                return await self.drain(f'm-{event.number}')
        return ()

    def revoke(self) -> None:
        """Take the key of the last organisation that has one away."""
        organisations = organisations_by_key(self.site.configuration)
        if len(organisations) > 1:
            key, _ = organisations.popitem()
            self.configure(**with_organisations({}, organisations))
            self.site.record.changes.append(KeyRevoked(self.now(), key))

    def configure(self, **fields: object) -> None:
        """Write the next configuration.

        :param fields: what changes.
        """
        version = self.site.configuration['version'] + 2
        self.site.configure({**self.site.configuration, **fields, 'version': version})

    def name_weights(self) -> None:
        """Publish and name new weights."""
        version = max(self.site.weights.chunks) + 1
        self.site.weights.publish(version, CHUNK_COUNT)
        document = {'model': MODEL, 'version': version}
        self.site.store.put(names.OPERATOR_TABLE, f'{names.VERSION_PREFIX}{MODEL}', document)
        self.site.record.changes.append(WeightsNamed(self.now(), version))

    async def drain(self, name: str) -> tuple[str, ...]:
        """Let a replica drain, leave, and come back with another id.

        :param name: its id at the start of the run.
        :return: what it disturbed.
        """
        backend = self.site.backends[name]
        own = backend.id
        # It says so itself before the list does.
        backend.stopping = True
        await asyncio.sleep(SAID_BEFORE_S)
        self.site.register(name, 'draining')
        self.site.record.changes.append(ReplicaLeft(self.now(), own))
        await asyncio.sleep(self.site.record.bounds.drain_s + DRAIN_SLACK_S)
        while backend.running:
            await asyncio.sleep(DRAIN_SLACK_S / 10)
        self.site.store.remove(names.REPLICA_TABLE, own)
        backend.id = f'{own}x'
        backend.started_at_ms += 1
        backend.stopping = False
        self.site.register(name)
        return ()

    def now(self) -> float:
        """Return the time.

        :return: monotonic seconds.
        """
        return asyncio.get_running_loop().time()


__all__ = ('FaultInjector',)
