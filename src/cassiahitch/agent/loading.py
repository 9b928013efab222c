"""Orders the engine of the host to load, under the guard of its loads."""

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


#: Discards all manifests but these and those ordered later than a time; returns which.
Retain = Callable[[Iterable[str], float], Awaitable[tuple[str, ...]]]


class Loader:
    """Owns the guard; performs its actions one after another."""

    def __init__(
        self,
        node: Node,
        sampler: StateSampler,
        executor: Executor,
        staging: Staging,
    ) -> None:
        """Create a loader.

        :param node: this process.
        :param sampler: the engine of the host, and samples of it.
        :param executor: what admits work.
        :param staging: where the chunks are.
        """
        self.node = node
        self.sampler = sampler
        self.executor = executor
        self.staging = staging
        self.guard = guard.LoadGuard()
        self.deployment = ''
        self.loading = ''
        self.load_epoch = 0
        self.complete: set[str] = set()
        self.last_order = OrderLoad()
        self.ordered_at = float(0)
        self.on_loaded: Retain = _retain_all
        self.actions: asyncio.Queue[guard.GuardAction] = asyncio.Queue()

    @property
    def loaded(self) -> str:
        """Digest of what the engine was read to have loaded, or nothing."""
        return self.guard.admitted

    def completed(self, manifest: str) -> None:
        """Take note that every chunk of a manifest is verified.

        :param manifest: its digest.
        """
        self.complete.add(manifest)
        self._handle(guard.ChunksVerified(manifest))

    def order(self, order: OrderLoad) -> None:
        """Take an order to load.

        :param order: what to load and serve.
        :raises CassiahitchError: ``fencing_number_old`` or ``load_refused``.
        """
        if self.complete.issuperset(order.manifests) and order.manifests:
            self._handle(guard.ChunksVerified(order.digest))
        message = guard.LoadOrdered(order.digest, order.fencing_number)
        refusals = self._handle(message)
        if refusals:
            raise CassiahitchError(refusals[0].code, f'load of {order.digest}')
        self.deployment = order.deployment
        if order.digest != self.last_order.digest:
            self.last_order = order
            self.ordered_at = self.node.clock.monotonic()
        if self.loaded != order.digest:
            self.loading = order.digest

    def release(self, order: Release) -> None:
        """Serve a deployment no longer.

        :param order: which one.
        :raises CassiahitchError: ``fencing_number_old``.
        """
        self._check(order.fencing_number)
        if self.deployment == order.deployment:
            self.deployment = ''

    def cancel(self, order: CancelLoad) -> None:
        """Give up a load that the engine has not begun.

        :param order: which one.
        :raises CassiahitchError: ``fencing_number_old``.
        """
        self._check(order.fencing_number)
        following = self.guard.following
        if following is not None and following.manifest == order.digest:
            self.guard.following = None

    async def work(self) -> None:
        """Perform the guard's actions until cancelled."""
        while True:
            await self._perform(await self.actions.get())

    async def watch(self, interval_s: float) -> None:
        """Notice an engine that restarted or changed what it has loaded.

        :param interval_s: seconds between samples.
        """
        while True:
            await asyncio.sleep(interval_s)
            await self._sample()

    async def _sample(self) -> None:
        admitted = self.guard.admitted
        if not admitted:
            return
        try:
            state = await self.sampler.sample()
        except PlatformError:
            return
        changed = (state.digest, state.load_epoch) != (admitted, self.load_epoch)
        if changed and self.guard.admitted == admitted:
            self._handle(guard.EngineLost())

    def _check(self, fencing_number: int) -> None:
        if fencing_number < self.guard.fencing_number:
            detail = f'{fencing_number} is below {self.guard.fencing_number}'
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
            case guard.ReadLoaded(number=number):
                await self._read(number)
            case guard.AdmitWork(manifest=manifest):
                self.executor.admit(manifest)
                await self._discard_replaced(manifest)
            case guard.ReportLoad():
                self._report(action)

    async def _discard_replaced(self, digest: str) -> None:
        """Keep the chunks of what is loaded and of newer versions only."""
        order = self.last_order
        if digest != order.digest:
            return
        for manifest in await self.on_loaded(order.manifests, self.ordered_at):
            self.complete.discard(manifest)
            self._handle(guard.ChunksDropped(manifest))

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
        self._handle(guard.LoadEnded(action.number, code))

    async def _read(self, number: int) -> None:
        digest = ''
        try:
            state = await self.sampler.sample()
        except PlatformError:
            self._handle(guard.LoadedRead(number, digest))
            return
        self.load_epoch = state.load_epoch
        self._handle(guard.LoadedRead(number, state.digest))

    def _report(self, action: guard.ReportLoad) -> None:
        self.loading = ''
        failed = action.code is not Code.ok
        kind = EventKind.load_refused if failed else EventKind.load_finished
        self.node.timeline.record(kind, rollout_id=action.manifest, code=action.code)
        self.node.metrics.count(CounterName.loads_failed if failed else CounterName.loads_finished)


async def _retain_all(_manifests: Iterable[str], _ordered_at: float) -> tuple[str, ...]:
    return ()


__all__ = ('Loader',)
