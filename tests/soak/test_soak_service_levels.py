"""The checks of service levels report a missing recovery and starved large requests."""

from __future__ import annotations

import pytest

from cassiahitch.soak.records import Attempt, Disturbance, Promise, Record, RequestKind
from cassiahitch.soak.service_levels import check_large_requests, check_recovery

REQUEST_COUNT = 400


def make_attempt(number: int, began: float, *, served: bool) -> Attempt:
    return Attempt(
        id=f's{number}',
        request=number,
        kind=RequestKind.draft,
        entry='entry-0',
        key='key-0',
        target='',
        digest='',
        size=number,
        began=began,
        deadline=began + 5,
        ended=began + 1,
        status=200 if served else 503,
        whole=True,
    )


def recovery_record(served: int) -> Record:
    record = Record(faults_ended=10, ended=40)
    for number in range(20):
        attempt = make_attempt(number, 22.1, served=number < served)
        record.attempts[attempt.id] = attempt
    return record


def test_service_that_does_not_come_back_is_seen() -> None:
    assert [violation.promise for violation in check_recovery(recovery_record(4))] == [
        Promise.recovered
    ]
    assert not list(check_recovery(recovery_record(5)))


def test_time_before_the_bound_is_not_judged() -> None:
    record = recovery_record(0)
    record.faults_ended = 10.2
    assert not list(check_recovery(record))


def sizes_record(largest: int, second: int, *, seconds: float = 5) -> Record:
    """Return a record in which ``largest`` of ten requests in the largest tenth succeed.

    ``second`` of ten succeed in the fifth below the largest tenth, and all of the others.
    """
    record = Record(ended=40, overload=Disturbance('overload', 10, 10 + seconds))
    for number in range(REQUEST_COUNT):
        served = 10
        if number >= REQUEST_COUNT * 0.9:
            served = largest
        elif number >= REQUEST_COUNT * 0.7:
            served = second
        attempt = make_attempt(number, 11, served=number % 10 < served)
        record.attempts[attempt.id] = attempt
    return record


@pytest.mark.parametrize(
    ('largest', 'second', 'violation_count'),
    [
        pytest.param(10, 10, 0, id='all-alike'),
        pytest.param(5, 10, 0, id='half'),
        pytest.param(4, 10, 1, id='largest-tenth-left-out'),
        pytest.param(10, 3, 1, id='fifth-below-left-out'),
        pytest.param(0, 0, 2, id='both-left-out'),
    ],
)
def test_large_requests_that_are_left_out_are_seen(
    largest: int, second: int, violation_count: int
) -> None:
    violations = list(check_large_requests(sizes_record(largest, second)))
    assert [violation.promise for violation in violations] == [
        Promise.sizes for _ in range(violation_count)
    ]


def test_short_overload_and_few_requests_are_not_judged() -> None:
    assert not list(check_large_requests(sizes_record(0, 0, seconds=3.9)))
    few = sizes_record(0, 0)
    few.attempts = {
        attempt_id: attempt
        for attempt_id, attempt in few.attempts.items()
        if attempt.request % 8 == 0
    }
    assert not list(check_large_requests(few))


def test_request_that_was_served_when_it_came_back_counts_as_served() -> None:
    record = sizes_record(0, 10)
    for attempt in list(record.attempts.values()):
        retry = make_attempt(attempt.request, 12, served=True)
        record.attempts[f'{attempt.id}b'] = retry
    assert not list(check_large_requests(record))
