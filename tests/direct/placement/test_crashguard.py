"""Tests of requests that crash backend servers, and of what entries tell each other of them."""

from __future__ import annotations

from cassiahitch.direct.api import CallerRequest
from cassiahitch.direct.placement.crashguard import (
    RECENT_CHANGE_S,
    RECORDS_PER_MESSAGE,
    CrashGuard,
    fingerprint_of,
)


def request(body: bytes) -> CallerRequest:
    return CallerRequest('POST', '/order/1', 'h', (), body, 'a1')


def test_entries_share_the_crashes_of_a_request() -> None:
    bad = fingerprint_of('caterers', 'desk', request(b'bad'))
    good = fingerprint_of('caterers', 'desk', request(b'good'))
    first, second = CrashGuard(), CrashGuard()
    first.record_crash('r1', 1, (bad, good), 10)
    second.record_crash('r2', 1, (bad,), 10)
    assert not first.is_refused(bad, 10)
    first.merge_records(second.records_to_send(11), 11)
    assert first.is_refused(bad, 11)
    assert not first.is_refused(good, 11)


def test_request_that_completes_is_cleared_everywhere() -> None:
    mark = fingerprint_of('caterers', 'desk', request(b'unlucky'))
    first, second = CrashGuard(), CrashGuard()
    first.record_crash('r1', 1, (mark,), 10)
    second.merge_records(first.records_to_send(11), 10)
    second.record_completion(mark, 11)
    first.merge_records(second.records_to_send(11), 12)
    first.record_crash('r2', 1, (mark,), 13)
    assert not first.is_refused(mark, 13)


def test_each_suspect_is_told_in_turn_after_those_that_changed_last() -> None:
    marks = [fingerprint_of('caterers', 'desk', request(bytes((one,)))) for one in range(9)]
    guard = CrashGuard()
    for mark in marks:
        guard.record_crash('r1', 1, (mark,), 10)
    assert len(guard.records_to_send(10)) <= RECORDS_PER_MESSAGE + 1
    told = {
        record.body_digest for _ in marks for record in guard.records_to_send(11 + RECENT_CHANGE_S)
    }
    assert told == {mark.body_digest for mark in marks}
