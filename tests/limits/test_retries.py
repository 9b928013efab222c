"""Tests of the retry budget."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.codes import Code, Ran
from cassiahitch.limits.retries import (
    ATTEMPTS,
    FIRST_BALANCE,
    LARGEST_BALANCE,
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
        verdict = budget.decide(FailedAttempt(1, Ran.unknown, idempotent=True, deadline=10), 0)
        retries += isinstance(verdict, Retry)
        assert retries <= RETRIES_PER_SUCCESS * successes + FIRST_BALANCE + 1e-6


def test_saved_up_retries_are_bounded() -> None:
    budget = RetryBudget()
    for _ in range(10_000):
        budget.record_success()
    assert budget.balance <= LARGEST_BALANCE


@pytest.mark.parametrize(
    ('attempt', 'code'),
    [
        pytest.param(
            FailedAttempt(1, Ran.unknown, idempotent=False, deadline=10),
            Code.outcome_unknown,
            id='may-have-run',
        ),
        pytest.param(
            FailedAttempt(1, Ran.no, idempotent=True, deadline=5),
            Code.deadline_exceeded,
            id='deadline',
        ),
        pytest.param(
            FailedAttempt(1, Ran.no, idempotent=True, deadline=10, expected_s=6),
            Code.deadline_exceeded,
            id='no-time-to-run',
        ),
        pytest.param(
            FailedAttempt(ATTEMPTS, Ran.no, idempotent=True, deadline=10),
            Code.retry_budget_spent,
            id='attempts',
        ),
    ],
)
def test_request_is_given_up_with_its_reason_and_retry_after(
    attempt: FailedAttempt, code: Code
) -> None:
    verdict = RetryBudget().decide(attempt, 5)
    assert isinstance(verdict, GiveUp)
    assert (verdict.code, verdict.ran) == (code, attempt.ran)
    assert verdict.retry_after_s > 0


def test_non_idempotent_request_that_was_not_run_is_sent_again() -> None:
    attempt = FailedAttempt(1, Ran.no, idempotent=False, deadline=10)
    assert RetryBudget().decide(attempt, 0) == Retry()
