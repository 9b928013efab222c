"""Tests of the request ledger."""

from __future__ import annotations

import pytest

from cassiahitch.codes import Code, HasRun
from cassiahitch.ledger.api import (
    Action,
    Answer,
    Dispatch,
    Enqueue,
    Execute,
    Fail,
    Failure,
    Finish,
    KeyState,
    LedgerLimits,
    RecordsSwept,
    RequestAnswered,
    RequestJoined,
    RequestRefused,
    StateReply,
    Status,
    Sweep,
    TryStart,
    Void,
)
from cassiahitch.ledger.ledger import Ledger

INCARNATION = 7
OUTCOME_RETENTION_S = 100
ANSWER = Answer(b'menu', 'digest')
LIMITS = LedgerLimits(
    max_keys=3,
    max_voids=2,
    max_kept_bytes=300,
    max_answer_bytes=100,
    max_waiters=2,
    horizon_s=10,
    void_retention_s=20,
    min_retention_s=90,
)


@pytest.fixture
def ledger() -> Ledger:
    return Ledger(INCARNATION, LIMITS)


def dispatch(
    key: str = 'k', request_id: str = 'r', body: str = 'b', not_after: float = 5
) -> Dispatch:
    return Dispatch(key, request_id, body, INCARNATION, not_after, OUTCOME_RETENTION_S)


def void(key: str = 'k', not_after: float = 5) -> Void:
    return Void(key, 'b', not_after, INCARNATION)


def test_request_runs_once_and_each_retry_gets_its_answer(ledger: Ledger) -> None:
    assert ledger.handle(dispatch(), 0) == (Enqueue('k'),)
    assert ledger.handle(dispatch(request_id='again'), 0) == (RequestJoined('k', 'again'),)
    assert ledger.handle(TryStart('k'), 1) == (Execute('k'),)
    assert not ledger.handle(TryStart('k'), 1)
    actions = ledger.handle(Finish('k', ANSWER), 2)
    assert actions == (RequestAnswered('k', 'r', ANSWER), RequestAnswered('k', 'again', ANSWER))
    late = ledger.handle(dispatch(request_id='late'), 50)
    assert late == (RequestAnswered('k', 'late', ANSWER, replayed=True),)


@pytest.mark.parametrize(
    ('message', 'now', 'refusal'),
    [
        pytest.param(
            Dispatch('k', 'r', 'b', 8, 5),
            0,
            RequestRefused('r', Code.wrong_incarnation, HasRun.unknown),
            id='other-incarnation',
        ),
        pytest.param(
            dispatch(), 6, RequestRefused('r', Code.dispatch_too_late, HasRun.no), id='late'
        ),
        pytest.param(
            dispatch(not_after=11),
            0,
            RequestRefused('r', Code.dispatch_too_late, HasRun.no),
            id='beyond-horizon',
        ),
        pytest.param(
            dispatch(),
            96,
            RequestRefused('r', Code.dispatch_too_late, HasRun.unknown),
            id='forgotten',
        ),
    ],
)
def test_dispatch_is_refused(
    ledger: Ledger, message: Dispatch, now: float, refusal: RequestRefused
) -> None:
    assert ledger.handle(message, now) == (refusal,)
    assert not ledger.handle(TryStart('k'), now)


def test_key_with_another_body_is_refused(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    other = dispatch(request_id='other', body='c')
    assert ledger.handle(other, 0) == (RequestRefused('other', Code.key_reused, HasRun.no),)


def test_query_for_another_body_does_not_reveal_the_state(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    assert ledger.handle(Void('k', 'c', 5, INCARNATION), 0) == (StateReply('k', KeyState.reused),)
    ledger.handle(TryStart('k'), 0)
    ledger.handle(Finish('k', ANSWER), 1)
    reused = (StateReply('k', KeyState.reused),)
    assert ledger.handle(Status('k', 'c', 5, INCARNATION), 1) == reused


def test_void_of_absent_key_refuses_its_late_dispatch(ledger: Ledger) -> None:
    assert ledger.handle(void(), 0) == (StateReply('k', KeyState.void),)
    assert ledger.handle(dispatch(), 1) == (RequestRefused('r', Code.request_voided, HasRun.no),)


def test_void_of_queued_key_refuses_its_requests(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    actions = ledger.handle(void(), 1)
    assert actions == (
        RequestRefused('r', Code.request_voided, HasRun.no),
        StateReply('k', KeyState.void),
    )
    assert not ledger.handle(TryStart('k'), 1)


def test_takeover_of_a_queued_key_leaves_open_whether_it_runs(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    actions = ledger.handle(Void('k', 'b', 5, INCARNATION, takeover=True), 1)
    refusal = RequestRefused('r', Code.claimed_elsewhere, HasRun.unknown)
    assert actions == (refusal, StateReply('k', KeyState.void))


def test_void_of_running_or_done_key_reports_its_state(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    ledger.handle(TryStart('k'), 0)
    assert ledger.handle(void(), 1) == (StateReply('k', KeyState.running),)
    ledger.handle(Finish('k', ANSWER), 2)
    assert ledger.handle(void(), 3) == (StateReply('k', KeyState.done, ANSWER),)


@pytest.mark.parametrize(
    ('ran', 'state'),
    [
        pytest.param(HasRun.no, KeyState.void, id='not-run'),
        pytest.param(HasRun.unknown, KeyState.done, id='unknown'),
        pytest.param(HasRun.yes, KeyState.done, id='run'),
    ],
)
def test_failed_key_never_runs_again(ledger: Ledger, ran: HasRun, state: KeyState) -> None:
    ledger.handle(dispatch(), 0)
    ledger.handle(TryStart('k'), 0)
    ledger.handle(Fail('k', Code.backend_failed, ran), 1)
    assert ledger.state('k') == state
    assert not ledger.handle(TryStart('k'), 2)
    assert Enqueue('k') not in ledger.handle(dispatch(request_id='again'), 2)


def test_void_is_kept_longer_than_any_dispatch_and_then_swept(ledger: Ledger) -> None:
    ledger.handle(void(not_after=10), 0)
    assert ledger.handle(Sweep(9), LIMITS.horizon_s) == (RecordsSwept(0),)
    assert ledger.handle(Sweep(9), LIMITS.void_retention_s + 1) == (RecordsSwept(1),)
    assert ledger.state('k') == KeyState.absent


def test_swept_outcome_is_never_taken_for_a_request_that_did_not_run(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    ledger.handle(TryStart('k'), 0)
    ledger.handle(Finish('k', ANSWER), 1)
    assert ledger.handle(Sweep(9), 105) == (RecordsSwept(0),)
    assert ledger.handle(Sweep(9), 106) == (RecordsSwept(1),)
    assert ledger.handle(void(), 106) == (StateReply('k', KeyState.forgotten),)
    assert ledger.handle(Status('k', 'b', 5, INCARNATION), 106) == (
        StateReply('k', KeyState.forgotten),
    )


def test_query_for_another_incarnation_is_reported_as_forgotten(ledger: Ledger) -> None:
    assert ledger.handle(Void('k', 'b', 5, 8), 0) == (StateReply('k', KeyState.forgotten),)


def fill(ledger: Ledger, count: int) -> tuple[Action, ...]:
    for index in range(count):
        actions = ledger.handle(dispatch(f'k{index}', f'r{index}'), 0)
    return actions


def test_full_ledger_refuses_requests_and_voids_their_keys(ledger: Ledger) -> None:
    assert fill(ledger, 4) == (RequestRefused('r3', Code.ledger_full, HasRun.no),)
    ledger.handle(Fail('k0', Code.backend_failed, HasRun.no), 1)
    again = ledger.handle(dispatch('k3', 'r3'), 1)
    assert again == (RequestRefused('r3', Code.request_voided, HasRun.no),)
    assert ledger.handle(dispatch('k4', 'r4'), 1) == (Enqueue('k4'),)


def test_full_ledger_without_space_for_void_keys_reports_unknown(ledger: Ledger) -> None:
    assert fill(ledger, 6) == (RequestRefused('r5', Code.ledger_full, HasRun.unknown),)
    assert ledger.handle(void('k9'), 0) == (StateReply('k9', KeyState.forgotten),)


def test_bytes_are_bounded_and_large_answers_are_not_kept(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    large = Answer(b'x' * 101, 'digest')
    assert ledger.handle(Finish('k', large), 1) == (RequestAnswered('k', 'r', large),)
    replay = ledger.handle(dispatch(request_id='again'), 2)
    outcome = Failure(Code.answer_not_kept, HasRun.yes)
    assert replay == (RequestAnswered('k', 'again', outcome, replayed=True),)
    assert ledger.records.bytes_kept == 0


def test_requests_that_wait_for_a_key_are_bounded(ledger: Ledger) -> None:
    ledger.handle(dispatch(), 0)
    ledger.handle(dispatch(request_id='r2'), 0)
    refusal = RequestRefused('r3', Code.request_in_progress, HasRun.unknown)
    assert ledger.handle(dispatch(request_id='r3'), 0) == (refusal,)
