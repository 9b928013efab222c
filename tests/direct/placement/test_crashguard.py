"""Tests of requests that crash backend servers, and of what entries tell each other of them."""

from __future__ import annotations

from cassiahitch.direct.api import CallerRequest
from cassiahitch.direct.placement.crashguard import NEWS_S, TOLD, CrashGuard, fingerprint_of


def request(body: bytes) -> CallerRequest:
    return CallerRequest('POST', '/order/1', 'h', (), body, 'a1')


def test_entries_share_the_crashes_of_a_request() -> None:
    bad = fingerprint_of('caterers', 'desk', request(b'bad'))
    good = fingerprint_of('caterers', 'desk', request(b'good'))
    first, second = CrashGuard(), CrashGuard()
    first.crashed('r1', 1, (bad, good), 10)
    second.crashed('r2', 1, (bad,), 10)
    assert not first.refuses(bad, 10)
    first.heard(second.told(11), 11)
    assert first.refuses(bad, 11)
    assert not first.refuses(good, 11)


def test_request_that_completes_is_cleared_everywhere() -> None:
    mark = fingerprint_of('caterers', 'desk', request(b'unlucky'))
    first, second = CrashGuard(), CrashGuard()
    first.crashed('r1', 1, (mark,), 10)
    second.heard(first.told(11), 10)
    second.completed(mark, 11)
    first.heard(second.told(11), 12)
    first.crashed('r2', 1, (mark,), 13)
    assert not first.refuses(mark, 13)


def test_each_suspect_is_told_in_turn_after_those_that_changed_last() -> None:
    marks = [fingerprint_of('caterers', 'desk', request(bytes((one,)))) for one in range(9)]
    guard = CrashGuard()
    for mark in marks:
        guard.crashed('r1', 1, (mark,), 10)
    assert len(guard.told(10)) <= TOLD + 1
    told = {record.body_digest for _ in marks for record in guard.told(11 + NEWS_S)}
    assert told == {mark.body_digest for mark in marks}
