"""Runs requests on the backend server of the host and checks what answered."""

from __future__ import annotations

import asyncio
import hashlib
from contextlib import aclosing, suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.engine.api import GenerateOrder
from cassiahitch.errors import PlatformError
from cassiahitch.ledger.api import Answer, Failure
from cassiahitch.wire.answers import WEIGHTS_KEY

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

    from cassiahitch.agent.sampler import StateSampler
    from cassiahitch.engine.api import Engine, EngineState


_CRASHES = frozenset((Code.engine_unavailable, Code.answer_cut_short))


@dataclass(frozen=True, slots=True)
class RunResult:
    """End of a run; ``crashed`` tells whether the backend server went down meanwhile."""

    outcome: Answer | Failure
    crashed: bool = False


@dataclass(frozen=True, slots=True)
class Backend:
    """The backend server of a host; a plain one has no weights."""

    engine: Engine
    sampler: StateSampler
    progress_timeout_s: float
    max_answer_bytes: int
    plain: bool = False

    async def run(
        self,
        order: GenerateOrder,
        expected_digest: str,
        on_part: Callable[[bytes], None],
    ) -> RunResult:
        """Run a request.

        :param order: the request.
        :param expected_digest: digest of the weights that this agent had loaded, hexadecimal.
        :param on_part: takes each part of the answer.
        :return: the whole answer, or the failure.
        """
        try:
            before = await self.sampler.known()
        except PlatformError as error:
            return RunResult(Failure(error.code, HasRun.no), crashed=_is_crash(error))
        if not self.plain and before.digest != expected_digest:
            return RunResult(Failure(Code.loaded_digest_wrong, HasRun.no))
        try:
            return await self._generate(order, before, on_part)
        except PlatformError as error:
            ran = HasRun.no if error.code is Code.engine_unavailable else HasRun.unknown
            return RunResult(Failure(error.code, ran), crashed=await self._is_down(error))

    async def cancel(self, request_id: str) -> None:
        """Stop a request that runs; a failure to do so is harmless.

        :param request_id: hexadecimal request id.
        """
        with suppress(PlatformError):
            await self.engine.cancel(request_id)

    async def _generate(
        self,
        order: GenerateOrder,
        before: EngineState,
        on_part: Callable[[bytes], None],
    ) -> RunResult:
        content = bytearray()
        async with aclosing(self._parts(order)) as parts:
            async for part in parts:
                content += part
                if len(content) > self.max_answer_bytes:
                    return RunResult(Failure(Code.engine_answer_corrupt, HasRun.yes))
                on_part(part)
        if not (self.plain or await self._is_unchanged(before)):
            return RunResult(Failure(Code.weights_changed, HasRun.yes))
        whole = bytes(content)
        metadata = ((WEIGHTS_KEY, before.digest),)
        return RunResult(Answer(whole, hashlib.sha256(whole).hexdigest(), metadata))

    async def _is_unchanged(self, before: EngineState) -> bool:
        try:
            after = await self.sampler.sample()
        except PlatformError:
            return False
        return (after.digest, after.load_epoch) == (before.digest, before.load_epoch)

    async def _parts(self, order: GenerateOrder) -> AsyncGenerator[bytes, None]:
        async with aclosing(self.engine.generate(order)) as parts:
            while True:
                try:
                    part = await asyncio.wait_for(anext(parts), self.progress_timeout_s)
                except StopAsyncIteration:
                    return
                except TimeoutError as error:
                    detail = f'no progress for {self.progress_timeout_s} s'
                    raise PlatformError(Code.answer_cut_short, detail) from error
                yield part

    async def _is_down(self, error: PlatformError) -> bool:
        if not _is_crash(error):
            return False
        try:
            await self.sampler.sample()
        except PlatformError as probe:
            return probe.code is Code.engine_unavailable
        return False


def _is_crash(error: PlatformError) -> bool:
    return error.code in _CRASHES


__all__ = (
    'Backend',
    'RunResult',
)
