"""Checks that entries follow what backend servers announce: shutdowns and requested pauses."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from cassiahitch.soak.records import SOAK, Execution, Promise, Record, Violation

#: Seconds after the response that requests a pause in which requests may still be in transit.
TRANSIT_S = 0.5
#: Requests that may arrive during a pause.
MAX_REQUESTS_IN_PAUSE = 2

#: Names of an entry and of a backend server.
_Pair = tuple[str, str]


def check_stopping_replicas(record: Record) -> Iterator[Violation]:
    """Check that no entry sends requests to a replica that has announced its shutdown to it.

    Attempts that begin up to ``drain_s`` after the announcement may still reach the replica.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    announced: dict[_Pair, float] = {}
    for pair, execution in _executions_by_pair(record):
        if execution.said_leaving and execution.ended is not None:
            announced[pair] = min(announced.get(pair, execution.ended), execution.ended)
    for pair, execution in _executions_by_pair(record):
        since = announced.get(pair)
        began = record.attempts[execution.id].began
        if since is None or began <= since + record.bounds.drain_s:
            continue
        if _is_undisturbed(record, pair, since, execution.arrived):
            detail = f'sent {began - since:.2f} s after {execution.backend} announced its shutdown'
            yield Violation(Promise.leaving, execution.arrived, execution.id, detail)


def check_requested_pauses(record: Record) -> Iterator[Violation]:
    """Check that few requests reach a backend server during a pause that it requested.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    by_pair: defaultdict[_Pair, list[Execution]] = defaultdict(list)
    for pair, execution in _executions_by_pair(record):
        by_pair[pair].append(execution)
    for pair, executions in by_pair.items():
        for execution in executions:
            if execution.paused_until is not None:
                yield from _check_pause(record, pair, execution, executions)


def _check_pause(
    record: Record, pair: _Pair, pausing: Execution, executions: list[Execution]
) -> Iterator[Violation]:
    until = pausing.paused_until or 0
    late = [
        execution
        for execution in executions
        if pausing.arrived + TRANSIT_S < execution.arrived < until
    ]
    if len(late) > MAX_REQUESTS_IN_PAUSE and _is_undisturbed(record, pair, pausing.arrived, until):
        detail = f'{len(late)} requests reached {pausing.backend} during the pause it requested'
        yield Violation(Promise.paused, late[-1].arrived, late[-1].id, detail)


def _executions_by_pair(record: Record) -> Iterator[tuple[_Pair, Execution]]:
    for execution in record.executions:
        attempt = record.attempts.get(execution.id)
        if attempt is not None:
            yield (attempt.entry, execution.backend), execution


def _is_undisturbed(record: Record, pair: _Pair, since: float, until: float) -> bool:
    # A disturbed entry may have restarted and lost the announcement.
    entry, backend = pair
    return not any(record.was_disturbed(target, since, until) for target in (entry, backend, SOAK))


__all__ = (
    'check_requested_pauses',
    'check_stopping_replicas',
)
