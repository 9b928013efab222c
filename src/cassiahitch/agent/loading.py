"""Loads weights into the engine of the host, as decided by its load guard."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.engine.api import LoadRequest
from cassiahitch.errors import CassiahitchError, PlatformError
from cassiahitch.metrics.names import CounterName
from cassiahitch.timeline.events import EventKind
from cassiahitch.weights import guard
from cassiahitch.wire.messages import OrderLoad

if TYPE_CHECKING:
    from cassiahitch.agent.executor import Executor
    from cassiahitch.agent.sampler import StateSampler
    from cassiahitch.agent.staging import Staging
    from cassiahitch.wire.messages import CancelLoad, Release
    from cassiahitch.wire.node import Node


#: Discards all complete manifests except the given ones and those ordered since a given time;
#: returns the discarded ones.
DiscardReplaced = Callable[[Iterable[str], float], Awaitable[tuple[str, ...]]]


class Loader:
    """Owns the load guard and performs its actions one at a time."""

    def __init__(
        self,
        node: Node,
        sampler: StateSampler,
        executor: Executor,
        staging: Staging,
    ) -> None:
        """Create a loader.

        :param node: identity and shared services of this process.
        :param sampler: samples the state of the engine.
        :param executor: admits work under the loaded weights.
        :param staging: staging area with the chunks.
        """
        self.node = node
        self.sampler = sampler
        self.executor = executor
        self.staging = staging
        self.guard = guard.LoadGuard()
        self.deployment = ''
        self.loading_digest = ''
        self.load_epoch = 0
        self.complete_manifests: set[str] = set()
        self.latest_order = OrderLoad()
        self.ordered_at = float(0)
        self.discard_replaced: DiscardReplaced = _discard_none
        self.actions: asyncio.Queue[guard.GuardAction] = asyncio.Queue()

    @property
    def loaded_digest(self) -> str:
        """Digest that the engine reported as loaded, empty if unknown."""
        return self.guard.admitted_digest

    def record_complete(self, manifest: str) -> None:
        """Record that every chunk of a manifest is verified.

        :param manifest: digest of the manifest.
        """
        self.complete_manifests.add(manifest)
        self._handle(guard.ChunksVerified(manifest))

    def receive_order(self, order: OrderLoad) -> None:
        """Handle an order to load weights.

        :param order: the weights to load and the deployment to serve.
        :raises CassiahitchError: ``fencing_number_old`` or ``load_refused``.
        """
        if self.complete_manifests.issuperset(order.manifests) and order.manifests:
            self._handle(guard.ChunksVerified(order.digest))
        message = guard.LoadOrdered(order.digest, order.fencing_number)
        refusals = self._handle(message)
        if refusals:
            raise CassiahitchError(refusals[0].code, f'the load of {order.digest} was refused')
        self.deployment = order.deployment
        if order.digest != self.latest_order.digest:
            self.latest_order = order
            self.ordered_at = self.node.clock.monotonic()
        if self.loaded_digest != order.digest:
            self.loading_digest = order.digest

    def release(self, order: Release) -> None:
        """Stop serving a deployment.

        :param order: the order that names the deployment.
        :raises CassiahitchError: ``fencing_number_old``.
        """
        self._check_fencing_number(order.fencing_number)
        if self.deployment == order.deployment:
            self.deployment = ''

    def cancel(self, order: CancelLoad) -> None:
        """Cancel a postponed load, which has not been sent to the engine.

        :param order: the order that names the load.
        :raises CassiahitchError: ``fencing_number_old``.
        """
        self._check_fencing_number(order.fencing_number)
        postponed_order = self.guard.postponed_order
        if postponed_order is not None and postponed_order.manifest == order.digest:
            self.guard.postponed_order = None

    async def work(self) -> None:
        """Perform the guard's actions until cancelled."""
        while True:
            await self._perform(await self.actions.get())

    async def watch_engine(self, interval_s: float) -> None:
        """Detect that the engine restarted or that its loaded digest changed, until cancelled.

        :param interval_s: seconds between samples.
        """
        while True:
            await asyncio.sleep(interval_s)
            await self._check_engine()

    async def _check_engine(self) -> None:
        admitted_digest = self.guard.admitted_digest
        if not admitted_digest:
            return
        try:
            state = await self.sampler.sample()
        except PlatformError:
            return
        changed = (state.digest, state.load_epoch) != (admitted_digest, self.load_epoch)
        if changed and self.guard.admitted_digest == admitted_digest:
            self._handle(guard.EngineLost())

    def _check_fencing_number(self, fencing_number: int) -> None:
        if fencing_number < self.guard.fencing_number:
            detail = f'fencing number {fencing_number} is below {self.guard.fencing_number}'
            raise CassiahitchError(Code.fencing_number_old, detail)
        self.guard.fencing_number = fencing_number

    def _handle(self, message: guard.GuardMessage) -> list[guard.RefuseOrder]:
        actions = self.guard.handle(message, self.node.clock.monotonic())
        if guard.StopAdmitting() in actions:
            self.executor.admitting = False
        for action in actions:
            self.actions.put_nowait(action)
        return [refusal for refusal in actions if isinstance(refusal, guard.RefuseOrder)]

    async def _perform(self, action: guard.GuardAction) -> None:
        match action:
            case guard.StopAdmitting():
                await self.executor.idle.wait()
            case guard.LoadEngine():
                await self._load(action)
            case guard.ReadLoadedDigest(number=number):
                await self._read_loaded_digest(number)
            case guard.AdmitWork(manifest=manifest):
                self.executor.admit(manifest)
                await self._discard_replaced(manifest)
            case guard.ReportLoadResult():
                self._report(action)

    async def _discard_replaced(self, digest: str) -> None:
        """Discard all chunks except those of the loaded version and of newer ones."""
        order = self.latest_order
        if digest != order.digest:
            return
        for manifest in await self.discard_replaced(order.manifests, self.ordered_at):
            self.complete_manifests.discard(manifest)
            self._handle(guard.ChunksDiscarded(manifest))

    async def _load(self, action: guard.LoadEngine) -> None:
        manifest = action.manifest
        self.node.timeline.record(EventKind.load_ordered, rollout_id=manifest)
        path = str(self.staging.folder(manifest))
        order = LoadRequest(manifest, path, action.fencing_number)
        code = Code.ok
        try:
            await self.sampler.engine.load(order)
        except PlatformError as error:
            code = error.code
        self._handle(guard.LoadFinished(action.number, code))

    async def _read_loaded_digest(self, number: int) -> None:
        digest = ''
        try:
            state = await self.sampler.sample()
        except PlatformError:
            self._handle(guard.LoadedDigestRead(number, digest))
            return
        self.load_epoch = state.load_epoch
        self._handle(guard.LoadedDigestRead(number, state.digest))

    def _report(self, action: guard.ReportLoadResult) -> None:
        self.loading_digest = ''
        failed = action.code is not Code.ok
        kind = EventKind.load_refused if failed else EventKind.load_finished
        self.node.timeline.record(kind, rollout_id=action.manifest, code=action.code)
        self.node.metrics.count(CounterName.loads_failed if failed else CounterName.loads_finished)


async def _discard_none(_manifests: Iterable[str], _ordered_at: float) -> tuple[str, ...]:
    return ()


__all__ = ('Loader',)
