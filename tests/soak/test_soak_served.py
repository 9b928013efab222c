"""Service that does not come back, and large requests that are left out, are seen."""

from __future__ import annotations

import pytest

from cassiahitch.soak.records import Attempt, Disturbance, Promise, Record, RequestKind
from cassiahitch.soak.service_levels import check_large_requests, check_recovery

REQUESTS = 400


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


def late_record(served: int) -> Record:
    record = Record(faults_ended=10, ended=40)
    for number in range(20):
        attempt = make_attempt(number, 22.1, served=number < served)
        record.attempts[attempt.id] = attempt
    return record


def test_service_that_does_not_come_back_is_seen() -> None:
    assert [one.promise for one in check_recovery(late_record(4))] == [Promise.recovered]
    assert not list(check_recovery(late_record(5)))


def test_time_before_the_bound_is_not_judged() -> None:
    record = late_record(0)
    record.faults_ended = 10.2
    assert not list(check_recovery(record))


def sizes_record(largest: int, below: int, *, seconds: float = 5) -> Record:
    """Serve so many of each ten of the largest tenth and of the fifth below it."""
    record = Record(ended=40, overload=Disturbance('overload', 10, 10 + seconds))
    for number in range(REQUESTS):
        share = 10
        if number >= REQUESTS * 0.9:
            share = largest
        elif number >= REQUESTS * 0.7:
            share = below
        attempt = make_attempt(number, 11, served=number % 10 < share)
        record.attempts[attempt.id] = attempt
    return record


@pytest.mark.parametrize(
    ('largest', 'below', 'broken'),
    [
        pytest.param(10, 10, 0, id='all-alike'),
        pytest.param(5, 10, 0, id='half'),
        pytest.param(4, 10, 1, id='largest-tenth-left-out'),
        pytest.param(10, 3, 1, id='fifth-below-left-out'),
        pytest.param(0, 0, 2, id='both-left-out'),
    ],
)
def test_large_requests_that_are_left_out_are_seen(largest: int, below: int, broken: int) -> None:
    found = list(check_large_requests(sizes_record(largest, below)))
    assert [one.promise for one in found] == [Promise.sizes for _ in range(broken)]


def test_short_overload_and_few_requests_are_not_judged() -> None:
    assert not list(check_large_requests(sizes_record(0, 0, seconds=3.9)))
    few = sizes_record(0, 0)
    few.attempts = {number: one for number, one in few.attempts.items() if one.request % 8 == 0}
    assert not list(check_large_requests(few))


def test_request_that_was_served_when_it_came_back_counts_as_served() -> None:
    record = sizes_record(0, 10)
    for attempt in list(record.attempts.values()):
        again = make_attempt(attempt.request, 12, served=True)
        record.attempts[f'{attempt.id}b'] = again
    assert not list(check_large_requests(record))
