"""Each check of the soak reports a record that breaks its promise, and no others."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from cassiahitch.soak.checks import check_all
from cassiahitch.soak.records import (
    SOAK,
    STORE,
    Attempt,
    Disturbance,
    Execution,
    KeyRevoked,
    ProcessEnd,
    Promise,
    Record,
    ReplicaLeft,
    RequestKind,
    WeightsNamed,
)


def make_attempt(
    number: int = 1, kind: RequestKind = RequestKind.order, **fields: object
) -> Attempt:
    attempt = Attempt(
        id=f's{number}',
        request=number,
        kind=kind,
        entry='entry-0',
        key='key-0',
        target='/order/s1',
        digest='d',
        size=100,
        began=10,
        deadline=20,
        sent=10.1,
        ended=11,
        status=200,
        whole=True,
    )
    return replace(attempt, **fields)  # type: ignore[arg-type]


def make_execution(number: int = 1, **fields: object) -> Execution:
    execution = Execution(
        id=f's{number}',
        backend='m-0',
        host='m-0',
        target='/order/s1',
        digest='d',
        organisation='caterers',
        arrived=10.2,
        version=1,
        began=10.3,
        ended=10.9,
    )
    return replace(execution, **fields)  # type: ignore[arg-type]


def make_record(attempt: Attempt, *executions: Execution) -> Record:
    record = Record(began=0, ended=60, organisations={'key-0': 'caterers'})
    record.attempts[attempt.id] = attempt
    record.executions.extend(executions)
    return record


def broken_promises(record: Record) -> list[Promise]:
    return [violation.promise for violation in check_all(record)]


def test_right_answer_breaks_nothing() -> None:
    assert broken_promises(make_record(make_attempt(), make_execution())) == []


def test_wrong_answer_is_seen() -> None:
    record = make_record(
        make_attempt(wrong='response belongs to another request'), make_execution()
    )
    assert broken_promises(record) == [Promise.own_answer]


@pytest.mark.parametrize(('whole', 'endless'), [(True, True), (False, False)])
def test_endless_bytes_are_never_a_complete_response(*, whole: bool, endless: bool) -> None:
    attempt = make_attempt(
        wrong='body differs from the expected body', whole=whole, kind=RequestKind.lookup
    )
    record = make_record(attempt, make_execution(endless=endless, broke_off=True))
    assert broken_promises(record) == [Promise.own_answer]


def test_part_of_an_endless_response_may_reach_its_caller() -> None:
    # A run with seed 601, 12 s, backends and changes had eight such attempts, each broken off by
    # its backend server.
    attempt = make_attempt(
        wrong='body differs from the expected body', whole=False, kind=RequestKind.lookup
    )
    record = make_record(attempt, make_execution(endless=True, broke_off=True))
    assert broken_promises(record) == []


@pytest.mark.parametrize(
    'fields',
    [
        pytest.param({'id': 's9'}, id='never-sent'),
        pytest.param({'target': '/order/s2'}, id='target'),
        pytest.param({'digest': 'other'}, id='body'),
        pytest.param({'organisation': 'others'}, id='organisation'),
        pytest.param({'key_passed': True}, id='key-passed-on'),
        pytest.param({'prompt': 'f0:10,1:10'}, id='segments-of-the-prompt'),
    ],
)
def test_changed_request_at_a_backend_server_is_seen(fields: Any) -> None:
    record = make_record(make_attempt(), make_execution(**fields))
    assert broken_promises(record) == [Promise.unchanged]


def test_request_that_ran_twice_is_seen() -> None:
    runs = (make_execution(), make_execution(backend='m-1'))
    assert broken_promises(make_record(make_attempt(), *runs)) == [Promise.once]
    assert broken_promises(make_record(make_attempt(kind=RequestKind.lookup), *runs)) == []


def test_refused_run_does_not_count_as_a_second_one() -> None:
    runs = (make_execution(refused=True), make_execution(backend='m-1'))
    assert broken_promises(make_record(make_attempt(), *runs)) == []


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_promise_that_nothing_ran_is_seen_to_be_false(status: int) -> None:
    late_run = make_execution(arrived=30, began=30)
    assert broken_promises(make_record(make_attempt(status=status), late_run)) == [Promise.not_run]
    assert broken_promises(make_record(make_attempt(status=502), late_run)) == []


def test_run_with_a_revoked_key_is_seen_after_the_bound() -> None:
    record = make_record(make_attempt(began=10), make_execution())
    record.changes.append(KeyRevoked(4.9, 'key-0'))
    assert broken_promises(record) == [Promise.revoked_key]
    record.changes = [KeyRevoked(5.1, 'key-0')]
    assert broken_promises(record) == []


def test_request_at_a_drained_replica_is_seen_after_the_bound() -> None:
    record = make_record(make_attempt(), make_execution(arrived=10.2))
    record.changes.append(ReplicaLeft(8.1, 'm-0'))
    assert broken_promises(record) == [Promise.drained]
    record.changes = [ReplicaLeft(8.3, 'm-0')]
    assert broken_promises(record) == []


@pytest.mark.parametrize('target', [STORE, SOAK, 'entry-0', 'stop of entry-0'])
def test_draining_is_not_checked_while_hosts_are_disturbed(target: str) -> None:
    record = make_record(make_attempt(), make_execution(arrived=10.2))
    record.changes.append(ReplicaLeft(8.1, 'm-0'))
    record.disturbances.append(Disturbance(target, 1, 5.2))
    assert broken_promises(record) == []
    record.disturbances = [Disturbance(target, 1, 5)]
    assert broken_promises(record) == [Promise.drained]


def test_start_on_old_weights_is_seen_after_the_bound() -> None:
    record = make_record(make_attempt(), make_execution(began=10.3))
    record.changes.append(WeightsNamed(2.2, 2))
    assert broken_promises(record) == [Promise.new_weights]
    record.changes = [WeightsNamed(2.4, 2)]
    assert broken_promises(record) == []


@pytest.mark.parametrize('target', [SOAK, 'entry-0'])
def test_slow_down_excuses_a_start_on_old_weights_of_its_own_entry(target: str) -> None:
    record = make_record(make_attempt(), make_execution(began=10.3))
    record.changes.append(WeightsNamed(2.2, 2))
    record.slow_downs.append(Disturbance(target, 7, 7.5))
    assert not broken_promises(record)


@pytest.mark.parametrize('target', ['entry-1', 'agent-0'])
def test_slow_down_of_another_process_excuses_no_start_on_old_weights(target: str) -> None:
    record = make_record(make_attempt(), make_execution(began=10.3))
    record.changes.append(WeightsNamed(2.2, 2))
    record.slow_downs.append(Disturbance(target, 7, 7.5))
    assert broken_promises(record) == [Promise.new_weights]
    record.disturbances.append(Disturbance(target, 7, 7.5))
    assert not broken_promises(record)


def test_end_without_an_order_is_seen() -> None:
    record = make_record(make_attempt(), make_execution())
    record.ends.append(ProcessEnd('entry-0', None, 30, 1))
    assert broken_promises(record) == [Promise.graceful_end]


@pytest.mark.parametrize(
    ('status', 'ended', 'expected'),
    [
        pytest.param(0, 37.9, [], id='in-time'),
        pytest.param(0, 38.1, [Promise.graceful_end], id='late'),
        pytest.param(-9, 38.5, [Promise.graceful_end], id='killed'),
        pytest.param(1, 33, [Promise.graceful_end], id='failed'),
    ],
)
def test_end_is_judged_by_time_and_status(
    status: int, ended: float, expected: list[Promise]
) -> None:
    record = make_record(make_attempt(), make_execution())
    record.ends.append(ProcessEnd('entry-0', 30, ended, status))
    assert broken_promises(record) == expected


def test_slow_down_excuses_a_late_end_and_nothing_else() -> None:
    record = make_record(make_attempt(), make_execution())
    record.slow_downs.append(Disturbance('entry-0', 32, 32.5))
    record.ends.append(ProcessEnd('entry-0', 30, 38.5, -9))
    assert broken_promises(record) == []
    record.ends.append(ProcessEnd('entry-0', 30, 33, 1))
    record.ends.append(ProcessEnd('entry-0', None, 32.2, 1))
    assert broken_promises(record) == [Promise.graceful_end, Promise.graceful_end]
