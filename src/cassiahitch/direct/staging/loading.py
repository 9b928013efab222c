"""Brings the engine of a host to the newest declared version of its weights."""

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
from cassiahitch.direct.staging.loadtiming import is_worth_finishing, load_delay_s
from cassiahitch.direct.staging.loadtrust import LoadTrust
from cassiahitch.direct.staging.staging import Stager
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
    from cassiahitch.direct.staging.enginestate import StagingEngine
    from cassiahitch.direct.staging.repository import ChunkRepository
    from cassiahitch.direct.telemetry import StateLog
    from cassiahitch.metrics.registry import Metrics
    from cassiahitch.weights.plan import Participant

#: Seconds between two checks whether the engine has its target version.
POLL_INTERVAL_S = 0.1
#: Seconds after a failure until the next attempt.
RETRY_DELAY_S = 0.3
#: Seconds from an order until the same version is ordered again if corrupt chunks were loaded.
RELOAD_DELAY_S = 5.0
#: Seconds between two reads of the list of participants during a fetch.
PARTICIPANTS_REFRESH_S = 3.0
#: Seconds until each agent of a fetch has received its first chunks.
FIRST_CHUNKS_S = 1.0


@dataclass(slots=True)
class Loader:
    """Fetches versions, stages their chunks at the engine, orders loads and awaits their end.

    ``report`` is the last report of the engine, which :class:`LoadReporter` sets as well. Weights
    that the engine loaded with corrupt chunks are ordered again from ``reload_at`` on.
    """

    engine: StagingEngine
    repository: ChunkRepository
    updater: AgentStateUpdater
    metrics: Metrics
    log: StateLog
    local_agent: Participant
    rng: random.Random
    map_exchange: ChunkMapExchange
    report: EngineReport | None = None
    trust: LoadTrust = field(default_factory=LoadTrust)
    stager: Stager = field(init=False)
    reload_at: float = float('-inf')

    def __post_init__(self) -> None:
        """Create the stager."""
        self.stager = Stager(self.engine, self.repository, self.trust)

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
        if target is None or self.report is None or self.is_loaded(target):
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
        await self.verify_unproven(target)
        if self.report.stopping or self.is_loaded(target):
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
        if weights == self.trust.unsound:
            return weights == target and asyncio.get_running_loop().time() >= self.reload_at
        loaded_version = self.report.loaded_version(target.model) if self.report else 0
        return loaded_version < weights.version <= target.version

    async def verify_unproven(self, target: WeightsId) -> None:
        """Verify the staged chunks of weights that the engine may have taken in a corrupt state.

        Load pattern: an agent restarts while its engine loads what the agent had ordered before, or
        an engine executes an order without a response after chunks of a newer version were staged.
        Which version the engine has taken them for is known once the load has ended.

        :param target: the newest version.
        :raises PlatformError: ``engine_unavailable``, or if there is no manifest.
        """
        if not self.trust.has_unproven_load and self.trust.ordered is None:
            return
        async with self.stager.lock:
            report = await self.read_report()
            if self.trust.has_unproven_load and report.loading:
                report = await self.wait_until_loaded(target)
            if self.trust.has_unproven_load:
                await self.prove(WeightsId(report.loaded_version(target.model), target.model))

    async def read_report(self) -> EngineReport:
        """Read and apply the report of the engine.

        :return: the report.
        :raises PlatformError: ``engine_unavailable``.
        """
        report = await self.engine.report()
        self.report = report
        self.trust.observe(report)
        return report

    async def prove(self, weights: WeightsId) -> None:
        """Verify the staged chunks after the engine accepted an order, and record the result.

        :param weights: the version that the engine loads or has loaded; version 0 if it has none.
        :raises PlatformError: ``engine_unavailable``, or if there is no manifest.
        """
        if not weights.version:
            self.trust.accept()
            return
        self.trust.record_order(weights)
        corrupt = await self.stager.corrupt_chunks(weights)
        if self.trust.ordered != weights:
            # The engine has restarted, and the weights are gone.
            return
        replaced = self.trust.replaced_chunks
        proven = self.trust.record_verification(sound=not corrupt)
        self.log.state_changed(
            'load proven' if proven else 'load unsound',
            model=weights.model,
            weights=weights.version,
            corrupt=corrupt,
            replaced=replaced,
        )

    def is_loaded(self, target: WeightsId) -> bool:
        """Return whether the engine has loaded a version, and record that it is staged if so.

        :param target: the version.
        :return: whether the engine's last report names the version and it may serve requests.
        """
        if self.report is None or self.report.loaded_version(target.model) != target.version:
            return False
        if self.trust.is_withheld(target.model, target.version):
            return False
        self.repository.staged_weights = target
        return True

    async def stage_and_load(self, target: WeightsId, chunks: VersionChunks) -> None:
        """Stage a complete version and order its load.

        :param target: the version.
        :param chunks: its chunks.
        :raises PlatformError: if a step failed.
        """
        started_at = asyncio.get_running_loop().time()
        remaining_s = self.updater.remaining_s(target, boot_time())
        async with self.stager.lock:
            await self.stager.stage_all(target, chunks)
            if self.is_serving(target.model):
                await self.wait_load_delay(target, remaining_s)
                await self.stager.stage_all(target, chunks)
            await self.stager.verify_outdated(target, chunks)
            outcome = await self.order_load(target)
        self.log.state_changed(
            'load ordered',
            model=target.model,
            weights=target.version,
            outcome=outcome.value,
            left_s=round(remaining_s, 3),
            took_s=round(asyncio.get_running_loop().time() - started_at, 3),
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
        link_s = self.repository.version_bytes / bytes_per_s(self.updater.settings.link_mbit_s)
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
        if self.trust.is_withheld(model, loaded_version):
            return False
        return loaded_version > 0 and loaded_version >= self.updater.versions.oldest_allowed(
            model, now
        )

    async def order_load(self, target: WeightsId) -> LoadOutcome:
        """Order the load of a version, and wait until the engine has finished it.

        The order names the number of loads that the engine has begun, so that the engine refuses
        it if another load was ordered in the meantime.

        :param target: the version.
        :return: the outcome of the order.
        :raises PlatformError: ``engine_unavailable``.
        """
        report = await self.read_report()
        if report.loading or self.is_loaded(target):
            return LoadOutcome.in_effect
        if report.stopping:
            return LoadOutcome.refused
        self.trust.record_order(target)
        self.reload_at = asyncio.get_running_loop().time() + RELOAD_DELAY_S
        outcome = await self.engine.load(target.model, target.version, report.load_orders)
        await self.apply_outcome(target, outcome, report.load_orders)
        await self.wait_until_loaded(target)
        return outcome

    async def apply_outcome(
        self, target: WeightsId, outcome: LoadOutcome, loads_before: int
    ) -> None:
        """Record the outcome of an order, and verify what the engine took if that may be corrupt.

        :param target: the version.
        :param outcome: the outcome of the order.
        :param loads_before: number of loads that the engine had begun before.
        :raises PlatformError: ``engine_unavailable``, or if there is no manifest.
        """
        taken_after_s = self.stager.oldest_verification_s(boot_time())
        self.trust.record_outcome(outcome, loads_before, taken_after_s)
        if outcome is LoadOutcome.unknown:
            self.stager.hold_version()
        if self.trust.ordered is None:
            return
        self.log.state_changed(
            'load unproven',
            model=target.model,
            weights=target.version,
            outcome=outcome.value,
            taken_after_s=taken_after_s,
        )
        if self.trust.has_unproven_load:
            await self.prove(target)

    async def wait_until_loaded(self, target: WeightsId) -> EngineReport:
        """Poll the engine until it has loaded a version or is no longer loading.

        :param target: the version.
        :return: the last report of the engine.
        :raises PlatformError: ``engine_unavailable``.
        """
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            report = await self.read_report()
            if self.is_loaded(target) or not report.loading:
                return report


__all__ = ('Loader',)
