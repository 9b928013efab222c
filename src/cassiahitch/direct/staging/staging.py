"""Stores chunks at the engine of a host, which keeps them while its agent restarts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from operator import itemgetter
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.direct.staging.loadtrust import LoadTrust
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.errors import PlatformError
from cassiahitch.weights.manifest import verify_chunk

if TYPE_CHECKING:
    from cassiahitch.direct.staging.chunks import VersionChunks, WeightsId
    from cassiahitch.direct.staging.enginestate import StagingEngine
    from cassiahitch.direct.staging.repository import ChunkRepository

#: Seconds for which an engine may still execute a load order that it has not acknowledged.
UNACKNOWLEDGED_ORDER_S = 10.0
#: Seconds for which an engine may still execute a call whose caller has died or given it up.
LATE_CALL_S = 4.0
#: Age of the verification of a chunk, in seconds, from which on it is verified again before an
#: order.
VERIFY_AGAIN_AFTER_S = 1.0
#: Most passes over the chunks whose verification is old. On a host on which even they take longer,
#: the order is sent nevertheless, and the chunks are verified after it.
MAX_VERIFY_PASSES = 3


@dataclass(slots=True)
class Stager:
    """Stores the chunks of one version, complete or not, at the engine.

    Whoever orders a load holds ``lock`` from before the chunks are verified until the order is
    accepted, so that no chunks of a newer version are stored among them. ``stored`` holds the
    positions of the stored chunks of ``weights``, and ``verified_at`` since when each of them is
    known to be sound, in seconds of the boot clock. ``has_stored`` is set once this agent has
    stored any chunk. Calls of the incarnation of the agent before it may be executed for some time
    after ``started_at``, an order without a response for some time after ``order_lost_at``, and
    uploads without a response for some time after ``given_up_at``.
    """

    engine: StagingEngine
    repository: ChunkRepository
    trust: LoadTrust = field(default_factory=LoadTrust)
    verified_at: dict[int, float] = field(default_factory=dict)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    weights: WeightsId | None = None
    stored: set[int] = field(default_factory=set)
    has_stored: bool = False
    started_at: float = field(default_factory=boot_time)
    order_lost_at: float = float('-inf')
    given_up_at: float = float('-inf')
    hold_until: float = float('-inf')

    async def stage_received(self, weights: WeightsId, chunks: VersionChunks) -> None:
        """Store the chunks that were received since the last call.

        Load pattern: power fails while a version is fetched. Chunks that are staged by then need
        not be fetched again, and the version is complete as soon as the missing ones arrive.

        :param weights: the version that is being fetched.
        :param chunks: its chunks.
        :raises PlatformError: ``engine_unavailable``.
        """
        if weights == self.weights and self.stored.issuperset(chunks.contents):
            return
        async with self.lock:
            if self.trust.awaits_record or self.trust.has_ordered_load:
                return
            if weights == self.trust.ordered:
                return
            if weights != self.weights and asyncio.get_running_loop().time() < self.hold_until:
                return
            self.select_version(weights)
            for index in sorted(chunks.contents.keys() - self.stored):
                await self.store(weights, index, chunks.contents[index])

    async def stage_all(self, weights: WeightsId, chunks: VersionChunks) -> None:
        """Verify all chunks at the engine, and store those that are missing or corrupt there.

        The caller holds the lock.

        :param weights: the version.
        :param chunks: its chunks.
        :raises PlatformError: ``engine_unavailable``.
        """
        self.select_version(weights)
        for index in sorted(chunks.contents):
            await self.verify_or_store(weights, chunks, index)
        self.repository.staged_weights = weights
        self.repository.corrupt_staged.clear()

    async def prepare_order(self, weights: WeightsId, chunks: VersionChunks) -> None:
        """Make sure that the engine will take sound chunks of a version that is to be ordered now.

        The caller holds the lock and has called :meth:`stage_all`.

        :param weights: the version.
        :param chunks: its chunks.
        :raises PlatformError: ``engine_unavailable``, or ``manifest_changed`` if the configuration
            declares another layout by now.
        """
        await self.wait_for_given_up()
        await self.verify_outdated(weights, chunks)
        if not self.repository.layout.fits(chunks):
            raise PlatformError(Code.manifest_changed, 'another layout is declared')

    async def verify_outdated(self, weights: WeightsId, chunks: VersionChunks) -> None:
        """Verify the chunks again whose verification is too old for an order, the oldest first.

        The caller holds the lock and has called :meth:`stage_all`.

        :param weights: the version.
        :param chunks: its chunks.
        :raises PlatformError: ``engine_unavailable``.
        """
        for _ in range(MAX_VERIFY_PASSES):
            outdated = self.outdated_chunks(boot_time())
            if not outdated:
                return
            for index in outdated:
                await self.verify_or_store(weights, chunks, index)

    def outdated_chunks(self, now: float) -> list[int]:
        """Return the chunks to verify again before an order.

        :param now: current time of the boot clock in seconds.
        :return: their positions, the oldest verification first.
        """
        return [
            index
            for index, verified_at in sorted(self.verified_at.items(), key=itemgetter(1))
            if now - verified_at > VERIFY_AGAIN_AFTER_S
        ]

    def oldest_verification_s(self, now: float) -> float:
        """Return the time since the oldest verification of a chunk.

        :param now: current time of the boot clock in seconds.
        :return: seconds.
        """
        return now - min(self.verified_at.values(), default=float('-inf'))

    async def verify_or_store(self, weights: WeightsId, chunks: VersionChunks, index: int) -> None:
        """Verify a chunk at the engine, and store it if it is missing or corrupt there.

        :param weights: the version.
        :param chunks: its chunks.
        :param index: position of the chunk.
        :raises PlatformError: ``engine_unavailable``.
        """
        # The engine reads the chunk some time after the call began, and it may change from then on.
        began_at = boot_time()
        if not await self.is_sound(weights, chunks, index):
            self.trust.record_replaced_chunk(weights)
            began_at = boot_time()
            await self.store(weights, index, chunks.contents[index])
        self.stored.add(index)
        self.verified_at[index] = began_at

    async def store(self, weights: WeightsId, index: int, content: bytes) -> None:
        """Store a chunk at the engine.

        Load pattern: an agent is killed right after an order. The engine executes the order when
        the next agent has begun to stage another version, and would take chunks of both. Or an
        order gets no response, and a corrupt chunk that the engine takes when it executes the order
        is replaced right after.

        :param weights: the version of the chunk.
        :param index: position of the chunk.
        :param content: its bytes.
        :raises PlatformError: ``engine_unavailable``.
        """
        await sleep_until(self.started_at + LATE_CALL_S)
        if self.trust.unacknowledged and boot_time() < self.order_lost_at + LATE_CALL_S:
            raise PlatformError(
                Code.engine_unavailable, 'an order without a response may still be executed'
            )
        self.has_stored = True
        try:
            await self.engine.stage(weights.model, index, content)
        except PlatformError:
            self.given_up_at = boot_time()
            raise
        self.stored.add(index)

    async def wait_for_given_up(self) -> None:
        """Wait until no upload that was given up can land any more.

        Load pattern: an engine is silent for longer than the timeout of an upload, and executes the
        upload when its chunk has been replaced by one of a newer version and verified. An upload of
        the ordered version that lands after the order would hide a wrong chunk that was taken.
        """
        await sleep_until(self.given_up_at + LATE_CALL_S)

    async def corrupt_chunks(self, weights: WeightsId) -> list[int]:
        """Return which staged chunks are missing or corrupt, without replacing them.

        The caller holds the lock.

        :param weights: the version.
        :return: their positions.
        :raises PlatformError: ``engine_unavailable``, or if there is no manifest.
        """
        chunks = await self.repository.open_version(weights)
        positions = [index for index, _ in enumerate(chunks.manifest.chunks)]
        corrupt = await self.find_corrupt(weights, chunks, positions)
        if corrupt and await self.repository.refresh_manifest(weights):
            return await self.find_corrupt(weights, chunks, corrupt)
        return corrupt

    async def find_corrupt(
        self, weights: WeightsId, chunks: VersionChunks, positions: list[int]
    ) -> list[int]:
        """Return which of some staged chunks are missing or corrupt.

        :param weights: the version.
        :param chunks: its chunks.
        :param positions: the chunks to read.
        :return: their positions.
        :raises PlatformError: ``engine_unavailable``.
        """
        return [index for index in positions if not await self.is_sound(weights, chunks, index)]

    async def is_sound(self, weights: WeightsId, chunks: VersionChunks, index: int) -> bool:
        """Return whether a chunk that the engine has staged matches its digest.

        :param weights: the version.
        :param chunks: its chunks.
        :param index: position of the chunk.
        :return: False also if the chunk is missing.
        :raises PlatformError: ``engine_unavailable``.
        """
        staged = await self.engine.read_staged(weights.model, index)
        return staged is not None and verify_chunk(chunks.manifest, index, staged)

    def hold_version(self) -> None:
        """Keep received chunks of other versions from replacing the staged one for some seconds.

        Load pattern: a load order gets no response because the engine is stalled. The engine
        executes it up to ``UNACKNOWLEDGED_ORDER_S`` later, and must not find chunks of a newer
        version by then.
        """
        self.order_lost_at = boot_time()
        self.hold_until = asyncio.get_running_loop().time() + UNACKNOWLEDGED_ORDER_S

    def select_version(self, weights: WeightsId) -> None:
        """Select the version to stage; another one starts with no stored chunks.

        :param weights: the version.
        """
        if weights != self.weights:
            self.weights = weights
            self.stored.clear()
            self.verified_at.clear()
            if self.repository.staged_weights != weights:
                self.repository.staged_weights = None


async def sleep_until(until: float) -> None:
    """Sleep until a time.

    :param until: the time, in seconds of the boot clock.
    """
    remaining_s = until - boot_time()
    if remaining_s > 0:
        await asyncio.sleep(remaining_s)


__all__ = ('Stager',)
