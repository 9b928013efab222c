"""A run of the soak: site, load, faults and checks."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from pathlib import Path

from cassiahitch.soak.callers import Caller, LoadContext
from cassiahitch.soak.checks import check_all
from cassiahitch.soak.exchange import CallerBehaviour
from cassiahitch.soak.faults import FaultInjector
from cassiahitch.soak.plan import Event, Size, make_plan
from cassiahitch.soak.records import Disturbance, Record, RequestKind, Violation
from cassiahitch.soak.site import SoakSite
from cassiahitch.soak.starvation import StarvationMonitor
from cassiahitch.standins.configurations import organisations_by_key

#: Callers of each manner, and the kinds of request that they make.
MANNERS = (
    (12, CallerBehaviour(), tuple(RequestKind)),
    (8, CallerBehaviour(keeps_connections=False, address_lifetimes=3), (RequestKind.draft,)),
    (4, CallerBehaviour(keeps_connections=False), tuple(RequestKind)),
    (
        6,
        CallerBehaviour(reads_slowly=True, address_lifetimes=3),
        (RequestKind.lookup, RequestKind.draft),
    ),
    (6, CallerBehaviour(keeps_connections=False, max_wait_s=1.0), tuple(RequestKind)),
    (3, CallerBehaviour(body_send_s=2.0, address_lifetimes=3), (RequestKind.order,)),
)
REGIONS = ('north', 'south')
#: Callers of an overload, beside the others, and seconds between their requests.
BURST_CALLERS = 150
BURST_PAUSE_S = 0.02
#: Seconds in which the last requests end after the load.
LAST_S = 1.0


@dataclass
class SoakRun:
    """One run."""

    seed: int
    size: Size
    folder: Path
    record: Record = field(default_factory=Record)

    @property
    def plan(self) -> tuple[Event, ...]:
        """The faults of the run."""
        return make_plan(self.seed, self.size)

    async def run(self) -> list[Violation]:
        """Run it.

        :return: what was broken.
        """
        async with SoakSite(self.size, self.folder, self.record) as site:
            self.record.organisations = organisations_by_key(site.configuration)
            load = LoadContext(
                record=self.record,
                directories=site.directories(),
                http=site.http,
                keys=list(self.record.organisations),
                entries={
                    process.settings['address']: name for name, process in site.processes.items()
                },
            )
            await self.run_load(site, load)
        return check_all(self.record)

    async def run_load(self, site: SoakSite, load: LoadContext) -> None:
        """Put the site under load and faults.

        :param site: the site.
        :param load: what the callers share.
        """
        watching = [asyncio.create_task(StarvationMonitor(self.record, site.pids).work())]
        tasks = [asyncio.create_task(caller.work()) for caller in self.callers(load)]
        await self.run_faults(site, load)
        load.is_running = False
        await asyncio.wait(tasks, timeout=LAST_S)
        self.record.ended = asyncio.get_running_loop().time()
        await cancel(tasks)
        await asyncio.gather(*(process.terminate() for process in site.processes.values()))
        await cancel(watching)

    async def run_faults(self, site: SoakSite, load: LoadContext) -> None:
        """Carry out the plan and wait until the time of the load is over.

        :param site: the site.
        :param load: what the callers share.
        """
        clock = asyncio.get_running_loop().time
        self.record.began = clock()
        faults = FaultInjector(site, Burst(load, self.seed, self.record).run)
        await faults.run(self.plan, self.record.began)
        self.record.faults_ended = clock()
        await asyncio.sleep(max(0, self.record.began + self.size.seconds - clock()))

    def callers(self, load: LoadContext) -> list[Caller]:
        """Return the callers of the whole run.

        :param load: what they share.
        :return: callers.
        """
        manners = [(manner, kinds) for count, manner, kinds in MANNERS for _ in range(count)]
        return [
            Caller(
                load,
                random.Random(f'caller {self.seed} {number}'),
                manner,
                kinds,
                REGIONS[number % 2],
            )
            for number, (manner, kinds) in enumerate(manners)
        ]


@dataclass
class Burst:
    """Callers of an overload."""

    load: LoadContext
    seed: int
    record: Record
    busy: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def run(self, seconds: float) -> None:
        """Let many callers ask for some seconds, unless they do already.

        :param seconds: how long.
        """
        if self.busy.locked():
            return
        async with self.busy:
            await self.ask(seconds)

    async def ask(self, seconds: float) -> None:
        """Let the callers ask, and note the overload if it is the longest.

        :param seconds: how long.
        """
        clock = asyncio.get_running_loop().time
        since = clock()
        callers = (self.caller(number) for number in range(BURST_CALLERS))
        tasks = [asyncio.create_task(caller.work()) for caller in callers]
        await asyncio.sleep(seconds)
        await cancel(tasks)
        last = self.record.overload
        if last is None or last.ended - last.began < seconds:
            self.record.overload = Disturbance('overload', since, clock())

    def caller(self, number: int) -> Caller:
        """Return a caller.

        :param number: its number.
        :return: the caller.
        """
        rng = random.Random(f'burst {self.seed} {number}')
        kinds = (RequestKind.draft, RequestKind.draft, RequestKind.order)
        return Caller(self.load, rng, CallerBehaviour(), kinds, REGIONS[number % 2], BURST_PAUSE_S)


async def cancel(tasks: list[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait for their end.

    :param tasks: the tasks.
    """
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


__all__ = ('SoakRun',)
