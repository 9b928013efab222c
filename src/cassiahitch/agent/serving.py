"""Serves the chunks of this host to other agents."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import ExitStack, suppress
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.metrics.names import CounterName
from cassiahitch.weights import api
from cassiahitch.weights.server import ChunkServer, ServeLimits
from cassiahitch.weights.tree import Tier
from cassiahitch.wire.messages import AnswerPart, ChunkReply

if TYPE_CHECKING:
    from cassiahitch.agent.links import HostLinks
    from cassiahitch.agent.staging import Staging
    from cassiahitch.weights.plan import RolloutPlan
    from cassiahitch.wire.api import ReplySender
    from cassiahitch.wire.messages import ChunkRequest
    from cassiahitch.wire.node import Node

#: Maximum time in seconds that a request waits for its chunk.
MAX_CHUNK_WAIT_S = 30
MS_PER_S = 1000
#: Limits of the chunk server; few concurrent uploads, since each holds one chunk in memory.
LIMITS = ServeLimits(max_uploads=4, wait_timeout_s=2 * MAX_CHUNK_WAIT_S)


class ChunkService:
    """Owns the state machine that schedules chunk requests, and performs its actions."""

    def __init__(self, node: Node, staging: Staging, links: HostLinks) -> None:
        """Create a service without manifests.

        :param node: identity and shared services of this process.
        :param staging: staging area with the chunks.
        :param links: rate limits of the host's link.
        """
        self.node = node
        self.staging = staging
        self.links = links
        self.server = ChunkServer(LIMITS)
        self.request_numbers = itertools.count(1)
        self.plans: dict[str, RolloutPlan] = {}
        self.waiters: dict[int, asyncio.Future[Code]] = {}
        self.uploads: dict[int, asyncio.Task[None]] = {}
        self.timer: asyncio.TimerHandle | None = None

    def offer(self, plan: RolloutPlan, priority: int = 0) -> None:
        """Start to serve the chunks of the manifest of a plan.

        :param plan: the rollout plan.
        :param priority: priority number of the manifest, the lowest is served first.
        """
        self.plans[plan.manifest] = plan
        self._handle(api.ManifestOffered(plan.manifest, priority))

    def record_stored(self, manifest: str, index: int) -> None:
        """Record that a chunk is in the staging area.

        :param manifest: digest of its manifest.
        :param index: index of the chunk.
        """
        self._handle(api.ChunkStored(manifest, index))

    def drop(self, manifest: str) -> None:
        """Stop serving a manifest.

        :param manifest: digest of the manifest.
        """
        self.plans.pop(manifest, None)
        self._handle(api.ManifestDropped(manifest))

    def close(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()

    async def serve(self, request: ChunkRequest, reply: ReplySender) -> None:
        """Send a chunk in parts as soon as it is stored, followed by a result code.

        :param request: the chunk, and the time that the receiver waits for it.
        :param reply: sends a reply to the receiver.
        """
        number = next(self.request_numbers)
        code = await self._wait(number, request)
        if code is Code.ok:
            code = await self._upload(number, request, reply)
        await reply(ChunkReply(request.manifest_digest, request.index, code))

    async def _wait(self, number: int, request: ChunkRequest) -> Code:
        waiter: asyncio.Future[Code] = asyncio.get_running_loop().create_future()
        self.waiters[number] = waiter
        tier = self._tier(request)
        chunk_request = api.ChunkRequested(
            number,
            request.host,
            request.manifest_digest,
            request.index,
            tier,
        )
        with ExitStack() as stack:
            stack.callback(self._end_wait, number)
            self._handle(chunk_request)
            with suppress(TimeoutError):
                async with asyncio.timeout(min(request.wait_ms / MS_PER_S, MAX_CHUNK_WAIT_S)):
                    return await waiter
        return Code.chunk_stalled

    def _end_wait(self, number: int) -> None:
        waiter = self.waiters.pop(number)
        if waiter.cancelled() or not waiter.done():
            self._handle(api.RequestCancelled(number))

    async def _upload(self, number: int, request: ChunkRequest, reply: ReplySender) -> Code:
        upload = asyncio.create_task(self._send_parts(number, request, reply))
        self.uploads[number] = upload
        with ExitStack() as stack:
            stack.callback(self._end_upload, number)
            await asyncio.wait((upload,))
        if upload.cancelled():
            return Code.chunk_stalled
        error = upload.exception()
        if error is None:
            return Code.ok
        if isinstance(error, CassiahitchError):
            return error.code
        raise error

    def _end_upload(self, number: int) -> None:
        self.uploads.pop(number).cancel()
        self._handle(api.UploadEnded(number))

    async def _send_parts(self, number: int, request: ChunkRequest, reply: ReplySender) -> None:
        content = await self.staging.read(request.manifest_digest, request.index)
        size = self.links.part_bytes
        for position, start in enumerate(range(0, len(content), size)):
            part = content[start : start + size]
            await self.links.send(len(part))
            await reply(AnswerPart(b'', position, part))
            self._handle(api.UploadProgressed(number))
        self.node.metrics.count(CounterName.chunk_bytes_sent, by=len(content))

    def _tier(self, request: ChunkRequest) -> Tier:
        settings = self.node.settings
        plan = self.plans.get(request.manifest_digest)
        members = plan.participants if plan else ()
        for member in members:
            if member.host == request.host:
                if member.region != settings.region:
                    return Tier.region
                is_same_domain = member.failure_domain == settings.failure_domain
                return Tier.host if is_same_domain else Tier.failure_domain
        return Tier.joiner

    def _handle(self, message: api.ServeMessage) -> None:
        for action in self.server.handle(message, self.node.clock.monotonic()):
            self._perform(action)

    def _perform(self, action: api.ServeAction) -> None:
        match action:
            case api.SendChunk(request=number):
                self._resolve(number, Code.ok)
            case api.RefuseRequest(request=number, code=code):
                self._resolve(number, code)
            case api.ScheduleTick(time=time):
                self.close()
                delay = max(0, time - self.node.clock.monotonic())
                loop = asyncio.get_running_loop()
                self.timer = loop.call_later(delay, self._handle, api.Tick())

    def _resolve(self, number: int, code: Code) -> None:
        upload = self.uploads.get(number)
        if upload is not None:
            upload.cancel()
        waiter = self.waiters.get(number)
        if waiter is not None:
            with suppress(asyncio.InvalidStateError):
                waiter.set_result(code)


__all__ = ('ChunkService',)
