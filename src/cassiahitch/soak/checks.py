"""The promises, each checked against what was seen in a run."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from cassiahitch.soak.abandoned import check_abandoned
from cassiahitch.soak.announcements import check_requested_pauses, check_stopping_replicas
from cassiahitch.soak.records import (
    SOAK,
    STORE,
    Execution,
    KeyRevoked,
    Promise,
    Record,
    ReplicaLeft,
    RequestKind,
    Violation,
    WeightsNamed,
    stop_target,
)
from cassiahitch.soak.service_levels import check_large_requests, check_recovery
from cassiahitch.soak.stops import check_closed_connections, check_stops

#: Statuses that promise that a request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))

Check = Callable[[Record], Iterator[Violation]]


def check_answers(record: Record) -> Iterator[Violation]:
    """Answers are those of the backend server to the caller's own request.

    Bytes without end that a backend server sent as its answer may reach the caller in part, which
    is then no whole one.

    :param record: what was seen.
    :yield: violations.
    """
    runs = record.runs_by_attempt()
    for attempt in record.attempts.values():
        said = any(one.endless for one in runs.get(attempt.id, ()))
        if attempt.wrong and (attempt.whole or not said):
            yield Violation(
                Promise.own_answer, attempt.ended or attempt.began, attempt.id, attempt.wrong
            )


def check_unchanged(record: Record) -> Iterator[Violation]:
    """What reaches a backend server is what a caller sent, for its organisation, without its key.

    :param record: what was seen.
    :yield: violations.
    """
    for one in record.executions:
        detail = _change(one, record)
        if detail:
            yield Violation(Promise.unchanged, one.arrived, one.id, detail)


def _change(one: Execution, record: Record) -> str:
    attempt = record.attempts.get(one.id)
    if attempt is None:
        return 'no caller sent it'
    if (one.target, one.digest) != (attempt.target, attempt.digest):
        return 'target or body differ from those that the caller sent'
    if one.key_passed:
        return 'the key was passed on'
    if one.organisation != record.organisations.get(attempt.key):
        return f'for {one.organisation}, which does not hold the key'
    return ''


def check_once(record: Record) -> Iterator[Violation]:
    """A request that is not idempotent runs at most once.

    :param record: what was seen.
    :yield: violations.
    """
    for number, runs in record.runs_by_attempt().items():
        if record.attempts[number].kind is RequestKind.order and len(runs) > 1:
            yield Violation(Promise.once, runs[1].arrived, number, f'it ran {len(runs)} times')


def check_not_run(record: Record) -> Iterator[Violation]:
    """An answer that promises that a request has not run is true, for ever.

    :param record: what was seen.
    :yield: violations.
    """
    for number, runs in record.runs_by_attempt().items():
        attempt = record.attempts[number]
        if attempt.kind is RequestKind.order and attempt.status in PROMISES:
            detail = f'answered {attempt.status} but it ran'
            yield Violation(Promise.not_run, runs[0].arrived, number, detail)


def check_keys(record: Record) -> Iterator[Violation]:
    """No request runs that was sent with a key later than the bound after its end.

    :param record: what was seen.
    :yield: violations.
    """
    gone = {one.key: one.at for one in record.changes if isinstance(one, KeyRevoked)}
    for number, runs in record.runs_by_attempt().items():
        attempt = record.attempts[number]
        since = gone.get(attempt.key, record.ended)
        if attempt.began > since + record.bounds.revoked_key_s:
            detail = f'sent {attempt.began - since:.2f} s after its key was revoked'
            yield Violation(Promise.revoked_key, runs[0].arrived, number, detail)


def check_drained(record: Record) -> Iterator[Violation]:
    """No request reaches a replica later than the bound after it began to leave.

    :param record: what was seen.
    :yield: violations.
    """
    left = {one.backend: one.at for one in record.changes if isinstance(one, ReplicaLeft)}
    for one in record.executions:
        since = left.get(one.backend, record.ended)
        attempt = record.attempts.get(one.id)
        if attempt is None or one.arrived <= since + record.bounds.drain_s:
            continue
        if record.was_undisturbed(
            (STORE, SOAK, attempt.entry, stop_target(attempt.entry)), since, one.arrived
        ):
            detail = f'reached {one.backend} {one.arrived - since:.2f} s after it drained'
            yield Violation(Promise.drained, one.arrived, one.id, detail)


def check_weights(record: Record) -> Iterator[Violation]:
    """No request begins on old weights later than the bound after newer ones were named.

    The bound holds if nothing was disturbed since then.

    :param record: what was seen.
    :yield: violations.
    """
    changes = [one for one in record.changes if isinstance(one, WeightsNamed)]
    targets = {one.target for one in (*record.disturbances, *record.slow_downs)}
    for change in changes:
        for one in record.executions:
            took_s = (one.began or 0) - change.at
            late = took_s > record.bounds.weights_s and 0 < one.version < change.version
            if late and record.was_undisturbed(targets, change.at, change.at + took_s):
                detail = f'began on version {one.version} {took_s:.2f} s after {change.version}'
                yield Violation(Promise.new_weights, change.at + took_s, one.id, detail)


CHECKS: tuple[Check, ...] = (
    check_answers,
    check_unchanged,
    check_once,
    check_not_run,
    check_closed_connections,
    check_stops,
    check_keys,
    check_drained,
    check_weights,
    check_recovery,
    check_large_requests,
    check_abandoned,
    check_stopping_replicas,
    check_requested_pauses,
)


def check_all(record: Record) -> list[Violation]:
    """Check all promises.

    :param record: what was seen.
    :return: what was broken, in the order of its time.
    """
    found = [violation for check in CHECKS for violation in check(record)]
    return sorted(found, key=lambda violation: violation.at)


__all__ = (
    'CHECKS',
    'check_all',
)
