"""Fabricated records of the stop of an entry."""

from __future__ import annotations

from dataclasses import replace

from cassiahitch.soak.records import (
    Attempt,
    Disturbance,
    Execution,
    ProcessEnd,
    Promise,
    Record,
    RequestKind,
)
from cassiahitch.soak.stops import check_stops

#: Time in seconds at which the process was asked to stop.
STOP_REQUESTED_AT = 100.0


def cut_attempt(**changed: object) -> Attempt:
    """Return an attempt that was sent 3.5 s after the stop was requested and cut at 7.3 s."""
    attempt = Attempt(
        id='s1',
        request=1,
        kind=RequestKind.draft,
        entry='entry-0',
        key='key-0',
        target='/draft/s1',
        digest='d',
        size=100,
        began=STOP_REQUESTED_AT + 3.5,
        deadline=STOP_REQUESTED_AT + 13,
        sent=STOP_REQUESTED_AT + 3.5,
        ended=STOP_REQUESTED_AT + 7.3,
        status=200,
    )
    return replace(attempt, **changed)  # type: ignore[arg-type]


def late_execution(**changed: object) -> Execution:
    """Return the execution of that attempt at the backend server."""
    execution = Execution(
        id='s1',
        backend='m-0',
        host='m-0',
        target='/draft/s1',
        digest='d',
        organisation='caterers',
        arrived=STOP_REQUESTED_AT + 3.6,
        began=STOP_REQUESTED_AT + 3.6,
        ended=STOP_REQUESTED_AT + 7.4,
    )
    return replace(execution, **changed)  # type: ignore[arg-type]


def stop_loses(attempt: Attempt, *runs: Execution, disturbance: Disturbance | None = None) -> bool:
    """Return whether the check reports that the stop lost the attempt."""
    record = Record(ended=STOP_REQUESTED_AT + 60)
    record.attempts[attempt.id] = attempt
    record.executions.extend(runs)
    record.ends.append(ProcessEnd('entry-0', STOP_REQUESTED_AT, STOP_REQUESTED_AT + 7.5, 0))
    if disturbance is not None:
        record.disturbances.append(disturbance)
    return Promise.whole_at_stop in {one.promise for one in check_stops(record)}
