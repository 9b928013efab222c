"""Serves the chunks on this host to other agents."""

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

#: Longest time for which a request waits for its chunk, in seconds.
CHUNK_WAIT_S = 30
MS_PER_S = 1000
#: Uploads at once, each of which holds one chunk in memory.
LIMITS = ServeLimits(uploads=4, wait_s=2 * CHUNK_WAIT_S)


class ChunkService:
    """Owns the decision which request is answered next, and performs it."""

    def __init__(self, node: Node, staging: Staging, links: HostLinks) -> None:
        """Create a service without manifests.

        :param node: this process.
        :param staging: where the chunks are.
        :param links: paces what is sent.
        """
        self.node = node
        self.staging = staging
        self.links = links
        self.server = ChunkServer(LIMITS)
        self.numbers = itertools.count(1)
        self.plans: dict[str, RolloutPlan] = {}
        self.waiting: dict[int, asyncio.Future[Code]] = {}
        self.uploads: dict[int, asyncio.Task[None]] = {}
        self.timer: asyncio.TimerHandle | None = None

    def offer(self, plan: RolloutPlan, priority: int = 0) -> None:
        """Serve the chunks of a plan's manifest as they are stored.

        :param plan: the plan.
        :param priority: the lowest goes first.
        """
        self.plans[plan.manifest] = plan
        self._handle(api.ManifestOffered(plan.manifest, priority))

    def stored(self, manifest: str, index: int) -> None:
        """Take note of a chunk that is in the staging area.

        :param manifest: its digest.
        :param index: position of the chunk.
        """
        self._handle(api.ChunkStored(manifest, index))

    def drop(self, manifest: str) -> None:
        """Serve a manifest no longer.

        :param manifest: its digest.
        """
        self.plans.pop(manifest, None)
        self._handle(api.ManifestDropped(manifest))

    def close(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()

    async def serve(self, request: ChunkRequest, reply: ReplySender) -> None:
        """Send a chunk in parts, once it is here, and then how that ended.

        :param request: which chunk, and how long its receiver waits.
        :param reply: sends to the receiver.
        """
        number = next(self.numbers)
        code = await self._wait(number, request)
        if code is Code.ok:
            code = await self._upload(number, request, reply)
        await reply(ChunkReply(request.manifest_digest, request.index, code))

    async def _wait(self, number: int, request: ChunkRequest) -> Code:
        waiting: asyncio.Future[Code] = asyncio.get_running_loop().create_future()
        self.waiting[number] = waiting
        tier = self._tier(request)
        asked = api.ChunkRequested(
            number,
            request.host,
            request.manifest_digest,
            request.index,
            tier,
        )
        with ExitStack() as stack:
            stack.callback(self._end_wait, number)
            self._handle(asked)
            with suppress(TimeoutError):
                async with asyncio.timeout(min(request.wait_ms / MS_PER_S, CHUNK_WAIT_S)):
                    return await waiting
        return Code.chunk_stalled

    def _end_wait(self, number: int) -> None:
        waiting = self.waiting.pop(number)
        if waiting.cancelled() or not waiting.done():
            self._handle(api.RequestGone(number))

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
        own = self.node.settings
        plan = self.plans.get(request.manifest_digest)
        members = plan.participants if plan else ()
        for member in members:
            if member.host == request.host:
                if member.region != own.region:
                    return Tier.region
                same = member.failure_domain == own.failure_domain
                return Tier.host if same else Tier.failure_domain
        return Tier.stray

    def _handle(self, message: api.ServeMessage) -> None:
        for action in self.server.handle(message, self.node.clock.monotonic()):
            self._perform(action)

    def _perform(self, action: api.ServeAction) -> None:
        match action:
            case api.SendChunk(request=number):
                self._answer(number, Code.ok)
            case api.RefuseRequest(request=number, code=code):
                self._answer(number, code)
            case api.WakeAt(time=time):
                self.close()
                delay = max(0, time - self.node.clock.monotonic())
                loop = asyncio.get_running_loop()
                self.timer = loop.call_later(delay, self._handle, api.Tick())

    def _answer(self, number: int, code: Code) -> None:
        upload = self.uploads.get(number)
        if upload is not None:
            upload.cancel()
        waiting = self.waiting.get(number)
        if waiting is not None:
            with suppress(asyncio.InvalidStateError):
                waiting.set_result(code)


__all__ = ('ChunkService',)
