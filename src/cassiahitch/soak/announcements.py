"""Checks that entries follow what backend servers announce: shutdowns, pauses and rate limits."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from cassiahitch.soak.records import SOAK, Execution, Promise, Record, Violation

#: Seconds after the response that requests a pause in which requests may still be in transit.
TRANSIT_S = 0.5
#: Requests that may arrive during a pause.
MAX_REQUESTS_IN_PAUSE = 2

#: Length of the windows in which the requests of a limited replica are counted, in seconds.
LIMIT_WINDOW_S = 4.0
#: The excess over a rate limit that is allowed in each window: a factor, and a number of requests.
LIMIT_EXCESS_FACTOR = 1.5
LIMIT_EXCESS_REQUESTS = 5

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


def check_rate_limits(record: Record) -> Iterator[Violation]:
    """Check that a replica that names a rate limit gets no more from all entries together.

    Requests count from ``stable_s`` after the limit was first named. Those of entries that were
    disturbed since then do not count, since they may have forgotten the limit.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    by_limit: defaultdict[tuple[str, float], list[Execution]] = defaultdict(list)
    for pair, execution in _executions_by_pair(record):
        since = execution.limited_since
        counts = execution.arrived >= since + record.bounds.stable_s
        if execution.limit_per_s is None or not counts:
            continue
        if _is_undisturbed(record, pair, since, execution.arrived):
            by_limit[execution.backend, since].append(execution)
    for executions in by_limit.values():
        yield from _check_limit(executions)


def _check_limit(executions: list[Execution]) -> Iterator[Violation]:
    for first in executions:
        within = [
            execution
            for execution in executions
            if first.arrived <= execution.arrived < first.arrived + LIMIT_WINDOW_S
        ]
        allowed = LIMIT_EXCESS_FACTOR * (first.limit_per_s or 0) * LIMIT_WINDOW_S
        allowed += LIMIT_EXCESS_REQUESTS
        if len(within) > allowed:
            detail = f'{len(within)} requests reached {first.backend}, which limits its rate'
            yield Violation(Promise.limited, first.arrived, first.id, detail)
            return


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
    'check_rate_limits',
    'check_requested_pauses',
    'check_stopping_replicas',
)
