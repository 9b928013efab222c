"""Decides whether a failed request is sent again."""

from __future__ import annotations

from dataclasses import dataclass

from cassiahitch.codes import Code, Ran

#: Retries earned by each success.
RETRIES_PER_SUCCESS = 0.1
#: Retries that can be saved up; covers the requests in flight on two replicas that die.
LARGEST_BALANCE = 32.0
#: Retries at the start, before any success.
FIRST_BALANCE = LARGEST_BALANCE
#: Sends of one request.
ATTEMPTS = 3
#: Seconds after which the caller may try again when the budget is spent.
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt; ``sends`` counts all sends of the request so far."""

    sends: int
    ran: Ran
    idempotent: bool
    deadline: float
    expected_s: float = 0


@dataclass(frozen=True, slots=True)
class Retry:
    """The request is to be sent again."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The caller gets its final answer at once."""

    code: Code
    ran: Ran
    retry_after_s: float


class RetryBudget:
    """Retries that successes have earned."""

    def __init__(self) -> None:
        """Create a budget with its first retries."""
        self.balance = FIRST_BALANCE

    def record_success(self) -> None:
        """Earn a part of a retry."""
        self.balance = min(LARGEST_BALANCE, self.balance + RETRIES_PER_SUCCESS)

    def decide(self, attempt: FailedAttempt, now: float) -> Retry | GiveUp:
        """Decide what becomes of a request after a failed attempt.

        :param attempt: the attempt.
        :param now: seconds.
        :return: whether to send it again.
        """
        if attempt.ran is not Ran.no and not attempt.idempotent:
            return GiveUp(Code.outcome_unknown, attempt.ran, RETRY_AFTER_S)
        if now + attempt.expected_s >= attempt.deadline:
            return GiveUp(Code.deadline_exceeded, attempt.ran, RETRY_AFTER_S)
        if attempt.sends >= ATTEMPTS or self.balance < 1:
            return GiveUp(Code.retry_budget_spent, attempt.ran, RETRY_AFTER_S)
        self.balance -= 1
        return Retry()


__all__ = (
    'FailedAttempt',
    'GiveUp',
    'RetryBudget',
    'Retry',
)
