"""The manifests that this host fetches, holds and serves."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.agent.fetching import FetchTask
from cassiahitch.codes import Code
from cassiahitch.weights import api

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cassiahitch.agent.fetching import Surroundings
    from cassiahitch.wire.api import ReplySender
    from cassiahitch.wire.messages import ChunkRequest, FetchOrder

#: Seconds after which a fetch whose order is not repeated gives way to a newer one.
STALE_S = 3
#: Seconds before a fetch that failed is tried again, doubled with each failure.
RETRY_S = 1
MAX_RETRY_STEPS = 5


@dataclass(slots=True)
class Held:
    """A manifest that was ordered, with its latest fetch."""

    task: FetchTask
    ordered_at: float
    failures: int = 0
    retry_at: float = 0


class Distribution:
    """All manifests of this host."""

    def __init__(self, surroundings: Surroundings, on_complete: Callable[[str], None]) -> None:
        """Create it without manifests.

        :param surroundings: what fetching uses.
        :param on_complete: takes the digest of each manifest that becomes complete.
        """
        self.around = surroundings
        self.on_complete = on_complete
        self.held: dict[str, Held] = {}
        self.gone: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def chunks_complete(self) -> int:
        """Number of verified chunks on this host."""
        return sum(len(held.task.stored) for held in self.held.values())

    def chunks_of(self, manifest: str) -> int:
        """Return how many verified chunks of a manifest are on this host.

        :param manifest: its digest.
        :return: the number.
        """
        held = self.held.get(manifest)
        return len(held.task.stored) if held else 0

    def fetch(self, order: FetchOrder) -> None:
        """Start to fetch a manifest; an order for one under way changes nothing.

        A fetch that failed starts anew after a pause.

        :param order: the order of the controller.
        """
        now = self.around.node.clock.monotonic()
        held = self.held.get(order.manifest_digest)
        if held is None:
            held = Held(FetchTask(self.around, order, self.on_complete), now)
            self.held[order.manifest_digest] = held
            self._start(held)
        elif self._may_retry(held, now):
            held.task = FetchTask(self.around, order, self.on_complete)
            self._start(held)
        held.ordered_at = now
        self._cancel_stale(order, now)

    def heard(self, host: str) -> None:
        """Take note of a sign of life of another host.

        :param host: the host.
        """
        if host in self.gone:
            self.gone.discard(host)
            self._tell(api.ParticipantBack(host))
        self._tell(api.SourceAlive(host))

    def lost(self, host: str) -> None:
        """Take note of a host whose connection ended.

        :param host: the host.
        """
        self.gone.add(host)
        self._tell(api.ParticipantGone(host))

    async def serve(self, request: ChunkRequest, reply: ReplySender) -> None:
        """Send a chunk once it is on this host.

        :param request: which chunk, and how long its receiver waits.
        :param reply: sends to the receiver.
        """
        await self.around.service.serve(request, reply)

    async def retain(self, manifests: Iterable[str], ordered_at: float) -> tuple[str, ...]:
        """Discard the manifests that a newer load has replaced.

        :param manifests: digests of those that are loaded.
        :param ordered_at: when that load was ordered; later fetches stay.
        :return: digests of the discarded manifests.
        """
        kept = frozenset(manifests)
        dropped = tuple(
            digest
            for digest, held in self.held.items()
            if digest not in kept and held.task.code is Code.ok and held.ordered_at < ordered_at
        )
        for digest in dropped:
            self.held.pop(digest)
            self.around.service.drop(digest)
            await self.around.staging.discard(digest)
        return dropped

    def _may_retry(self, held: Held, now: float) -> bool:
        if held.task.code in {None, Code.ok}:
            return False
        if not held.retry_at:
            held.retry_at = now + RETRY_S * (1 << min(held.failures, MAX_RETRY_STEPS))
            held.failures += 1
        return now >= held.retry_at

    def _start(self, held: Held) -> None:
        held.retry_at = 0
        for host in self.gone:
            held.task.tell(api.ParticipantGone(host))
        task = asyncio.create_task(held.task.run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _cancel_stale(self, order: FetchOrder, now: float) -> None:
        """Cancel fetches of the same deployment that the controller no longer orders."""
        for digest, held in self.held.items():
            same = held.task.order.deployment == order.deployment
            if same and now - held.ordered_at > STALE_S:
                held.task.tell(api.Cancelled(digest))

    def _tell(self, message: api.FetchMessage) -> None:
        for held in self.held.values():
            held.task.tell(message)


__all__ = ('Distribution',)
