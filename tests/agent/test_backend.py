"""Tests of runs on a backend server."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from cassiahitch.agent.backend import Backend, RunResult
from cassiahitch.agent.sampler import StateSampler
from cassiahitch.codes import Code, HasRun
from cassiahitch.engine.api import CacheEvent, EngineState, GenerateOrder, LoadOrder
from cassiahitch.errors import PlatformError
from cassiahitch.ledger.api import Answer, Failure

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

ORDER = GenerateOrder('r1', b'menu', 0)
LOADED = EngineState('digest', load_epoch=1, running=0, queued=0)
DOWN = PlatformError(Code.engine_unavailable, 'refused')
CUT = PlatformError(Code.answer_cut_short, 'cut')


class FakeEngine:
    """Answers in two parts; goes down, loads or fails at chosen moments."""

    def __init__(self) -> None:
        self.loaded = LOADED
        self.down = False
        self.failure: PlatformError | None = None
        self.after: EngineState | None = LOADED
        self.samples = 0

    async def state(self) -> EngineState:
        self.samples += 1
        await asyncio.sleep(0)
        if self.down:
            raise DOWN
        return self.loaded

    async def load(self, order: LoadOrder) -> EngineState:
        raise NotImplementedError

    async def generate(self, order: GenerateOrder) -> AsyncGenerator[bytes, None]:
        if self.failure is DOWN:
            self.down = True
            raise DOWN
        yield b'dra'
        if self.failure is not None:
            raise self.failure
        yield b'ft'
        self.down = self.after is None
        self.loaded = self.after or self.loaded

    async def cancel(self, request_id: str) -> None:
        raise NotImplementedError

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        raise NotImplementedError


def run(engine: FakeEngine, *, plain: bool = False) -> RunResult:
    async def run_once() -> RunResult:
        backend = Backend(engine, StateSampler(engine), 5, 100, plain)
        return await backend.run(ORDER, 'digest', lambda _: None)

    return asyncio.run(run_once())


def test_whole_answer_names_its_weights() -> None:
    outcome = run(FakeEngine()).outcome
    assert isinstance(outcome, Answer)
    assert (outcome.content, outcome.metadata) == (b'draft', (('weights', 'digest'),))


@pytest.mark.parametrize(
    'after',
    [
        pytest.param(replace(LOADED, digest='other'), id='other-version'),
        pytest.param(replace(LOADED, load_epoch=2), id='loaded-again'),
        pytest.param(None, id='went-down'),
    ],
)
def test_answer_is_discarded_if_the_weights_may_have_changed(after: EngineState | None) -> None:
    engine = FakeEngine()
    engine.after = after
    assert run(engine).outcome == Failure(Code.weights_changed, HasRun.yes)


def test_answer_of_a_plain_service_stands_though_it_goes_down_afterwards() -> None:
    engine = FakeEngine()
    engine.after = None
    assert isinstance(run(engine, plain=True).outcome, Answer)


@pytest.mark.parametrize(
    ('failure', 'ran', 'crashed'),
    [
        pytest.param(DOWN, HasRun.no, True, id='not-reached'),
        pytest.param(CUT, HasRun.unknown, False, id='cut-but-up'),
    ],
)
def test_failed_run_says_whether_it_may_have_run(
    failure: PlatformError,
    ran: HasRun,
    *,
    crashed: bool,
) -> None:
    engine = FakeEngine()
    engine.failure = failure
    assert run(engine) == RunResult(Failure(failure.code, ran), crashed)


def test_other_version_than_expected_does_not_run() -> None:
    engine = FakeEngine()
    engine.loaded = replace(LOADED, digest='other')
    assert run(engine).outcome == Failure(Code.loaded_digest_wrong, HasRun.no)


def test_samples_of_requests_that_end_together_are_one_question() -> None:
    engine = FakeEngine()

    async def sample_together() -> None:
        sampler = StateSampler(engine)
        await asyncio.gather(*(sampler.sample() for _ in range(20)))

    asyncio.run(sample_together())
    assert engine.samples == 1


def test_sample_is_never_older_than_the_request_for_it() -> None:
    engine = FakeEngine()

    async def sample_around_a_load() -> EngineState:
        sampler = StateSampler(engine)
        early = asyncio.ensure_future(sampler.sample())
        while not engine.samples:
            await asyncio.sleep(0)
        engine.loaded = replace(LOADED, load_epoch=2)
        late = await sampler.sample()
        await early
        return late

    assert asyncio.run(sample_around_a_load()).load_epoch == 2
