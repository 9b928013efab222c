"""What backend servers say of themselves holds for the entry that they say it to."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from cassiahitch.soak.records import SOAK, Execution, Promise, Record, Violation

#: Seconds after the answer that asks for a pause in which requests may still be on their way.
ON_WAY_S = 0.5
#: Requests that may arrive in a pause.
MAX_REQUESTS_IN_PAUSE = 2

#: Name of the entry and of the backend server.
_Pair = tuple[str, str]


def check_stopping_replicas(record: Record) -> Iterator[Violation]:
    """No request that was sent later than the bound after the word of a leaving one reaches it.

    :param record: what was seen.
    :yield: violations.
    """
    told: dict[_Pair, float] = {}
    for pair, one in _by_pair(record):
        if one.said_leaving and one.ended is not None:
            told[pair] = min(told.get(pair, one.ended), one.ended)
    for pair, one in _by_pair(record):
        since = told.get(pair)
        sent = record.attempts[one.id].began
        if since is None or sent <= since + record.bounds.drain_s:
            continue
        if _remembers(record, pair, since, one.arrived):
            detail = f'sent {sent - since:.2f} s after {one.backend} had said that it leaves'
            yield Violation(Promise.leaving, one.arrived, one.id, detail)


def check_requested_pauses(record: Record) -> Iterator[Violation]:
    """No more than a few requests reach a backend server that has asked for a pause.

    :param record: what was seen.
    :yield: violations.
    """
    arrived: defaultdict[_Pair, list[Execution]] = defaultdict(list)
    for pair, one in _by_pair(record):
        arrived[pair].append(one)
    for pair, executions in arrived.items():
        for one in executions:
            if one.paused_until is not None:
                yield from _in_pause(record, pair, one, executions)


def _in_pause(
    record: Record, pair: _Pair, asked: Execution, executions: list[Execution]
) -> Iterator[Violation]:
    until = asked.paused_until or 0
    late = [one for one in executions if asked.arrived + ON_WAY_S < one.arrived < until]
    if len(late) > MAX_REQUESTS_IN_PAUSE and _remembers(record, pair, asked.arrived, until):
        detail = f'{len(late)} reached {asked.backend} in a pause that it had asked for'
        yield Violation(Promise.paused, late[-1].arrived, late[-1].id, detail)


def _by_pair(record: Record) -> Iterator[tuple[_Pair, Execution]]:
    for one in record.executions:
        attempt = record.attempts.get(one.id)
        if attempt is not None:
            yield (attempt.entry, one.backend), one


def _remembers(record: Record, pair: _Pair, since: float, until: float) -> bool:
    entry, backend = pair
    return not any(record.was_disturbed(target, since, until) for target in (entry, backend, SOAK))


__all__ = (
    'check_stopping_replicas',
    'check_requested_pauses',
)
