"""Brings the engine of a host to the newest declared version of its weights."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.staging.fetching import VersionFetch
from cassiahitch.direct.staging.loadtiming import is_worth_finishing, load_delay_s
from cassiahitch.direct.staging.takeover import LoadTakeover
from cassiahitch.direct.staging.uploads import HOST_UTILISATION
from cassiahitch.direct.staging.urgency import (
    URGENCY_MARGIN_S,
    FetchUrgency,
    origin_region_capacity,
)
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.errors import PlatformError
from cassiahitch.util.rates import bytes_per_s

if TYPE_CHECKING:
    from cassiahitch.direct.staging.agentupdater import AgentStateUpdater
    from cassiahitch.direct.staging.chunkmaps import ChunkMapExchange
    from cassiahitch.direct.staging.chunks import VersionChunks
    from cassiahitch.direct.staging.enginestate import EngineReport
    from cassiahitch.direct.staging.loadorders import LoadOrders
    from cassiahitch.direct.staging.repository import ChunkRepository
    from cassiahitch.direct.staging.staging import Stager
    from cassiahitch.direct.statelog import StateLog
    from cassiahitch.metrics.registry import Metrics
    from cassiahitch.weights.plan import Participant

#: Seconds between two checks whether the engine has its target version.
POLL_INTERVAL_S = 0.1
#: Seconds after a failure until the next attempt.
RETRY_DELAY_S = 0.3
#: Seconds between two reads of the list of participants during a fetch.
PARTICIPANTS_REFRESH_S = 3.0
#: Seconds until each agent of a fetch has received its first chunks.
FIRST_CHUNKS_S = 1.0


@dataclass(slots=True)
class Loader:
    """Fetches versions, stages their chunks at the engine and has their loads ordered."""

    repository: ChunkRepository
    updater: AgentStateUpdater
    metrics: Metrics
    log: StateLog
    local_agent: Participant
    rng: random.Random
    map_exchange: ChunkMapExchange
    orders: LoadOrders
    takeover: LoadTakeover = field(init=False)

    def __post_init__(self) -> None:
        """Create the decision on loads of an earlier incarnation of the agent."""
        self.takeover = LoadTakeover(self.orders)

    @property
    def report(self) -> EngineReport | None:
        """The last report of the engine."""
        return self.orders.report

    @property
    def stager(self) -> Stager:
        """The chunks at the engine."""
        return self.orders.stager

    async def work(self) -> None:
        """Keep the engine at the newest version until cancelled.

        Fetching, staging and loading run concurrently. Load pattern: versions are declared faster
        than one is fetched and loaded, and other agents need chunks of the newest version from
        this host while it loads the previous one.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self.repeat(self.fetch_newest))
            group.create_task(self.repeat(self.load_newest))
            group.create_task(self.repeat(self.stage_received))
            group.create_task(self.orders.records.work())

    async def repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        """Repeat a step until cancelled.

        :param step: the step, which is repeated after a failure too.
        """
        while True:
            try:
                await step()
            except PlatformError as error:
                self.log.state_changed(
                    'weights not loaded', code=error.code.value, detail=error.detail
                )
                await asyncio.sleep(RETRY_DELAY_S)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def fetch_newest(self) -> None:
        """Fetch the target version unless the engine has loaded it or all chunks are cached.

        :raises PlatformError: if the fetch failed.
        """
        target = self.updater.target_weights()
        if target is None or self.report is None or self.orders.is_loaded(target):
            return
        if self.orders.trust.awaits_record and self.has_version(target):
            return
        chunks = self.repository.cache.versions.get(target)
        if chunks is None or not chunks.complete:
            await self.fetch(target)

    async def stage_received(self) -> None:
        """Stage the chunks received so far of the versions that are being fetched.

        This runs as a loop of its own that nothing cancels. A cancelled call may still store its
        chunk at the engine, after the chunks of another version were verified there.

        :raises PlatformError: ``engine_unavailable``.
        """
        for weights in tuple(self.map_exchange.fetches):
            chunks = self.repository.cache.versions.get(weights)
            if chunks is not None:
                await self.stager.stage_received(weights, chunks)

    async def load_newest(self) -> None:
        """Load the newest complete version if it is newer than the engine's.

        No load is ordered while the own engine is stopping. Chunks are fetched also then, since
        other hosts need them.

        :raises PlatformError: if staging or loading failed.
        """
        target = self.updater.target_weights()
        if target is None or self.report is None:
            return
        await self.takeover.decide(target)
        await self.orders.verify_unproven(target)
        if self.report.stopping or self.orders.is_loaded(target):
            return
        complete = [
            weights
            for weights, chunks in self.repository.cache.versions.items()
            if chunks.complete and self.may_load(weights, target)
        ]
        if complete:
            newest = max(complete)
            await self.stage_and_load(newest, self.repository.cache.versions[newest])

    def may_load(self, weights: WeightsId, target: WeightsId) -> bool:
        """Return whether a load of a complete version may be ordered now.

        :param weights: the version.
        :param target: the newest version.
        :return: whether it is newer than the engine's, or the engine has it with corrupt chunks.
        """
        loaded_version = self.report.loaded_version(target.model) if self.report else 0
        if weights.version != loaded_version:
            return loaded_version < weights.version <= target.version
        oldest = self.updater.versions.oldest_allowed(target.model, boot_time())
        return weights.version >= oldest and self.orders.is_reload_due()

    async def stage_and_load(self, target: WeightsId, chunks: VersionChunks) -> None:
        """Stage a complete version and order its load.

        :param target: the version.
        :param chunks: its chunks.
        :raises PlatformError: if a step failed.
        """
        started_at = asyncio.get_running_loop().time()
        remaining_s = self.updater.remaining_s(target, boot_time())
        async with self.stager.lock:
            await self.stage_in_turn(target, chunks, remaining_s)
            if self.has_version(target) and not await self.orders.replace_layers(target):
                return
            await self.stager.prepare_order(target, chunks)
            outcome = await self.orders.order_load(target)
        self.log.state_changed(
            'load ordered',
            model=target.model,
            weights=target.version,
            outcome=outcome.value,
            left_s=round(remaining_s, 3),
            took_s=round(asyncio.get_running_loop().time() - started_at, 3),
        )

    async def stage_in_turn(
        self, target: WeightsId, chunks: VersionChunks, remaining_s: float
    ) -> None:
        """Stage a complete version, and wait for the turn of this host if its engine serves.

        :param target: the version.
        :param chunks: its chunks.
        :param remaining_s: seconds until the older version may no longer be used.
        :raises PlatformError: if a step failed.
        """
        await self.stager.stage_all(target, chunks)
        if self.is_serving(target.model):
            await self.wait_load_delay(target, remaining_s)
            await self.stager.stage_all(target, chunks)

    def has_version(self, target: WeightsId) -> bool:
        """Return whether the engine has layers of a version, sound or not.

        :param target: the version.
        :return: whether its last report names the version.
        """
        return self.report is not None and (
            self.report.loaded_version(target.model) == target.version
        )

    async def wait_load_delay(self, target: WeightsId, remaining_s: float) -> None:
        """Wait for the delay by which the loads of all hosts are spread.

        :param target: the version.
        :param remaining_s: seconds until the older version may no longer be used.
        """
        hosts = tuple(agent.host for agent in self.updater.participants)
        await asyncio.sleep(load_delay_s(self.local_agent.host, hosts, target.version, remaining_s))

    async def fetch(self, target: WeightsId) -> None:
        """Fetch all chunks of a version; stop if a newer one makes the fetch useless.

        :param target: the version.
        :raises PlatformError: if the fetch failed.
        """
        participants = await self.updater.read_participants()
        fetch = VersionFetch(
            self.repository,
            self.metrics,
            self.log,
            target,
            self.local_agent,
            self.rng,
            self.map_exchange.send_map,
            self.is_urgent,
            origin_region_capacity(
                self.repository.origin_mbit_s, self.updater.settings.link_mbit_s
            ),
        )
        task = asyncio.create_task(fetch.run(participants))
        with ExitStack() as stack:
            stack.callback(task.cancel)
            stack.callback(self.map_exchange.remove_fetch, fetch)
            self.map_exchange.fetches[target] = fetch
            while not task.done() and self.should_continue(fetch):
                await asyncio.wait((task,), timeout=POLL_INTERVAL_S)
                if self.updater.are_participants_stale(PARTICIPANTS_REFRESH_S):
                    fetch.update_participants(await self.updater.read_participants())
        if task.done() and not task.cancelled():
            task.result()

    def should_continue(self, fetch: VersionFetch) -> bool:
        """Return whether a version is still worth fetching.

        :param fetch: the fetch of the version.
        :return: whether it is the target version, or is expected to be complete soon.
        """
        if fetch.layout != self.repository.layout:
            return False
        target = self.updater.target_weights()
        if target is None or target == fetch.weights:
            return True
        declarations = self.updater.versions.declared_at.get(target.model, {})
        declared_at = declarations.get(fetch.weights.version)
        if declared_at is None:
            return False
        now = boot_time()
        newer_after_s = declarations[target.version] - declared_at
        return is_worth_finishing(newer_after_s, now - declared_at, self.expected_fetch_s())

    def expected_fetch_s(self) -> float:
        """Return the time in which all agents together fetch a version.

        :return: seconds.
        """
        link_s = self.repository.layout.version_bytes / bytes_per_s(
            self.updater.settings.link_mbit_s
        )
        return link_s / HOST_UTILISATION + FIRST_CHUNKS_S

    def is_urgent(self, target: WeightsId, missing_share: float) -> bool:
        """Return whether the engine can serve nothing until a version is loaded.

        :param target: the version.
        :param missing_share: the share of its chunks that this host lacks.
        :return: whether it is to be fetched as fast as possible, with more copies from the origin.
        """
        remaining_s = self.updater.remaining_s(target, boot_time()) - URGENCY_MARGIN_S
        fetch_s = FIRST_CHUNKS_S + missing_share * (self.expected_fetch_s() - FIRST_CHUNKS_S)
        return FetchUrgency(self.is_serving(target.model), remaining_s, fetch_s).is_urgent

    def is_serving(self, model: str) -> bool:
        """Return whether requests may begin on the version that the engine has loaded.

        :param model: the model.
        :return: whether a load would interrupt the service.
        """
        now = boot_time()
        loaded_version = self.report.loaded_version(model) if self.report else 0
        if self.orders.trust.is_withheld(model, loaded_version):
            return False
        return loaded_version > 0 and loaded_version >= self.updater.versions.oldest_allowed(
            model, now
        )


__all__ = ('Loader',)
