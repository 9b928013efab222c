"""Tests of runs on a backend server and of samples of its state."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from cassiahitch.agent.backend import Backend, RunResult
from cassiahitch.agent.sampler import StateSampler
from cassiahitch.codes import Code, HasRun
from cassiahitch.engine.api import CacheEvent, EngineState, GenerateRequest, LoadRequest
from cassiahitch.errors import PlatformError
from cassiahitch.ledger.api import Answer, Failure

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

ORDER = GenerateRequest('r1', b'menu', 0)
LOADED_STATE = EngineState('digest', load_epoch=1, running=0, queued=0)
UNAVAILABLE_ERROR = PlatformError(Code.engine_unavailable, 'refused')
CUT_SHORT_ERROR = PlatformError(Code.answer_cut_short, 'cut')


class FakeEngine:
    """Responds in two parts; crashes, loads or fails as configured.

    ``state_after_run`` is the engine state after a run, ``None`` if the engine is down then.
    """

    def __init__(self) -> None:
        self.loaded = LOADED_STATE
        self.down = False
        self.failure: PlatformError | None = None
        self.state_after_run: EngineState | None = LOADED_STATE
        self.samples = 0

    async def state(self) -> EngineState:
        self.samples += 1
        await asyncio.sleep(0)
        if self.down:
            raise UNAVAILABLE_ERROR
        return self.loaded

    async def load(self, order: LoadRequest) -> EngineState:
        raise NotImplementedError

    async def generate(self, order: GenerateRequest) -> AsyncGenerator[bytes, None]:
        if self.failure is UNAVAILABLE_ERROR:
            self.down = True
            raise UNAVAILABLE_ERROR
        yield b'dra'
        if self.failure is not None:
            raise self.failure
        yield b'ft'
        self.down = self.state_after_run is None
        self.loaded = self.state_after_run or self.loaded

    async def cancel(self, request_id: str) -> None:
        raise NotImplementedError

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        raise NotImplementedError


def run(engine: FakeEngine, *, plain: bool = False) -> RunResult:
    async def run_once() -> RunResult:
        backend = Backend(engine, StateSampler(engine), 5, 100, plain)
        return await backend.run(ORDER, 'digest', lambda _: None)

    return asyncio.run(run_once())


def test_complete_answer_names_its_weights() -> None:
    outcome = run(FakeEngine()).outcome
    assert isinstance(outcome, Answer)
    assert (outcome.content, outcome.metadata) == (b'draft', (('weights', 'digest'),))


@pytest.mark.parametrize(
    'state_after_run',
    [
        pytest.param(replace(LOADED_STATE, digest='other'), id='other-version'),
        pytest.param(replace(LOADED_STATE, load_epoch=2), id='loaded-again'),
        pytest.param(None, id='went-down'),
    ],
)
def test_answer_is_discarded_if_the_weights_may_have_changed(
    state_after_run: EngineState | None,
) -> None:
    engine = FakeEngine()
    engine.state_after_run = state_after_run
    assert run(engine).outcome == Failure(Code.weights_changed, HasRun.yes)


def test_answer_of_a_plain_service_stands_though_it_goes_down_afterwards() -> None:
    engine = FakeEngine()
    engine.state_after_run = None
    assert isinstance(run(engine, plain=True).outcome, Answer)


@pytest.mark.parametrize(
    ('failure', 'ran', 'crashed'),
    [
        pytest.param(UNAVAILABLE_ERROR, HasRun.no, True, id='not-reached'),
        pytest.param(CUT_SHORT_ERROR, HasRun.unknown, False, id='cut-but-up'),
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
    engine.loaded = replace(LOADED_STATE, digest='other')
    assert run(engine).outcome == Failure(Code.loaded_digest_wrong, HasRun.no)


def test_samples_of_requests_that_end_together_share_one_query() -> None:
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
        first_sample = asyncio.ensure_future(sampler.sample())
        while not engine.samples:
            await asyncio.sleep(0)
        engine.loaded = replace(LOADED_STATE, load_epoch=2)
        second_state = await sampler.sample()
        await first_sample
        return second_state

    assert asyncio.run(sample_around_a_load()).load_epoch == 2
