"""The checks of announcements report requests to stopping and to pausing backend servers."""

from __future__ import annotations

from typing import Any

import pytest
from soak_records import cut_attempt, late_execution

from cassiahitch.soak.announcements import (
    LIMIT_WINDOW_S,
    MAX_REQUESTS_IN_PAUSE,
    check_rate_limits,
    check_requested_pauses,
    check_stopping_replicas,
)
from cassiahitch.soak.records import SOAK, Disturbance, Execution, Promise, Record, Violation


def make_record(*runs: dict[str, Any], entry: str = 'entry-0') -> Record:
    """Return a record in which each execution belongs to an attempt that began when it arrived."""
    record = Record(ended=60)
    for number, fields in enumerate(runs):
        run: Execution = late_execution(id=f's{number}', ended=fields['arrived'] + 0.1)
        for name, value in fields.items():
            setattr(run, name, value)
        attempt_entry = 'entry-0' if number == 0 else entry
        record.attempts[run.id] = cut_attempt(id=run.id, entry=attempt_entry, began=run.arrived)
        record.executions.append(run)
    return record


def broken_promises(violations: list[Violation]) -> list[Promise]:
    return [violation.promise for violation in violations]


def test_request_after_an_announced_shutdown_is_reported() -> None:
    announcement = {'arrived': 10, 'said_leaving': True}
    assert broken_promises(
        list(check_stopping_replicas(make_record(announcement, {'arrived': 12.2})))
    ) == [Promise.leaving]
    assert not list(check_stopping_replicas(make_record(announcement, {'arrived': 12})))
    assert not list(
        check_stopping_replicas(make_record(announcement, {'arrived': 13, 'backend': 'm-0x'}))
    )
    assert not list(
        check_stopping_replicas(make_record(announcement, {'arrived': 13}, entry='entry-1'))
    )


def test_more_than_a_few_requests_in_a_pause_are_seen() -> None:
    pause_request = {'arrived': 10, 'paused_until': 13}
    late = [{'arrived': 10.6 + number / 10} for number in range(MAX_REQUESTS_IN_PAUSE + 1)]
    assert broken_promises(list(check_requested_pauses(make_record(pause_request, *late)))) == [
        Promise.paused
    ]
    assert not list(check_requested_pauses(make_record(pause_request, *late[1:])))
    assert not list(check_requested_pauses(make_record(pause_request, *late, entry='entry-1')))
    assert not list(
        check_requested_pauses(make_record(pause_request, *({'arrived': 13.1} for _ in range(9))))
    )


@pytest.mark.parametrize('target', ['entry-0', SOAK])
def test_disturbed_entry_is_not_checked(target: str) -> None:
    announcement = {'arrived': 10, 'said_leaving': True, 'paused_until': 15}
    late = [{'arrived': 13 + number / 10} for number in range(9)]
    record = make_record(announcement, *late)
    record.disturbances.append(Disturbance(target, 11, 11.1))
    assert not list(check_stopping_replicas(record))
    assert not list(check_requested_pauses(record))


def limited_runs(count: int, since: float) -> list[dict[str, Any]]:
    """Return executions within one window at a replica that has named a limit of 2 since 10 s."""
    step_s = LIMIT_WINDOW_S / 20
    return [
        {'arrived': since + number * step_s, 'limit_per_s': 2, 'limited_since': 10}
        for number in range(count)
    ]


@pytest.mark.parametrize('entry', ['entry-0', 'entry-1'])
def test_requests_above_the_rate_limit_of_a_replica_are_counted_over_all_entries(
    entry: str,
) -> None:
    assert broken_promises(
        list(check_rate_limits(make_record(*limited_runs(18, 13), entry=entry)))
    ) == [Promise.limited]
    assert not list(check_rate_limits(make_record(*limited_runs(17, 13), entry=entry)))
    # The limit has to be kept only some time after it was named.
    assert not list(check_rate_limits(make_record(*limited_runs(18, 12.9), entry=entry)))


def test_requests_of_an_entry_that_may_have_forgotten_the_limit_do_not_count() -> None:
    record = make_record(*limited_runs(18, 13), entry='entry-1')
    record.disturbances.append(Disturbance('entry-1', 11, 11.1))
    assert not list(check_rate_limits(record))
