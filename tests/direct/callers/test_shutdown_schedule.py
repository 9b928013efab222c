"""Every request that is accepted after the signal can be finished."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.direct.callers.shutdown import RESPONSE_MARGIN_S, ShutdownSchedule

SECONDS = st.floats(0, 60)
GRACE_PERIODS = st.floats(0.5, 60)
SCHEDULE = ShutdownSchedule(signalled_at=100, grace_s=8, address_hold_s=6)


@given(st.floats(0, 1e6), GRACE_PERIODS, SECONDS, SECONDS, SECONDS)
def test_accepted_requests_end_before_the_process_or_arrived_early(
    signalled_at: float, grace_s: float, address_hold_s: float, after_s: float, duration_s: float
) -> None:
    schedule = ShutdownSchedule(signalled_at, grace_s, address_hold_s)
    read_at = signalled_at + after_s
    if schedule.accepts(read_at, read_at + duration_s):
        assert read_at + duration_s < schedule.close_at or read_at <= signalled_at + grace_s * 3 / 8


@given(st.floats(0, 1e6), GRACE_PERIODS, SECONDS, SECONDS)
def test_requests_read_before_the_signal_or_ending_in_time_are_accepted(
    signalled_at: float, grace_s: float, address_hold_s: float, duration_s: float
) -> None:
    schedule = ShutdownSchedule(signalled_at, grace_s, address_hold_s)
    assert schedule.accepts(signalled_at, signalled_at + duration_s)
    assert schedule.accepts(
        schedule.close_at - duration_s, schedule.close_at - 2 * RESPONSE_MARGIN_S
    )


@given(st.floats(0, 1e6), GRACE_PERIODS, SECONDS)
def test_process_ends_within_the_last_sixth_of_its_grace_period(
    signalled_at: float, grace_s: float, address_hold_s: float
) -> None:
    schedule = ShutdownSchedule(signalled_at, grace_s, address_hold_s)
    assert signalled_at + grace_s * 5 / 6 < schedule.close_at < signalled_at + grace_s
    assert signalled_at <= schedule.accept_until <= schedule.close_at


@pytest.mark.parametrize(
    ('after_s', 'duration_s', 'accepted'),
    [(0, 60, True), (2.6, 60, True), (2.7, 60, False), (4.7, 2.3, True), (4.7, 2.5, False)],
)
def test_stream_is_accepted_by_its_arrival_and_its_longest_duration(
    after_s: float, duration_s: float, *, accepted: bool
) -> None:
    read_at = SCHEDULE.signalled_at + after_s
    assert SCHEDULE.accepts(read_at, read_at + duration_s) is accepted
