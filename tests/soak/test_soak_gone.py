"""The check of work for callers that have left fails on a made-up record that breaks it."""

from __future__ import annotations

from typing import Any

import pytest
from soak_records import cut_attempt, late_execution

from cassiahitch.soak.abandoned import MAX_LATE_REQUESTS
from cassiahitch.soak.checks import check_all
from cassiahitch.soak.records import SOAK, Disturbance, Promise, Record, RequestKind

LEFT: dict[str, Any] = {
    'began': 10,
    'deadline': 20,
    'sent': 10.1,
    'ended': 11,
    'status': 0,
    'left': True,
}
RUN: dict[str, Any] = {'arrived': 10.2, 'began': 10.3, 'ended': 10.9, 'version': 1}


def make_record(count: int, kind: RequestKind = RequestKind.draft, **changed: Any) -> Record:
    """Return a run in which callers leave at 11 s, with one execution each."""
    record = Record(began=0, ended=60, organisations={'key-0': 'caterers'})
    for number in range(count):
        attempt = cut_attempt(id=f's{number}', request=number, kind=kind, **LEFT)
        record.attempts[attempt.id] = attempt
        record.executions.append(late_execution(id=attempt.id, **(RUN | changed)))
    return record


def promises(record: Record) -> set[Promise]:
    return {violation.promise for violation in check_all(record)}


@pytest.mark.parametrize('kind', list(RequestKind))
def test_requests_that_arrive_for_callers_that_left_are_seen(kind: RequestKind) -> None:
    assert promises(make_record(MAX_LATE_REQUESTS + 1, kind, arrived=11.6, ended=12)) == {
        Promise.gone
    }
    assert promises(make_record(MAX_LATE_REQUESTS, kind, arrived=11.6, ended=12)) == set()
    assert promises(make_record(9, kind, arrived=11.4, ended=12)) == set()


def test_refused_requests_that_arrive_late_are_seen() -> None:
    record = make_record(MAX_LATE_REQUESTS + 1, arrived=11.6, began=None, ended=None, refused=True)
    assert promises(record) == {Promise.gone}


@pytest.mark.parametrize('ended', [11.6, None])
def test_work_that_goes_on_is_seen_where_it_may_end(ended: float | None) -> None:
    assert promises(make_record(9, ended=ended)) == {Promise.gone}
    assert promises(make_record(9, RequestKind.order, ended=ended)) == set()
    assert promises(make_record(9, RequestKind.lookup, ended=11.4)) == set()


def test_backend_server_that_goes_on_behind_a_closed_connection_was_told() -> None:
    # Seed 994, 12 s, backends and changes: prompts waited and were read behind closed connections.
    assert promises(make_record(9, dropped=11.1, ended=None)) == set()
    assert promises(make_record(9, dropped=11.6, ended=None)) == {Promise.gone}


def test_few_runs_among_many_may_go_on() -> None:
    record = make_record(40, ended=11.1)
    for one in record.executions[:10]:
        one.ended = 12
    assert promises(record) == set()
    record.executions[10].ended = 12
    assert promises(record) == {Promise.gone}


@pytest.mark.parametrize('target', ['entry-0', 'stop of entry-0', 'm-0', SOAK])
def test_disturbed_hosts_are_passed_over(target: str) -> None:
    record = make_record(9, ended=None)
    record.disturbances.append(Disturbance(target, 9, 9.5))
    assert promises(record) == set()
