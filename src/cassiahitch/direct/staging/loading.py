"""Brings the engine of a host to the newest declared version."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.staging.enginestate import EngineReport, LoadOutcome
from cassiahitch.direct.staging.fetching import VersionFetch
from cassiahitch.direct.staging.staging import Stager
from cassiahitch.direct.staging.uploads import HOST_UTILISATION
from cassiahitch.direct.staging.urgency import FetchUrgency, origin_region_capacity
from cassiahitch.direct.state.versions import MARGIN_S
from cassiahitch.errors import PlatformError
from cassiahitch.util.rates import bytes_per_s
from cassiahitch.weights.tree import ranked

if TYPE_CHECKING:
    from cassiahitch.direct.staging.agentupdater import AgentStateUpdater
    from cassiahitch.direct.staging.chunkmaps import ChunkMapExchange
    from cassiahitch.direct.staging.chunks import VersionChunks
    from cassiahitch.direct.staging.enginestate import StagingEngine
    from cassiahitch.direct.staging.repository import ChunkRepository
    from cassiahitch.direct.telemetry import StateLog
    from cassiahitch.metrics.registry import Metrics
    from cassiahitch.weights.plan import Participant

#: Seconds between looks whether the engine has what it should.
LOOK_S = 0.1
#: Seconds after a failure until the next try.
RETRY_S = 0.3
#: Longest time over which the loads of all engines are spread, in seconds.
SPREAD_S = 2.5
#: Seconds between reads of who takes part.
PARTICIPANTS_S = 3.0
#: Seconds until the first chunks have spread to all agents.
SPREADING_S = 1.0
#: Part of the usual time of a fetch after which it goes on in spite of a newer version, and the
#: time after which it ends all the same, in usual times.
NEARLY_DONE = 0.6
LONGEST_FETCH = 1.6


def load_delay_s(member: str, hosts: tuple[str, ...], version: int, left_s: float) -> float:
    """Return how long a host waits before it orders its load.

    Load pattern: all engines would stop to take requests at the same moment.

    :param member: the host.
    :param hosts: all hosts that load the version.
    :param version: the version, which turns the order.
    :param left_s: seconds until the older version may no longer be used.
    :return: seconds.
    """
    order = ranked(version, {member, *hosts})
    spread_s = min(SPREAD_S, max(0, left_s - MARGIN_S))
    return spread_s * order.index(member) / len(order)


def is_worth_finishing(newer_s: float, age_s: float, usual_s: float) -> bool:
    """Tell whether a version is fetched to its end although a newer one was declared.

    Load pattern: a newer version is declared when the one before is nearly here. It bridges the
    time in which the newer one is fetched and the one before it may no longer be used. All agents
    decide alike, as they learn of versions at the same time.

    :param newer_s: seconds between both declarations.
    :param age_s: seconds since the first one.
    :param usual_s: seconds in which all agents together fetch a version.
    :return: whether the fetch goes on.
    """
    return newer_s >= NEARLY_DONE * usual_s and age_s < LONGEST_FETCH * usual_s


@dataclass(slots=True)
class Loader:
    """Fetches, stages, verifies, orders and reads back."""

    engine: StagingEngine
    library: ChunkRepository
    beliefs: AgentStateUpdater
    metrics: Metrics
    log: StateLog
    member: Participant
    rng: random.Random
    maps: ChunkMapExchange
    report: EngineReport | None = None
    stager: Stager = field(init=False)

    def __post_init__(self) -> None:
        """Own what the engine has staged."""
        self.stager = Stager(self.engine, self.library)

    async def work(self) -> None:
        """Keep the engine at the newest version until cancelled.

        Load pattern: versions follow each other faster than one is fetched and loaded, and other
        agents wait for the chunks of the newest one while this host loads the one before.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self.keep(self.fetch_newest))
            group.create_task(self.keep(self.load_newest))
            group.create_task(self.keep(self.stage_arrived))

    async def keep(self, step: Callable[[], Awaitable[None]]) -> None:
        """Repeat a step until cancelled.

        :param step: what to do, again after a failure.
        """
        while True:
            try:
                await step()
            except PlatformError as error:
                self.log.state_changed(
                    'weights not loaded', code=error.code.value, detail=error.detail
                )
                await asyncio.sleep(RETRY_S)
            await asyncio.sleep(LOOK_S)

    async def fetch_newest(self) -> None:
        """Fetch the newest version if the engine does not have it.

        :raises PlatformError: if it failed.
        """
        wanted = self.beliefs.wanted()
        if wanted is None or self.report is None or self.has(wanted):
            return
        held = self.library.shelf.held.get(wanted)
        if held is None or not held.complete:
            await self.fetch(wanted)

    async def stage_arrived(self) -> None:
        """Store what has arrived of the version that is being fetched.

        It is a loop of its own that nothing cancels: a call that is left alone may still store its
        chunk, after those of another version were verified.

        :raises PlatformError: ``engine_unavailable``.
        """
        for name in tuple(self.maps.fetches):
            held = self.library.shelf.held.get(name)
            if held is not None:
                await self.stager.store_arrived(name, held)

    async def load_newest(self) -> None:
        """Load the newest version that is here if it is newer than the engine's.

        Chunks are fetched for the engines of other hosts also while the own one leaves.

        :raises PlatformError: if it failed.
        """
        wanted = self.beliefs.wanted()
        if wanted is None or self.report is None or self.report.leaving or self.has(wanted):
            return
        loaded = self.report.version(wanted.model)
        complete = [
            name
            for name, held in self.library.shelf.held.items()
            if held.complete and loaded < name.version <= wanted.version
        ]
        if complete:
            newest = max(complete)
            await self.bring(newest, self.library.shelf.held[newest])

    def has(self, wanted: WeightsId) -> bool:
        """Tell whether the engine serves a version.

        :param wanted: the version.
        :return: whether it does, by its last report.
        """
        if self.report is None or self.report.version(wanted.model) != wanted.version:
            return False
        self.library.staged = wanted
        return True

    async def bring(self, wanted: WeightsId, held: VersionChunks) -> None:
        """Bring the engine to a version whose chunks are here.

        :param wanted: the version.
        :param held: its chunks.
        :raises PlatformError: if a step failed.
        """
        began = asyncio.get_running_loop().time()
        left_s = self.beliefs.left_s(wanted, began)
        async with self.stager.lock:
            await self.stager.store_whole(wanted, held)
            if self.is_serving(wanted.model):
                await self.wait_turn(wanted, left_s)
                await self.stager.store_whole(wanted, held)
            outcome = await self.order(wanted)
        self.log.state_changed(
            'load ordered',
            model=wanted.model,
            weights=wanted.version,
            outcome=outcome.value,
            left_s=round(left_s, 3),
            took_s=round(asyncio.get_running_loop().time() - began, 3),
        )

    async def wait_turn(self, wanted: WeightsId, left_s: float) -> None:
        """Wait until it is this host's turn to load.

        :param wanted: the version.
        :param left_s: seconds until the older version may no longer be used.
        """
        hosts = tuple(one.host for one in self.beliefs.participants)
        await asyncio.sleep(load_delay_s(self.member.host, hosts, wanted.version, left_s))

    async def fetch(self, wanted: WeightsId) -> None:
        """Fetch all chunks of a version, until a newer one is declared.

        :param wanted: the version.
        :raises PlatformError: if it failed.
        """
        participants = await self.beliefs.read_participants()
        fetch = VersionFetch(
            self.library,
            self.metrics,
            self.log,
            wanted,
            self.member,
            self.rng,
            self.maps.tell,
            self.is_urgent,
            origin_region_capacity(self.library.origin_mbit_s, self.beliefs.settings.link_mbit_s),
        )
        task = asyncio.create_task(fetch.run(participants))
        with ExitStack() as stack:
            stack.callback(task.cancel)
            stack.callback(self.maps.end, fetch)
            self.maps.fetches[wanted] = fetch
            while not task.done() and self.goes_on(fetch):
                await asyncio.wait((task,), timeout=LOOK_S)
                if self.beliefs.is_stale(PARTICIPANTS_S):
                    fetch.update(await self.beliefs.read_participants())
        if task.done() and not task.cancelled():
            task.result()

    def goes_on(self, fetch: VersionFetch) -> bool:
        """Tell whether a version is still worth fetching.

        :param fetch: the fetch of the version.
        :return: whether it is the newest one, or nearly complete.
        """
        wanted = self.beliefs.wanted()
        if wanted is None or wanted == fetch.name:
            return True
        learned = self.beliefs.versions.learned.get(wanted.model, {})
        began = learned.get(fetch.name.version)
        if began is None:
            return False
        now = asyncio.get_running_loop().time()
        newer_s = learned[wanted.version] - began
        return is_worth_finishing(newer_s, now - began, self.usual_fetch_s())

    def usual_fetch_s(self) -> float:
        """Return the time in which all agents together fetch a version.

        :return: seconds.
        """
        link_s = self.library.version_bytes / bytes_per_s(self.beliefs.settings.link_mbit_s)
        return link_s / HOST_UTILISATION + SPREADING_S

    def is_urgent(self, wanted: WeightsId, missing: float) -> bool:
        """Tell whether the engine serves nothing until a version is here.

        :param wanted: the version.
        :param missing: the part of its chunks that is not here yet.
        :return: whether it is to come as soon as possible.
        """
        left_s = self.beliefs.left_s(wanted, asyncio.get_running_loop().time()) - MARGIN_S
        rest_s = SPREADING_S + missing * (self.usual_fetch_s() - SPREADING_S)
        return FetchUrgency(self.is_serving(wanted.model), left_s, rest_s).is_urgent

    def is_serving(self, model: str) -> bool:
        """Tell whether requests may begin on what the engine has loaded.

        :param model: the model.
        :return: whether a load takes a place that is in use.
        """
        now = asyncio.get_running_loop().time()
        loaded = self.report.version(model) if self.report else 0
        return loaded > 0 and loaded >= self.beliefs.versions.oldest_allowed(model, now)

    async def order(self, wanted: WeightsId) -> LoadOutcome:
        """Order the load, if nobody else ordered anything meanwhile.

        :param wanted: the version.
        :return: what became of the order.
        :raises PlatformError: ``engine_unavailable``.
        """
        report = await self.engine.report()
        self.report = report
        if report.loading or self.has(wanted):
            return LoadOutcome.in_effect
        if report.leaving:
            return LoadOutcome.refused
        outcome = await self.engine.load(wanted.model, wanted.version, report.orders)
        if outcome is LoadOutcome.unknown:
            self.stager.keep_version()
        await self.settle(wanted)
        return outcome

    async def settle(self, wanted: WeightsId) -> None:
        """Read back until the engine is no longer busy with the order.

        :param wanted: the version.
        :raises PlatformError: ``engine_unavailable``.
        """
        while True:
            await asyncio.sleep(LOOK_S)
            report = await self.engine.report()
            self.report = report
            if self.has(wanted) or not report.loading:
                return


__all__ = (
    'Loader',
    'is_worth_finishing',
    'load_delay_s',
)
