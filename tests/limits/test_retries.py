"""Tests of the retry budget."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.codes import Code, HasRun
from cassiahitch.limits.retries import (
    INITIAL_BALANCE,
    MAX_BALANCE,
    MAX_SENDS,
    RETRIES_PER_SUCCESS,
    FailedAttempt,
    GiveUp,
    Retry,
    RetryBudget,
)


@given(outcomes=st.lists(st.sampled_from(('success', 'failure')), max_size=400))
def test_retry_storm_stays_within_the_budget(outcomes: list[str]) -> None:
    budget = RetryBudget()
    successes = 0
    retries = 0
    for outcome in outcomes:
        if outcome == 'success':
            successes += 1
            budget.record_success()
            continue
        decision = budget.decide(FailedAttempt(1, HasRun.unknown, idempotent=True, deadline=10), 0)
        retries += isinstance(decision, Retry)
        assert retries <= RETRIES_PER_SUCCESS * successes + INITIAL_BALANCE + 1e-6


def test_balance_is_bounded() -> None:
    budget = RetryBudget()
    for _ in range(10_000):
        budget.record_success()
    assert budget.balance <= MAX_BALANCE


@pytest.mark.parametrize(
    ('attempt', 'code'),
    [
        pytest.param(
            FailedAttempt(1, HasRun.unknown, idempotent=False, deadline=10),
            Code.outcome_unknown,
            id='may-have-run',
        ),
        pytest.param(
            FailedAttempt(1, HasRun.no, idempotent=True, deadline=5),
            Code.deadline_exceeded,
            id='deadline',
        ),
        pytest.param(
            FailedAttempt(1, HasRun.no, idempotent=True, deadline=10, expected_s=6),
            Code.deadline_exceeded,
            id='no-time-to-run',
        ),
        pytest.param(
            FailedAttempt(MAX_SENDS, HasRun.no, idempotent=True, deadline=10),
            Code.retry_budget_spent,
            id='attempts',
        ),
    ],
)
def test_request_is_given_up_with_its_reason_and_retry_after(
    attempt: FailedAttempt, code: Code
) -> None:
    decision = RetryBudget().decide(attempt, 5)
    assert isinstance(decision, GiveUp)
    assert (decision.code, decision.ran) == (code, attempt.ran)
    assert decision.retry_after_s > 0


def test_non_idempotent_request_that_was_not_run_is_retried() -> None:
    attempt = FailedAttempt(1, HasRun.no, idempotent=False, deadline=10)
    assert RetryBudget().decide(attempt, 0) == Retry()
