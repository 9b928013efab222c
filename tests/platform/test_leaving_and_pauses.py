"""Tests of the headers by which backend servers report a shutdown, a pause, a limit or coldness."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.direct.api import Headers, ResponseHead
from cassiahitch.platform.requests import PlatformRequests


def read_head(status: int, *headers: tuple[str, str]) -> ResponseHead:
    response_headers: Headers = (('X-Cassiahitch-Attempt-Id', 'a1'), *headers)
    return PlatformRequests().read_response(status, '', response_headers)


@pytest.mark.parametrize('status', [200, 421, 500, 503])
def test_leaving_is_read_in_all_answers(status: int) -> None:
    assert read_head(status, ('server-leaving', ' 1 ')).stopping
    assert not read_head(status, ('Server-Leaving', '0')).stopping
    assert not read_head(status).stopping


@pytest.mark.parametrize('value', ['yes', '2', 'true', '-1', '1, 1', '1 1', '1.0'])
def test_leaving_that_cannot_be_read_is_ignored(value: str) -> None:
    head = read_head(200, ('Server-Leaving', value))
    assert (head.stopping, head.invalid_headers) == (False, ('Server-Leaving',))


def test_two_headers_of_a_name_are_ignored() -> None:
    head = read_head(503, ('Server-Leaving', '1'), ('Server-Leaving', '1'))
    assert (head.stopping, head.invalid_headers) == (False, ('Server-Leaving',))
    head = read_head(503, ('Retry-After', '1'), ('retry-after', '1'))
    assert (head.pause_s, head.invalid_headers) == (None, ('Retry-After',))


@pytest.mark.parametrize(
    ('value', 'seconds'), [('2', 2), ('0.25', 0.25), ('999999999', 999_999_999), ('0', None)]
)
def test_pause_is_read_in_refusals_only(value: str, seconds: float | None) -> None:
    assert read_head(503, ('Retry-After', value)).pause_s == seconds
    assert read_head(200, ('Retry-After', value)).pause_s is None
    assert read_head(429, ('Retry-After', value)).pause_s is None


@pytest.mark.parametrize(
    'value',
    ['', '-1', 'nan', 'inf', '1e3', '1,5', 'soon', 'Fri, 04 Dec 2026 12:00:00 GMT', '1' * 400, '٣'],
)
def test_pause_that_cannot_be_read_is_ignored(value: str) -> None:
    head = read_head(503, ('Retry-After', value))
    assert (head.pause_s, head.invalid_headers) == (None, ('Retry-After',))


@given(st.integers(200, 599), st.text(), st.text())
def test_any_header_value_is_read_or_ignored(status: int, leaving: str, pause: str) -> None:
    head = read_head(status, ('Server-Leaving', leaving), ('Retry-After', pause))
    assert head.pause_s is None or round(head.pause_s) in range(10**9 + 1)
    assert head.stopping is (leaving.strip() == '1')


@given(st.floats(0.001, 1e6))
def test_each_number_of_seconds_is_read(seconds: float) -> None:
    text = f'{seconds:.4f}'
    assert read_head(503, ('Retry-After', text)).pause_s == float(text)


@pytest.mark.parametrize('status', [200, 421, 500, 503])
@pytest.mark.parametrize(('value', 'per_s'), [('2.1', 2.1), (' 2 ', 2), ('0', 0), ('0.001', 0.001)])
def test_rate_limit_is_read_in_all_answers(status: int, value: str, per_s: float) -> None:
    assert read_head(status, ('server-limit', value)).limit_per_s == per_s
    assert read_head(status).limit_per_s == math.inf


@pytest.mark.parametrize(
    'value', ['', '-1', '+1', 'nan', 'inf', '1e9', '2,1', '2, 1', '1/s', '.', '1' * 10, '٣']
)
def test_rate_limit_that_cannot_be_read_is_unknown(value: str) -> None:
    head = read_head(200, ('Server-Limit', value))
    assert (head.limit_per_s, head.invalid_headers) == (None, ('Server-Limit',))


def test_two_rate_limits_are_unknown() -> None:
    head = read_head(200, ('Server-Limit', '2'), ('server-limit', '2'))
    assert (head.limit_per_s, head.invalid_headers) == (None, ('Server-Limit',))


@pytest.mark.parametrize('status', [200, 421, 503])
def test_time_for_which_a_replica_stays_cold_is_read_in_all_responses(status: int) -> None:
    assert read_head(status, ('x-cassiahitch-cold-ms', ' 3000 ')).cold_s == 3
    assert not read_head(status).cold_s


@pytest.mark.parametrize('value', ['', '-1', 'nan', 'inf', '1e3', '1,5', 'soon', '1' * 400])
def test_cold_time_that_cannot_be_read_is_ignored(value: str) -> None:
    head = read_head(200, ('X-Cassiahitch-Cold-Ms', value))
    assert (head.cold_s, head.invalid_headers) == (0, ('X-Cassiahitch-Cold-Ms',))
