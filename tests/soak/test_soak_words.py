"""The checks of what backend servers say of themselves fail on records that break them."""

from __future__ import annotations

from typing import Any

import pytest
from soak_records import cut_attempt, late_execution

from cassiahitch.soak.announcements import (
    MAX_REQUESTS_IN_PAUSE,
    check_requested_pauses,
    check_stopping_replicas,
)
from cassiahitch.soak.records import SOAK, Disturbance, Execution, Promise, Record, Violation


def make_record(*runs: dict[str, Any], entry: str = 'entry-0') -> Record:
    """Return a run in which each execution is that of an attempt sent when it arrived."""
    record = Record(ended=60)
    for number, changed in enumerate(runs):
        run: Execution = late_execution(id=f's{number}', ended=changed['arrived'] + 0.1)
        for name, value in changed.items():
            setattr(run, name, value)
        own = 'entry-0' if number == 0 else entry
        record.attempts[run.id] = cut_attempt(id=run.id, entry=own, began=run.arrived)
        record.executions.append(run)
    return record


def promises(found: list[Violation]) -> list[Promise]:
    return [one.promise for one in found]


def test_request_after_the_word_of_a_leaving_one_is_seen() -> None:
    said = {'arrived': 10, 'said_leaving': True}
    assert promises(list(check_stopping_replicas(make_record(said, {'arrived': 12.2})))) == [
        Promise.leaving
    ]
    assert not list(check_stopping_replicas(make_record(said, {'arrived': 12})))
    assert not list(check_stopping_replicas(make_record(said, {'arrived': 13, 'backend': 'm-0x'})))
    assert not list(check_stopping_replicas(make_record(said, {'arrived': 13}, entry='entry-1')))


def test_more_than_a_few_requests_in_a_pause_are_seen() -> None:
    asked = {'arrived': 10, 'paused_until': 13}
    late = [{'arrived': 10.6 + number / 10} for number in range(MAX_REQUESTS_IN_PAUSE + 1)]
    assert promises(list(check_requested_pauses(make_record(asked, *late)))) == [Promise.paused]
    assert not list(check_requested_pauses(make_record(asked, *late[1:])))
    assert not list(check_requested_pauses(make_record(asked, *late, entry='entry-1')))
    assert not list(
        check_requested_pauses(make_record(asked, *({'arrived': 13.1} for _ in range(9))))
    )


@pytest.mark.parametrize('target', ['entry-0', SOAK])
def test_disturbed_entry_may_forget(target: str) -> None:
    said = {'arrived': 10, 'said_leaving': True, 'paused_until': 15}
    late = [{'arrived': 13 + number / 10} for number in range(9)]
    record = make_record(said, *late)
    record.disturbances.append(Disturbance(target, 11, 11.1))
    assert not list(check_stopping_replicas(record))
    assert not list(check_requested_pauses(record))
