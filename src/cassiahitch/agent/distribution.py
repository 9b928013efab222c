"""Fetching, retention and serving of all manifests of this host."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.agent.fetching import FetchTask
from cassiahitch.codes import Code
from cassiahitch.weights import api

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cassiahitch.agent.fetching import FetchContext
    from cassiahitch.wire.api import ReplySender
    from cassiahitch.wire.messages import ChunkRequest, FetchOrder

#: Seconds without a repeated order after which a newer order cancels a fetch.
FETCH_STALE_AFTER_S = 3
#: Seconds before a failed fetch is retried, doubled with each failure.
RETRY_DELAY_S = 1
MAX_RETRY_STEPS = 5


@dataclass(slots=True)
class ManifestFetch:
    """Latest fetch of a manifest, and its retries.

    Times are monotonic; ``retry_at`` is 0 while no retry is scheduled.
    """

    task: FetchTask
    ordered_at: float
    failures: int = 0
    retry_at: float = 0


class Distribution:
    """Manages the fetches of all manifests of this host."""

    def __init__(self, context: FetchContext, on_complete: Callable[[str], None]) -> None:
        """Create a distribution without manifests.

        :param context: components that the fetches use.
        :param on_complete: called with the digest of each manifest that becomes complete.
        """
        self.context = context
        self.on_complete = on_complete
        self.manifest_fetches: dict[str, ManifestFetch] = {}
        self.lost_hosts: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def chunks_complete(self) -> int:
        """Number of verified chunks on this host."""
        return sum(len(fetch.task.stored_chunks) for fetch in self.manifest_fetches.values())

    def stored_chunk_count(self, manifest: str) -> int:
        """Return how many verified chunks of a manifest are on this host.

        :param manifest: digest of the manifest.
        :return: the number of chunks.
        """
        fetch = self.manifest_fetches.get(manifest)
        return len(fetch.task.stored_chunks) if fetch else 0

    def fetch(self, order: FetchOrder) -> None:
        """Start to fetch a manifest, unless a fetch is in progress or complete.

        A failed fetch restarts with the first order after its retry delay.

        :param order: the order from the controller.
        """
        now = self.context.node.clock.monotonic()
        fetch = self.manifest_fetches.get(order.manifest_digest)
        if fetch is None:
            fetch = ManifestFetch(FetchTask(self.context, order, self.on_complete), now)
            self.manifest_fetches[order.manifest_digest] = fetch
            self._start(fetch)
        elif self._may_retry(fetch, now):
            fetch.task = FetchTask(self.context, order, self.on_complete)
            self._start(fetch)
        fetch.ordered_at = now
        self._cancel_stale(order, now)

    def record_host_alive(self, host: str) -> None:
        """Record that a heartbeat was received from another host.

        :param host: name of the host.
        """
        if host in self.lost_hosts:
            self.lost_hosts.discard(host)
            self._notify_fetches(api.ParticipantRestored(host))
        self._notify_fetches(api.SourceAlive(host))

    def record_host_lost(self, host: str) -> None:
        """Record that the connection to another host ended.

        :param host: name of the host.
        """
        self.lost_hosts.add(host)
        self._notify_fetches(api.ParticipantLost(host))

    async def serve(self, request: ChunkRequest, reply: ReplySender) -> None:
        """Send a chunk as soon as it is stored on this host.

        :param request: the chunk, and the time that the receiver waits for it.
        :param reply: sends a reply to the receiver.
        """
        await self.context.service.serve(request, reply)

    async def discard_replaced(
        self, manifests: Iterable[str], ordered_at: float
    ) -> tuple[str, ...]:
        """Discard the complete manifests that a newer load has replaced.

        :param manifests: digests of the loaded manifests, which are retained.
        :param ordered_at: monotonic time of the load order; manifests ordered since are retained.
        :return: digests of the discarded manifests.
        """
        retained = frozenset(manifests)
        discarded = tuple(
            digest
            for digest, fetch in self.manifest_fetches.items()
            if digest not in retained
            and fetch.task.code is Code.ok
            and fetch.ordered_at < ordered_at
        )
        for digest in discarded:
            self.manifest_fetches.pop(digest)
            self.context.service.drop(digest)
            await self.context.staging.discard(digest)
        return discarded

    def _may_retry(self, fetch: ManifestFetch, now: float) -> bool:
        if fetch.task.code in {None, Code.ok}:
            return False
        if not fetch.retry_at:
            fetch.retry_at = now + RETRY_DELAY_S * (1 << min(fetch.failures, MAX_RETRY_STEPS))
            fetch.failures += 1
        return now >= fetch.retry_at

    def _start(self, fetch: ManifestFetch) -> None:
        fetch.retry_at = 0
        for host in self.lost_hosts:
            fetch.task.post(api.ParticipantLost(host))
        task = asyncio.create_task(fetch.task.run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _cancel_stale(self, order: FetchOrder, now: float) -> None:
        """Cancel fetches of the same deployment whose orders are no longer repeated."""
        for digest, fetch in self.manifest_fetches.items():
            is_same_deployment = fetch.task.order.deployment == order.deployment
            if is_same_deployment and now - fetch.ordered_at > FETCH_STALE_AFTER_S:
                fetch.task.post(api.RolloutCancelled(digest))

    def _notify_fetches(self, message: api.FetchMessage) -> None:
        for fetch in self.manifest_fetches.values():
            fetch.task.post(message)


__all__ = ('Distribution',)
