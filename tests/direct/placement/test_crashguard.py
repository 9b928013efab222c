"""Tests of requests that crash backend servers, and of the records that entries exchange."""

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
    crashing = fingerprint_of('caterers', 'desk', request(b'bad'))
    harmless = fingerprint_of('caterers', 'desk', request(b'good'))
    first, second = CrashGuard(), CrashGuard()
    first.record_crash('r1', 1, (crashing, harmless), 10)
    second.record_crash('r2', 1, (crashing,), 10)
    assert not first.is_refused(crashing, 10)
    first.merge_records(second.records_to_send(11), 11)
    assert first.is_refused(crashing, 11)
    assert not first.is_refused(harmless, 11)


def test_request_that_completes_is_cleared_at_all_entries() -> None:
    fingerprint = fingerprint_of('caterers', 'desk', request(b'unlucky'))
    first, second = CrashGuard(), CrashGuard()
    first.record_crash('r1', 1, (fingerprint,), 10)
    second.merge_records(first.records_to_send(11), 10)
    second.record_completion(fingerprint, 11)
    first.merge_records(second.records_to_send(11), 12)
    first.record_crash('r2', 1, (fingerprint,), 13)
    assert not first.is_refused(fingerprint, 13)


def test_each_suspect_is_sent_in_turn_after_those_that_changed_last() -> None:
    fingerprints = [
        fingerprint_of('caterers', 'desk', request(bytes((number,)))) for number in range(9)
    ]
    guard = CrashGuard()
    for fingerprint in fingerprints:
        guard.record_crash('r1', 1, (fingerprint,), 10)
    assert len(guard.records_to_send(10)) <= RECORDS_PER_MESSAGE + 1
    sent = {
        record.body_digest
        for _ in fingerprints
        for record in guard.records_to_send(11 + RECENT_CHANGE_S)
    }
    assert sent == {fingerprint.body_digest for fingerprint in fingerprints}
