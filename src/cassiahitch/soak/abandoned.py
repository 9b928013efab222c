"""Checks that no work is done for callers that have closed their connections."""

from __future__ import annotations

from collections.abc import Iterator

from cassiahitch.soak.records import (
    SOAK,
    Attempt,
    Execution,
    Promise,
    Record,
    RequestKind,
    Violation,
    stop_target,
)

#: Seconds that the close of a caller's connection may take to reach every process.
CLOSE_PROPAGATION_S = 0.5
#: Attempts of a run that may reach a backend server, or still run there, after that time.
MAX_LATE_REQUESTS = 3
#: Largest share of the cancellable executions that may still run after that time.
MAX_RUNNING_SHARE = 0.25


def check_abandoned(record: Record) -> Iterator[Violation]:
    """Check that abandoned requests are sent to no backend server and are cancelled there.

    Requests that may run only once are not cancelled once they have arrived.

    :param record: what was recorded in the run.
    :yield: violations, if there are more than the run may have.
    """
    abandoned = tuple(_abandoned_executions(record))
    late = [
        _violation(attempt, execution.arrived - closed_at, f'reached {execution.backend}')
        for attempt, execution, closed_at in abandoned
        if execution.arrived > closed_at + CLOSE_PROPAGATION_S
    ]
    if len(late) > MAX_LATE_REQUESTS:
        yield from late
    cancellable = [row for row in abandoned if _is_cancellable(*row)]
    still_running = [
        _violation(
            attempt,
            _stopped_at(execution, record) - closed_at,
            f'was still running at {execution.backend}',
        )
        for attempt, execution, closed_at in cancellable
        if _stopped_at(execution, record) > closed_at + CLOSE_PROPAGATION_S
    ]
    if len(still_running) > max(MAX_LATE_REQUESTS, MAX_RUNNING_SHARE * len(cancellable)):
        yield from still_running


def _abandoned_executions(record: Record) -> Iterator[tuple[Attempt, Execution, float]]:
    """Yield the executions of abandoned attempts at undisturbed hosts, with the time of close."""
    for execution in record.executions:
        attempt = record.attempts.get(execution.id)
        if attempt is None or not attempt.left or attempt.ended is None:
            continue
        targets = (SOAK, attempt.entry, stop_target(attempt.entry), execution.host)
        until = max(execution.arrived, attempt.ended + CLOSE_PROPAGATION_S)
        if record.was_undisturbed(targets, attempt.began, until):
            yield attempt, execution, attempt.ended


def _is_cancellable(attempt: Attempt, execution: Execution, closed_at: float) -> bool:
    if attempt.kind is RequestKind.order or execution.refused:
        return False
    return execution.arrived <= closed_at and (
        execution.ended is None or execution.ended > closed_at
    )


def _stopped_at(execution: Execution, record: Record) -> float:
    # A closed connection has notified the backend server, even if it goes on running the request.
    times = (execution.dropped, execution.ended, record.ended)
    return min(time for time in times if time is not None)


def _violation(attempt: Attempt, after_s: float, observation: str) -> Violation:
    detail = f'{attempt.kind} {observation} {after_s:.2f} s after its caller had disconnected'
    return Violation(Promise.gone, (attempt.ended or 0) + after_s, attempt.id, detail)


__all__ = ('check_abandoned',)
