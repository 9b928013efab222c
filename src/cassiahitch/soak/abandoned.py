"""Nothing is done for callers that have left."""

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

#: Seconds after the close of a caller in which it may not be known everywhere.
NOTICE_S = 0.5
#: Requests in a run that may arrive later.
MAX_LATE_REQUESTS = 3
#: Largest part of the runs that may be at work later.
AT_WORK_PART = 0.25


def check_abandoned(record: Record) -> Iterator[Violation]:
    """Requests of callers that have left are sent no more, and those that may end do.

    :param record: what was seen.
    :yield: violations, if there are more than a few.
    """
    left = tuple(_of_callers_that_left(record))
    late = [
        _violation(attempt, one.arrived - closed, f'reached {one.backend}')
        for attempt, one, closed in left
        if one.arrived > closed + NOTICE_S
    ]
    if len(late) > MAX_LATE_REQUESTS:
        yield from late
    may_end = [one for one in left if _is_at_work(*one)]
    at_work = [
        _violation(attempt, _until(one, record) - closed, f'was at work at {one.backend}')
        for attempt, one, closed in may_end
        if _until(one, record) > closed + NOTICE_S
    ]
    if len(at_work) > max(MAX_LATE_REQUESTS, AT_WORK_PART * len(may_end)):
        yield from at_work


def _of_callers_that_left(record: Record) -> Iterator[tuple[Attempt, Execution, float]]:
    for one in record.executions:
        attempt = record.attempts.get(one.id)
        if attempt is None or not attempt.left or attempt.ended is None:
            continue
        targets = (SOAK, attempt.entry, stop_target(attempt.entry), one.host)
        until = max(one.arrived, attempt.ended + NOTICE_S)
        if record.was_undisturbed(targets, attempt.began, until):
            yield attempt, one, attempt.ended


def _is_at_work(attempt: Attempt, one: Execution, closed: float) -> bool:
    if attempt.kind is RequestKind.order or one.refused:
        return False
    return one.arrived <= closed and (one.ended is None or one.ended > closed)


def _until(one: Execution, record: Record) -> float:
    # A backend server that goes on behind a closed connection has been told.
    known = (one.dropped, one.ended, record.ended)
    return min(at for at in known if at is not None)


def _violation(attempt: Attempt, after_s: float, what: str) -> Violation:
    detail = f'{attempt.kind} {what} {after_s:.2f} s after its caller had left'
    return Violation(Promise.gone, (attempt.ended or 0) + after_s, attempt.id, detail)


__all__ = ('check_abandoned',)
