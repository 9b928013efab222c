"""Orders loads of an engine, and verifies what it took once it has accepted an order."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.staging.enginestate import LoadOutcome
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.layers import NO_LAYERS, LayerRange, are_all_layers
from cassiahitch.errors import PlatformError

if TYPE_CHECKING:
    from cassiahitch.direct.staging.enginestate import EngineReport, StagingEngine
    from cassiahitch.direct.staging.loadrecords import LoadRecords
    from cassiahitch.direct.staging.loadtrust import LoadTrust
    from cassiahitch.direct.staging.repository import ChunkRepository
    from cassiahitch.direct.staging.staging import Stager
    from cassiahitch.direct.statelog import StateLog

#: Seconds between two reads of the report of an engine that is loading.
POLL_INTERVAL_S = 0.1
#: Errors of calls to the engine, after which a verification is repeated.
ENGINE_ERRORS = frozenset((Code.engine_unavailable, Code.engine_answer_corrupt))
#: Outcomes after which an engine has the layers that were ordered.
HAS_LAYERS = frozenset((LoadOutcome.begun, LoadOutcome.in_effect))
#: The layers that an engine keeps while it drops all others.
FIRST_LAYER = LayerRange(0, 1)
#: Seconds from an order until the same version is ordered again if corrupt chunks were loaded.
RELOAD_DELAY_S = 5.0


@dataclass(slots=True)
class LoadOrders:
    """Orders loads, one at a time, and decides which of them may serve.

    ``report`` is the last report of the engine, which :class:`LoadReporter` sets as well. Weights
    that the engine loaded with corrupt chunks are ordered again from ``reload_at`` on, in seconds
    of the event loop's clock.
    """

    engine: StagingEngine
    repository: ChunkRepository
    stager: Stager
    records: LoadRecords
    trust: LoadTrust
    log: StateLog
    report: EngineReport | None = None
    reload_at: float = float('-inf')

    async def verify_unproven(self, target: WeightsId) -> None:
        """Verify the staged chunks of weights that the engine may have taken in a corrupt state.

        Load pattern: an engine executes an order without a response after chunks of a newer version
        were staged. Which version the engine has taken them for is known once the load has ended.

        :param target: the newest version.
        :raises PlatformError: ``engine_unavailable``.
        """
        if self.trust.ordered is None:
            return
        async with self.stager.lock:
            report = await self.read_report()
            if self.trust.has_ordered_load and report.loading:
                report = await self.wait_until_loaded(target)
            if self.trust.has_unproven_load and self.trust.has_ordered_load:
                await self.try_to_prove(
                    WeightsId(report.loaded_version(target.model), target.model)
                )

    async def try_to_prove(self, weights: WeightsId) -> None:
        """Verify the staged chunks of weights, unless their manifest is not to be had for now.

        :param weights: the version that the engine has loaded.
        :raises PlatformError: ``engine_unavailable``.
        """
        try:
            await self.prove(weights)
        except PlatformError as error:
            if error.code in ENGINE_ERRORS:
                raise
            if error.code is Code.object_missing:
                # The manifest of an older version will not be had any more.
                self.trust.give_up()
            self.log.state_changed(
                'load not verified',
                model=weights.model,
                weights=weights.version,
                code=error.code.value,
                detail=error.detail,
            )

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
            self.trust.accept(0)
            return
        ordered = self.trust.ordered
        declared = self.repository.layout.chunk_count
        corrupt = await self.stager.corrupt_chunks(weights)
        if ordered is None or self.trust.ordered != ordered:
            # The engine has restarted, and the weights are gone.
            return
        replaced = self.trust.replaced_chunks
        proven = self.trust.record_verification(sound=not corrupt, chunks=declared)
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
        if self.is_withheld(target.model, self.report):
            return False
        self.repository.staged_weights = target
        return True

    def is_withheld(self, model: str, report: EngineReport) -> bool:
        """Return whether an engine may not serve with what it has loaded.

        :param model: the model.
        :param report: the report of the engine.
        :return: whether its load is unproven, or some of the layers are missing.
        """
        if not are_all_layers(report.layers, self.repository.layout.layer_count):
            return True
        return self.trust.is_withheld(model, report.loaded_version(model))

    def is_reload_due(self) -> bool:
        """Return whether the version that the engine has is to be loaded again.

        :return: whether nothing can prove its load or layers are missing, and an order is due.
        """
        if self.report is None or asyncio.get_running_loop().time() < self.reload_at:
            return False
        is_whole = are_all_layers(self.report.layers, self.repository.layout.layer_count)
        return self.trust.needs_reload or not (is_whole or self.trust.has_unproven_load)

    async def replace_layers(self, target: WeightsId) -> bool:
        """Replace all layers but some of a version that the engine has loaded.

        Load pattern: an engine has a version whose load cannot be proven any more. It would answer
        an order of the same version that nothing is to be done. Ordered to have other layers, it
        drops those that it has; the order of all layers that follows loads the rest again.

        The caller holds the lock of the staged chunks, which are sound.

        :param target: the version, which is the one that the engine has loaded.
        :return: whether an order of all layers leaves the engine with none of its present ones.
        :raises PlatformError: ``engine_unavailable``, or if there is no manifest.
        """
        self.trust.give_up()
        self.reload_at = asyncio.get_running_loop().time() + RELOAD_DELAY_S
        report = await self.read_report()
        kept = report.layers
        count = self.repository.layout.layer_count
        if not count and kept is not None:
            count = kept.end
        if count <= FIRST_LAYER.end:
            return False
        if kept in {None, NO_LAYERS, LayerRange(0, count)}:
            kept = FIRST_LAYER
            if await self.order_layers(target, kept) not in HAS_LAYERS:
                return False
        if await self.order_layers(target, kept.rest(count)) is not LoadOutcome.begun:
            return False
        corrupt = await self.stager.corrupt_chunks(target)
        await self.wait_until_loaded(target)
        return not corrupt

    async def order_layers(self, target: WeightsId, layers: LayerRange) -> LoadOutcome:
        """Order some layers of a version once the engine has ended the load before.

        :param target: the version.
        :param layers: the layers to have.
        :return: the outcome of the order.
        :raises PlatformError: ``engine_unavailable``.
        """
        report = await self.wait_until_loaded(target)
        outcome = await self.engine.load(target.model, target.version, report.load_orders, layers)
        self.log.state_changed(
            'layers ordered',
            model=target.model,
            weights=target.version,
            first=layers.first,
            end=layers.end,
            outcome=outcome.value,
        )
        return outcome

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
        self.trust.record_order(target, report.load_orders)
        self.reload_at = asyncio.get_running_loop().time() + RELOAD_DELAY_S
        outcome = await self.engine.load(target.model, target.version, report.load_orders)
        await self.apply_outcome(target, outcome)
        await self.wait_until_loaded(target)
        return outcome

    async def apply_outcome(self, target: WeightsId, outcome: LoadOutcome) -> None:
        """Record the outcome of an order, and verify what the engine took if that may be corrupt.

        :param target: the version.
        :param outcome: the outcome of the order.
        :raises PlatformError: ``engine_unavailable``, or if there is no manifest.
        """
        self.trust.record_outcome(outcome)
        if outcome is LoadOutcome.unknown:
            self.stager.hold_version()
        if self.trust.ordered is None:
            return
        self.log.state_changed(
            'load unproven',
            model=target.model,
            weights=target.version,
            outcome=outcome.value,
            verified_before_s=self.stager.oldest_verification_s(boot_time()),
        )
        if self.trust.has_unproven_load and self.trust.has_ordered_load:
            await self.try_to_prove(target)

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


__all__ = ('LoadOrders',)
