"""Runs requests on the backend server of the host and verifies which weights it used."""

from __future__ import annotations

import asyncio
import hashlib
from contextlib import aclosing, suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.engine.api import GenerateRequest
from cassiahitch.errors import PlatformError
from cassiahitch.ledger.api import Answer, Failure
from cassiahitch.wire.answers import WEIGHTS_KEY

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

    from cassiahitch.agent.sampler import StateSampler
    from cassiahitch.engine.api import Engine, EngineState


_CRASH_CODES = frozenset((Code.engine_unavailable, Code.answer_cut_short))


@dataclass(frozen=True, slots=True)
class RunResult:
    """Outcome of a run; ``crashed`` is whether the backend server crashed during the run."""

    outcome: Answer | Failure
    crashed: bool = False


@dataclass(frozen=True, slots=True)
class Backend:
    """Client of the backend server of a host; ``plain`` is whether it serves without weights.

    ``progress_timeout_s`` is the maximum time between two parts of a response.
    """

    engine: Engine
    sampler: StateSampler
    progress_timeout_s: float
    max_response_bytes: int
    plain: bool = False

    async def run(
        self,
        order: GenerateRequest,
        expected_digest: str,
        on_part: Callable[[bytes], None],
    ) -> RunResult:
        """Run a request.

        :param order: the request.
        :param expected_digest: hexadecimal digest of the weights that should be loaded.
        :param on_part: called with each part of the response.
        :return: the complete response, or the failure.
        """
        try:
            state_before = await self.sampler.latest_state()
        except PlatformError as error:
            return RunResult(Failure(error.code, HasRun.no), crashed=_is_crash(error))
        if not self.plain and state_before.digest != expected_digest:
            return RunResult(Failure(Code.loaded_digest_wrong, HasRun.no))
        try:
            return await self._generate(order, state_before, on_part)
        except PlatformError as error:
            ran = HasRun.no if error.code is Code.engine_unavailable else HasRun.unknown
            return RunResult(Failure(error.code, ran), crashed=await self._is_down(error))

    async def cancel(self, request_id: str) -> None:
        """Cancel a running request; errors are ignored.

        :param request_id: hexadecimal request id.
        """
        with suppress(PlatformError):
            await self.engine.cancel(request_id)

    async def _generate(
        self,
        order: GenerateRequest,
        state_before: EngineState,
        on_part: Callable[[bytes], None],
    ) -> RunResult:
        content = bytearray()
        async with aclosing(self._parts(order)) as parts:
            async for part in parts:
                content += part
                if len(content) > self.max_response_bytes:
                    return RunResult(Failure(Code.engine_answer_corrupt, HasRun.yes))
                on_part(part)
        if not (self.plain or await self._is_unchanged(state_before)):
            return RunResult(Failure(Code.weights_changed, HasRun.yes))
        body = bytes(content)
        metadata = ((WEIGHTS_KEY, state_before.digest),)
        return RunResult(Answer(body, hashlib.sha256(body).hexdigest(), metadata))

    async def _is_unchanged(self, state_before: EngineState) -> bool:
        try:
            state_after = await self.sampler.sample()
        except PlatformError:
            return False
        return (state_after.digest, state_after.load_epoch) == (
            state_before.digest,
            state_before.load_epoch,
        )

    async def _parts(self, order: GenerateRequest) -> AsyncGenerator[bytes, None]:
        async with aclosing(self.engine.generate(order)) as parts:
            while True:
                try:
                    part = await asyncio.wait_for(anext(parts), self.progress_timeout_s)
                except StopAsyncIteration:
                    return
                except TimeoutError as error:
                    detail = f'no part of the response arrived for {self.progress_timeout_s} s'
                    raise PlatformError(Code.answer_cut_short, detail) from error
                yield part

    async def _is_down(self, error: PlatformError) -> bool:
        if not _is_crash(error):
            return False
        try:
            await self.sampler.sample()
        except PlatformError as probe_error:
            return probe_error.code is Code.engine_unavailable
        return False


def _is_crash(error: PlatformError) -> bool:
    return error.code in _CRASH_CODES


__all__ = (
    'Backend',
    'RunResult',
)
