"""Checks of the promises of the system against the record of a run."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from cassiahitch.soak.abandoned import check_abandoned
from cassiahitch.soak.announcements import (
    check_rate_limits,
    check_requested_pauses,
    check_stopping_replicas,
)
from cassiahitch.soak.crashsuspects import check_crash_suspects, check_sound_prompts
from cassiahitch.soak.loadchecks import check_serving, check_whole_weights
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
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

Check = Callable[[Record], Iterator[Violation]]


def check_answers(record: Record) -> Iterator[Violation]:
    """Check that each response is that of a backend server to the caller's own request.

    A part of an endless response may reach the caller, but not as a complete response.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    runs = record.runs_by_attempt()
    for attempt in record.attempts.values():
        endless = any(run.endless for run in runs.get(attempt.id, ()))
        if attempt.wrong and (attempt.whole or not endless):
            yield Violation(
                Promise.own_answer, attempt.ended or attempt.began, attempt.id, attempt.wrong
            )


def check_unchanged(record: Record) -> Iterator[Violation]:
    """Check that a backend server receives a request unchanged, for its organisation, without key.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    for execution in record.executions:
        detail = _describe_change(execution, record)
        if detail:
            yield Violation(Promise.unchanged, execution.arrived, execution.id, detail)


def _describe_change(execution: Execution, record: Record) -> str:
    attempt = record.attempts.get(execution.id)
    if attempt is None:
        return 'no caller sent this request'
    if (execution.target, execution.digest) != (attempt.target, attempt.digest):
        return 'target or body differs from what the caller sent'
    if execution.prompt != attempt.prompt:
        return 'segments of the prompt differ from what the caller sent'
    if execution.key_passed:
        return 'the API key was forwarded'
    if execution.organisation != record.organisations.get(attempt.key):
        return f'sent for {execution.organisation}, which does not own the API key'
    return ''


def check_once(record: Record) -> Iterator[Violation]:
    """Check that a request that is not idempotent runs at most once.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    for attempt_id, runs in record.runs_by_attempt().items():
        if record.attempts[attempt_id].kind is RequestKind.order and len(runs) > 1:
            yield Violation(Promise.once, runs[1].arrived, attempt_id, f'ran {len(runs)} times')


def check_not_run(record: Record) -> Iterator[Violation]:
    """Check that a request whose status promises that it has not run never runs.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    for attempt_id, runs in record.runs_by_attempt().items():
        attempt = record.attempts[attempt_id]
        if attempt.kind is RequestKind.order and attempt.status in NOT_RUN_STATUSES:
            detail = f'the response had status {attempt.status}, but the request ran'
            yield Violation(Promise.not_run, runs[0].arrived, attempt_id, detail)


def check_keys(record: Record) -> Iterator[Violation]:
    """Check that no attempt runs that began later than ``revoked_key_s`` after its key was revoked.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    revoked = {change.key: change.at for change in record.changes if isinstance(change, KeyRevoked)}
    for attempt_id, runs in record.runs_by_attempt().items():
        attempt = record.attempts[attempt_id]
        since = revoked.get(attempt.key, record.ended)
        if attempt.began > since + record.bounds.revoked_key_s:
            detail = f'sent {attempt.began - since:.2f} s after its key was revoked'
            yield Violation(Promise.revoked_key, runs[0].arrived, attempt_id, detail)


def check_drained(record: Record) -> Iterator[Violation]:
    """Check that no request reaches a replica later than ``drain_s`` after its draining began.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    draining = {
        change.backend: change.at for change in record.changes if isinstance(change, ReplicaLeft)
    }
    for execution in record.executions:
        since = draining.get(execution.backend, record.ended)
        attempt = record.attempts.get(execution.id)
        if attempt is None or execution.arrived <= since + record.bounds.drain_s:
            continue
        if record.was_undisturbed(
            (STORE, SOAK, attempt.entry, stop_target(attempt.entry)), since, execution.arrived
        ):
            detail = (
                f'reached {execution.backend} '
                f'{execution.arrived - since:.2f} s after its draining began'
            )
            yield Violation(Promise.drained, execution.arrived, execution.id, detail)


def check_weights(record: Record) -> Iterator[Violation]:
    """Check that no execution begins on old weights later than ``weights_s`` after new ones.

    The time limit holds only if nothing was disturbed in the meantime. Of the processes that were
    slowed down, only the soak with its store counts, and the entry that sent the request.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    changes = [candidate for candidate in record.changes if isinstance(candidate, WeightsNamed)]
    for change in changes:
        for execution in record.executions:
            began = execution.began or 0
            late = began > change.at + record.bounds.weights_s
            is_old = 0 < execution.version < change.version
            if late and is_old and _was_calm_since(record, change.at, execution):
                detail = (
                    f'began on version {execution.version} of the weights {began - change.at:.2f} '
                    f's after version {change.version} was published'
                )
                yield Violation(Promise.new_weights, began, execution.id, detail)


def _was_calm_since(record: Record, since: float, execution: Execution) -> bool:
    """Return whether nothing was disturbed from some time on until an execution began."""
    began = execution.began or 0
    targets = {disturbance.target for disturbance in record.disturbances}
    attempt = record.attempts.get(execution.id)
    entry_slowed = attempt is not None and not record.was_undisturbed(
        (attempt.entry,), attempt.began, began
    )
    return not entry_slowed and record.was_undisturbed({SOAK, *targets}, since, began)


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
    check_rate_limits,
    check_crash_suspects,
    check_sound_prompts,
    check_whole_weights,
    check_serving,
)


def check_all(record: Record) -> list[Violation]:
    """Run all checks.

    :param record: what was recorded in the run.
    :return: violations in the order of their times.
    """
    violations = [violation for check in CHECKS for violation in check(record)]
    return sorted(violations, key=lambda violation: violation.at)


__all__ = (
    'CHECKS',
    'check_all',
)
