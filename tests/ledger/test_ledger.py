"""Tests of the request ledger."""

from __future__ import annotations

import pytest

from cassiahitch.codes import Code, HasRun
from cassiahitch.ledger.api import (
    Action,
    Answer,
    Answered,
    Begin,
    Dispatch,
    Fail,
    Failure,
    Finish,
    Joined,
    LedgerLimits,
    Refused,
    Run,
    Start,
    State,
    StateReply,
    Status,
    Sweep,
    Swept,
    Void,
)
from cassiahitch.ledger.ledger import Ledger

INCARNATION = 7
KEEP_S = 100
ANSWER = Answer(b'menu', 'digest')
LIMITS = LedgerLimits(
    entries=3,
    voids=2,
    bytes_kept=300,
    answer_bytes=100,
    waiters=2,
    horizon_s=10,
    void_s=20,
    settle_s=90,
)


@pytest.fixture
def ledger() -> Ledger:
    return Ledger(INCARNATION, LIMITS)


def dispatch(key: str = 'k', request_id: str = 'r', body: str = 'b', at: float = 5) -> Dispatch:
    return Dispatch(key, request_id, body, INCARNATION, at, KEEP_S)


def void(key: str = 'k', at: float = 5) -> Void:
    return Void(key, 'b', at, INCARNATION)


def test_request_runs_once_and_each_retry_gets_its_answer(ledger: Ledger) -> None:
    assert ledger.handle(dispatch(), 0) == (Run('k'),)
    assert ledger.handle(dispatch(request_id='again'), 0) == (Joined('k', 'again'),)
    assert ledger.handle(Start('k'), 1) == (Begin('k'),)
    assert not ledger.handle(Start('k'), 1)
    told = ledger.handle(Finish('k', ANSWER), 2)
    assert told == (Answered('k', 'r', ANSWER), Answered('k', 'again', ANSWER))
    late = ledger.handle(dispatch(request_id='late'), 50)
    assert late == (Answered('k', 'late', ANSWER, replayed=True),)


@pytest.mark.parametrize(
    ('message', 'now', 'refusal'),
    [
        pytest.param(
            Dispatch('k', 'r', 'b', 8, 5),
            0,
            Refused('r', Code.wrong_incarnation, HasRun.unknown),
            id='other-incarnation',
        ),
        pytest.param(dispatch(), 6, Refused('r', Code.dispatch_too_late, HasRun.no), id='late'),
        pytest.param(
            dispatch(at=11), 0, Refused('r', Code.dispatch_too_late, HasRun.no), id='beyond-horizon'
        ),
        pytest.param(
            dispatch(), 96, Refused('r', Code.dispatch_too_late, HasRun.unknown), id='forgotten'
        ),
    ],
)
def test_dispatch_is_refused(
    ledger: Ledger, message: Dispatch, now: float, refusal: Refused
) -> None:
    assert ledger.handle(message, now) == (refusal,)
    assert not ledger.handle(Start('k'), now)


def test_key_with_another_body_is_refused(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    other = dispatch(request_id='other', body='c')
    assert ledger.handle(other, 0) == (Refused('other', Code.key_reused, HasRun.no),)


def test_question_for_another_body_tells_nothing_of_the_key(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    assert ledger.handle(Void('k', 'c', 5, INCARNATION), 0) == (StateReply('k', State.reused),)
    ledger.handle(Start('k'), 0)
    ledger.handle(Finish('k', ANSWER), 1)
    reused = (StateReply('k', State.reused),)
    assert ledger.handle(Status('k', 'c', 5, INCARNATION), 1) == reused


def test_void_of_absent_key_refuses_its_late_dispatch(ledger: Ledger) -> None:
    assert ledger.handle(void(), 0) == (StateReply('k', State.void),)
    assert ledger.handle(dispatch(), 1) == (Refused('r', Code.request_voided, HasRun.no),)


def test_void_of_queued_key_refuses_its_requests(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    told = ledger.handle(void(), 1)
    assert told == (Refused('r', Code.request_voided, HasRun.no), StateReply('k', State.void))
    assert not ledger.handle(Start('k'), 1)


def test_takeover_of_a_queued_key_does_not_say_that_it_never_runs(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    told = ledger.handle(Void('k', 'b', 5, INCARNATION, takeover=True), 1)
    refusal = Refused('r', Code.claimed_elsewhere, HasRun.unknown)
    assert told == (refusal, StateReply('k', State.void))


def test_void_of_running_or_done_key_says_so(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    ledger.handle(Start('k'), 0)
    assert ledger.handle(void(), 1) == (StateReply('k', State.running),)
    ledger.handle(Finish('k', ANSWER), 2)
    assert ledger.handle(void(), 3) == (StateReply('k', State.done, ANSWER),)


@pytest.mark.parametrize(
    ('ran', 'state'),
    [
        pytest.param(HasRun.no, State.void, id='not-run'),
        pytest.param(HasRun.unknown, State.done, id='unknown'),
        pytest.param(HasRun.yes, State.done, id='run'),
    ],
)
def test_failed_key_never_runs_again(ledger: Ledger, ran: HasRun, state: State) -> None:
    ledger.handle(dispatch(), 0)
    ledger.handle(Start('k'), 0)
    ledger.handle(Fail('k', Code.backend_failed, ran), 1)
    assert ledger.state('k') == state
    assert not ledger.handle(Start('k'), 2)
    assert Run('k') not in ledger.handle(dispatch(request_id='again'), 2)


def test_void_is_kept_longer_than_any_dispatch_and_then_swept(ledger: Ledger) -> None:
    ledger.handle(void(at=10), 0)
    assert ledger.handle(Sweep(9), LIMITS.horizon_s) == (Swept(0),)
    assert ledger.handle(Sweep(9), LIMITS.void_s + 1) == (Swept(1),)
    assert ledger.state('k') == State.absent


def test_swept_outcome_is_never_taken_for_a_request_that_did_not_run(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    ledger.handle(Start('k'), 0)
    ledger.handle(Finish('k', ANSWER), 1)
    assert ledger.handle(Sweep(9), 105) == (Swept(0),)
    assert ledger.handle(Sweep(9), 106) == (Swept(1),)
    assert ledger.handle(void(), 106) == (StateReply('k', State.forgotten),)
    assert ledger.handle(Status('k', 'b', 5, INCARNATION), 106) == (
        StateReply('k', State.forgotten),
    )


def test_question_for_another_incarnation_is_not_answered(ledger: Ledger) -> None:
    assert ledger.handle(Void('k', 'b', 5, 8), 0) == (StateReply('k', State.forgotten),)


def full(ledger: Ledger, count: int) -> tuple[Action, ...]:
    for index in range(count):
        actions = ledger.handle(dispatch(f'k{index}', f'r{index}'), 0)
    return actions


def test_full_ledger_refuses_and_its_refusals_hold(ledger: Ledger) -> None:
    assert full(ledger, 4) == (Refused('r3', Code.ledger_full, HasRun.no),)
    ledger.handle(Fail('k0', Code.backend_failed, HasRun.no), 1)
    again = ledger.handle(dispatch('k3', 'r3'), 1)
    assert again == (Refused('r3', Code.request_voided, HasRun.no),)
    assert ledger.handle(dispatch('k4', 'r4'), 1) == (Run('k4'),)


def test_full_ledger_without_room_for_void_keys_is_not_certain(ledger: Ledger) -> None:
    assert full(ledger, 6) == (Refused('r5', Code.ledger_full, HasRun.unknown),)
    assert ledger.handle(void('k9'), 0) == (StateReply('k9', State.forgotten),)


def test_bytes_are_bounded_and_large_answers_are_not_kept(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    large = Answer(b'x' * 101, 'digest')
    assert ledger.handle(Finish('k', large), 1) == (Answered('k', 'r', large),)
    replay = ledger.handle(dispatch(request_id='again'), 2)
    outcome = Failure(Code.answer_not_kept, HasRun.yes)
    assert replay == (Answered('k', 'again', outcome, replayed=True),)
    assert ledger.records.bytes_kept == 0


def test_requests_that_wait_for_a_key_are_bounded(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    ledger.handle(dispatch(request_id='r2'), 0)
    refusal = Refused('r3', Code.request_in_progress, HasRun.unknown)
    assert ledger.handle(dispatch(request_id='r3'), 0) == (refusal,)
