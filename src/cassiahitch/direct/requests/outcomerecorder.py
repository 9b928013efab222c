"""Records what the outcome of an attempt tells about a replica and about the request."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from cassiahitch.direct.api import Answered
from cassiahitch.direct.backends.attempt import SUCCESS_STATUSES
from cassiahitch.direct.backends.outcomes import (
    Lost,
    NotRun,
    NotSent,
    Outcome,
    Withdrawn,
    Withheld,
)
from cassiahitch.routing.api import Outcome as HealthOutcome

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.placement.assignments import Assignment
    from cassiahitch.direct.placement.candidates import CandidateFilter
    from cassiahitch.direct.placement.crashdetector import CrashDetector


@dataclass(frozen=True, slots=True)
class OutcomeRecorder:
    """Updates the health and the load estimate of replicas, and the evidence about requests."""

    entry_state: EntryState
    candidates: CandidateFilter
    crash_detector: CrashDetector

    def record_outcome(self, call: Call, assignment: Assignment, outcome: Outcome) -> None:
        """Update the health of a replica by the outcome of an attempt.

        :param call: the request.
        :param assignment: the assignment that was tried.
        :param outcome: how the attempt ended.
        """
        replica = assignment.candidate.replica
        now = asyncio.get_running_loop().time()
        ejection = self.candidates.ejection(replica)
        match outcome:
            case NotSent(refused=refused):
                health_outcome = HealthOutcome.crashed if refused else HealthOutcome.timed_out
            case Lost(stalled=stalled):
                health_outcome = HealthOutcome.timed_out if stalled else HealthOutcome.failed
                self.crash_detector.check(replica)
            case Answered(head=head) if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                health_outcome = HealthOutcome.failed
            case NotRun() | Withheld():
                health_outcome = HealthOutcome.refused
            case Withdrawn():
                health_outcome = HealthOutcome.cancelled
            case _:
                health_outcome = HealthOutcome.success
                self.record_success(call, outcome, now)
        ejection.record_outcome(replica.key, health_outcome, now)

    def record_success(self, call: Call, outcome: Outcome, now: float) -> None:
        """Clear a request from suspicion, since a backend server has responded to it.

        :param call: the request.
        :param outcome: how the attempt ended.
        :param now: current time in seconds.
        """
        if call.fingerprint is not None:
            self.entry_state.crashes.record_completion(call.fingerprint, now)
        is_error = isinstance(outcome, Answered) and outcome.head.status not in SUCCESS_STATUSES
        if not is_error:
            self.entry_state.segments.record_begin(call, now)

    def record_begin(
        self, call: Call, assignment: Assignment, started_at: float, now: float
    ) -> None:
        """Record the first event of a stream.

        :param call: the request.
        :param assignment: the assignment of the request.
        :param started_at: when it was assigned, in seconds of the event loop's clock.
        :param now: when the first event was received.
        """
        self.entry_state.segments.record_begin(call, now)
        self.record_start_delay(assignment, started_at, now)

    def record_start_delay(self, assignment: Assignment, started_at: float, now: float) -> None:
        """Correct the load estimate of an engine by how late the first event of a stream was.

        :param assignment: the assignment of the request.
        :param started_at: when it was assigned, in seconds of the event loop's clock.
        :param now: when the first event was received, or the attempt was given up.
        """
        if assignment.rank is not None:
            load = self.candidates.placement.engine_load(assignment.candidate.replica.key)
            load.record_first_event(assignment.expected_s, now - started_at, now)


__all__ = ('OutcomeRecorder',)
