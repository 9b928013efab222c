"""A run of the soak: starts the site, puts it under load and faults, and checks the record."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from pathlib import Path

from cassiahitch.soak.callers import Caller, LoadContext
from cassiahitch.soak.checks import check_all
from cassiahitch.soak.events import Area, Event
from cassiahitch.soak.exchange import CallerBehaviour
from cassiahitch.soak.faults import FaultInjector
from cassiahitch.soak.plan import Size, make_plan
from cassiahitch.soak.prompts import PromptChoice
from cassiahitch.soak.records import Disturbance, Record, RequestKind, Violation
from cassiahitch.soak.site import SoakSite
from cassiahitch.soak.starvation import StarvationMonitor
from cassiahitch.standins.configurations import organisations_by_key

#: Groups of callers: their number, their behaviour and the kinds of request that they send.
CALLER_GROUPS = (
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
#: Additional callers of an overload, and mean seconds between the requests of each.
BURST_CALLERS = 150
BURST_PAUSE_S = 0.02
#: Callers whose prompts crash engines, and those of sound prompts beside them.
CRASHING_CALLERS = 4
COMMON_CALLERS = 20
#: Mean seconds between the requests of each of them.
PROMPT_CALLER_PAUSE_S = 1.0
#: Seconds after the load in which the last requests may complete.
COMPLETION_TIMEOUT_S = 1.0


@dataclass
class SoakRun:
    """One run of the soak."""

    seed: int
    size: Size
    folder: Path
    record: Record = field(default_factory=Record)

    @property
    def plan(self) -> tuple[Event, ...]:
        """The faults of the run, in the order of their times."""
        return make_plan(self.seed, self.size)

    async def run(self) -> list[Violation]:
        """Start the site, run load and faults, and check the record.

        :return: violations of promises.
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
        """Put the site under load and faults, and then stop its processes.

        :param site: the site.
        :param load: the state that the callers share.
        """
        monitors = [asyncio.create_task(StarvationMonitor(self.record, site.pids).work())]
        tasks = [asyncio.create_task(caller.work()) for caller in self.make_callers(load)]
        await self.run_faults(site, load)
        load.is_running = False
        await asyncio.wait(tasks, timeout=COMPLETION_TIMEOUT_S)
        self.record.ended = asyncio.get_running_loop().time()
        await cancel(tasks)
        await asyncio.gather(*(process.terminate() for process in site.processes.values()))
        await cancel(monitors)

    async def run_faults(self, site: SoakSite, load: LoadContext) -> None:
        """Apply the faults of the plan and wait until the load is over.

        :param site: the site.
        :param load: the state that the callers share.
        """
        clock = asyncio.get_running_loop().time
        self.record.began = clock()
        injector = FaultInjector(
            site,
            Burst(load, self.seed, self.record).run,
            CrashingLoad(load, self.seed, self.record).run,
        )
        await injector.run(self.plan, self.record.began)
        self.record.faults_ended = clock()
        await asyncio.sleep(max(0, self.record.began + self.size.seconds - clock()))

    def make_callers(self, load: LoadContext) -> list[Caller]:
        """Create the callers of the whole run.

        :param load: the state that the callers share.
        :return: callers.
        """
        profiles = [
            (behaviour, kinds) for count, behaviour, kinds in CALLER_GROUPS for _ in range(count)
        ]
        callers = [
            Caller(
                load,
                random.Random(f'caller {self.seed} {number}'),
                behaviour,
                kinds,
                REGIONS[number % 2],
            )
            for number, (behaviour, kinds) in enumerate(profiles)
        ]
        if Area.prompts in self.size.areas:
            callers += make_draft_callers(load, self.seed, PromptChoice.common, COMMON_CALLERS)
        return callers


@dataclass
class Burst:
    """Runs the additional callers of an overload."""

    load: LoadContext
    seed: int
    record: Record
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def run(self, seconds: float) -> None:
        """Run an overload unless one is already running.

        :param seconds: duration of the overload.
        """
        if self.lock.locked():
            return
        async with self.lock:
            await self.run_callers(seconds)

    async def run_callers(self, seconds: float) -> None:
        """Run the additional callers, and record the overload if it is the longest of the run.

        :param seconds: duration of the overload.
        """
        clock = asyncio.get_running_loop().time
        since = clock()
        callers = (self.make_caller(number) for number in range(BURST_CALLERS))
        tasks = [asyncio.create_task(caller.work()) for caller in callers]
        await asyncio.sleep(seconds)
        await cancel(tasks)
        longest = self.record.overload
        if longest is None or longest.ended - longest.began < seconds:
            self.record.overload = Disturbance('overload', since, clock())

    def make_caller(self, number: int) -> Caller:
        """Create an additional caller.

        :param number: number of the caller, which seeds its random choices.
        :return: the caller.
        """
        rng = random.Random(f'burst {self.seed} {number}')
        kinds = (RequestKind.draft, RequestKind.draft, RequestKind.order)
        return Caller(self.load, rng, CallerBehaviour(), kinds, REGIONS[number % 2], BURST_PAUSE_S)


@dataclass
class CrashingLoad:
    """Runs the callers whose prompts crash engines."""

    load: LoadContext
    seed: int
    record: Record

    async def run(self, seconds: float) -> None:
        """Run the callers.

        :param seconds: how long they run.
        """
        clock = asyncio.get_running_loop().time
        since = clock()
        callers = make_draft_callers(self.load, self.seed, PromptChoice.crashing, CRASHING_CALLERS)
        tasks = [asyncio.create_task(caller.work()) for caller in callers]
        await asyncio.sleep(seconds)
        self.record.crashing = Disturbance('crashing prompts', since, clock())
        await cancel(tasks)


def make_draft_callers(
    load: LoadContext, seed: int, prompts: PromptChoice, count: int
) -> list[Caller]:
    """Create callers of streams that use any entry for each request.

    :param load: the state that the callers share.
    :param seed: seed of the run.
    :param prompts: the prompts of the callers.
    :param count: number of callers.
    :return: callers.
    """
    return [
        Caller(
            load,
            random.Random(f'{prompts} {seed} {number}'),
            CallerBehaviour(keeps_connections=False),
            (RequestKind.draft,),
            REGIONS[number % 2],
            PROMPT_CALLER_PAUSE_S,
            prompts,
        )
        for number in range(count)
    ]


async def cancel(tasks: list[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until they have ended.

    :param tasks: the tasks.
    """
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


__all__ = ('SoakRun',)
