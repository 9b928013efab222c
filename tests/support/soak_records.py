"""Made-up records of a stop."""

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

#: When the process was told to end, in seconds.
ASKED = 100.0


def cut_attempt(**changed: object) -> Attempt:
    """Return an attempt that was sent 3.5 s after the order to end and cut at 7.3 s."""
    attempt = Attempt(
        id='s1',
        request=1,
        kind=RequestKind.draft,
        entry='entry-0',
        key='key-0',
        target='/draft/s1',
        digest='d',
        size=100,
        began=ASKED + 3.5,
        deadline=ASKED + 13,
        sent=ASKED + 3.5,
        ended=ASKED + 7.3,
        status=200,
    )
    return replace(attempt, **changed)  # type: ignore[arg-type]


def late_run(**changed: object) -> Execution:
    """Return what the backend server saw of it."""
    execution = Execution(
        id='s1',
        backend='m-0',
        host='m-0',
        target='/draft/s1',
        digest='d',
        organisation='caterers',
        arrived=ASKED + 3.6,
        began=ASKED + 3.6,
        ended=ASKED + 7.4,
    )
    return replace(execution, **changed)  # type: ignore[arg-type]


def lost(attempt: Attempt, *runs: Execution, disturbance: Disturbance | None = None) -> bool:
    """Tell whether the check says that the stop lost the attempt."""
    record = Record(ended=ASKED + 60)
    record.attempts[attempt.id] = attempt
    record.executions.extend(runs)
    record.ends.append(ProcessEnd('entry-0', ASKED, ASKED + 7.5, 0))
    if disturbance is not None:
        record.disturbances.append(disturbance)
    return Promise.whole_at_stop in {one.promise for one in check_stops(record)}
