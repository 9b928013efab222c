"""Takes over an engine from an earlier incarnation of its agent, which may have ordered a load."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.errors import PlatformError

if TYPE_CHECKING:
    from cassiahitch.direct.staging.loadorders import LoadOrders
    from cassiahitch.direct.staging.loadtrust import ProvenLoad

#: Seconds between two reads of the record of loads while it cannot be used.
RECORD_RETRY_S = 1.0


@dataclass(slots=True)
class LoadTakeover:
    """Decides once for each incarnation of an engine whether it may serve with what it has loaded.

    The record of loads is read at ``record_due_at`` or later, in seconds of the event loop's clock.
    """

    orders: LoadOrders
    record_due_at: float = float('-inf')

    async def decide(self, target: WeightsId) -> None:
        """Decide whether the load that an earlier incarnation of this agent ordered is sound.

        Load pattern: an agent is killed while its engine executes an order, and the one started
        after it finds weights of which it has not seen the order. While the store is unavailable, a
        newer version may still be loaded.

        :param target: the newest version.
        :raises PlatformError: ``engine_unavailable``.
        """
        orders = self.orders
        now = asyncio.get_running_loop().time()
        if not orders.trust.awaits_record or now < self.record_due_at:
            return
        report = await orders.read_report()
        loaded = WeightsId(report.loaded_version(target.model), target.model)
        try:
            record = await self.read_record(loaded)
        except PlatformError as error:
            self.record_due_at = asyncio.get_running_loop().time() + RECORD_RETRY_S
            orders.log.state_changed(
                'record of loads not read', code=error.code.value, detail=error.detail
            )
            return
        proven = orders.trust.apply_record(record)
        orders.log.state_changed(
            'load taken over' if proven else 'load without record',
            born_ms=report.born_ms,
            loads=report.load_orders,
            recorded=record.loads if record else 0,
            loading=report.loading,
        )
        if not proven and report.loading:
            await self.verify_load_in_progress(target)

    async def read_record(self, loaded: WeightsId) -> ProvenLoad | None:
        """Read which load was sound, and verify it again unless all declared chunks were verified.

        Load pattern: an agent is upgraded from a release that used manifests which lacked chunks.
        That release never stored a chunk that its manifest did not list, so that chunks which are
        all sound now were so when the engine took them.

        :param loaded: the version that the engine has.
        :return: the load, None if there is none.
        :raises PlatformError: ``store_unavailable`` or ``engine_unavailable``, or if there is no
            manifest.
        """
        record = await self.orders.records.read()
        declared = self.orders.repository.layout.chunk_count
        if record is None or record.chunks == declared or not loaded.version:
            return record
        if record.loads < self.orders.trust.loads:
            # The engine has begun another load since.
            return record
        async with self.orders.stager.lock:
            corrupt = await self.orders.stager.corrupt_chunks(loaded)
        self.orders.log.state_changed(
            'recorded load verified', weights=loaded.version, chunks=record.chunks, corrupt=corrupt
        )
        return None if corrupt else replace(record, chunks=declared)

    async def verify_load_in_progress(self, target: WeightsId) -> None:
        """Verify the chunks of a load that was in progress when this agent started.

        They are as the engine took them unless this agent has stored others meanwhile.

        :param target: the newest version.
        :raises PlatformError: ``engine_unavailable``.
        """
        async with self.orders.stager.lock:
            if self.orders.stager.has_stored:
                return
            report = await self.orders.wait_until_loaded(target)
            weights = WeightsId(report.loaded_version(target.model), target.model)
            self.orders.trust.record_order(weights, report.load_orders - 1)
            await self.orders.try_to_prove(weights)


__all__ = ('LoadTakeover',)
