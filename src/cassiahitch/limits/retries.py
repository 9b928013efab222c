"""Retry budget: decides whether a failed request is retried."""

from __future__ import annotations

from dataclasses import dataclass

from cassiahitch.codes import Code, HasRun

#: Retries added to the budget by each success.
RETRIES_PER_SUCCESS = 0.1
#: Maximum balance; covers the requests in flight on two replicas that fail.
MAX_BALANCE = 32.0
#: Balance before the first success.
INITIAL_BALANCE = MAX_BALANCE
#: Maximum number of times that one request is sent.
MAX_SENDS = 3
#: Seconds after which the caller may retry when the request is given up.
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt of a request, which was sent ``sends`` times so far."""

    sends: int
    ran: HasRun
    idempotent: bool
    deadline: float
    expected_s: float = 0


@dataclass(frozen=True, slots=True)
class Retry:
    """The request is to be sent again."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The request is not retried; the caller receives the failure."""

    code: Code
    ran: HasRun
    retry_after_s: float


class RetryBudget:
    """Number of retries that may be made; each success adds a fraction of one."""

    def __init__(self) -> None:
        """Create a budget with the initial balance."""
        self.balance = INITIAL_BALANCE

    def record_success(self) -> None:
        """Add a fraction of a retry to the balance."""
        self.balance = min(MAX_BALANCE, self.balance + RETRIES_PER_SUCCESS)

    def decide(self, attempt: FailedAttempt, now: float) -> Retry | GiveUp:
        """Decide whether a request is retried after a failed attempt.

        :param attempt: the attempt.
        :param now: seconds.
        :return: the retry, which is charged to the budget, or the reason to give up.
        """
        if attempt.ran is not HasRun.no and not attempt.idempotent:
            return GiveUp(Code.outcome_unknown, attempt.ran, RETRY_AFTER_S)
        if now + attempt.expected_s >= attempt.deadline:
            return GiveUp(Code.deadline_exceeded, attempt.ran, RETRY_AFTER_S)
        if attempt.sends >= MAX_SENDS or self.balance < 1:
            return GiveUp(Code.retry_budget_spent, attempt.ran, RETRY_AFTER_S)
        self.balance -= 1
        return Retry()


__all__ = (
    'FailedAttempt',
    'GiveUp',
    'RetryBudget',
    'Retry',
)
