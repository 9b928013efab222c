"""What is taken after the signal can be finished."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.direct.callers.shutdown import RESPONSE_MARGIN_S, ShutdownSchedule

SECONDS = st.floats(0, 60)
GRACES = st.floats(0.5, 60)
EIGHT = ShutdownSchedule(signalled_at=100, grace_s=8, address_hold_s=6)


@given(st.floats(0, 1e6), GRACES, SECONDS, SECONDS, SECONDS)
def test_what_is_taken_ends_before_the_process_or_came_early(
    signalled_at: float, grace_s: float, address_hold_s: float, after_s: float, lasts_s: float
) -> None:
    plan = ShutdownSchedule(signalled_at, grace_s, address_hold_s)
    read_at = signalled_at + after_s
    if plan.accepts(read_at, read_at + lasts_s):
        assert read_at + lasts_s < plan.close_at or read_at <= signalled_at + grace_s * 3 / 8


@given(st.floats(0, 1e6), GRACES, SECONDS, SECONDS)
def test_what_was_read_before_the_signal_or_ends_in_time_is_taken(
    signalled_at: float, grace_s: float, address_hold_s: float, lasts_s: float
) -> None:
    plan = ShutdownSchedule(signalled_at, grace_s, address_hold_s)
    assert plan.accepts(signalled_at, signalled_at + lasts_s)
    assert plan.accepts(plan.close_at - lasts_s, plan.close_at - 2 * RESPONSE_MARGIN_S)


@given(st.floats(0, 1e6), GRACES, SECONDS)
def test_process_ends_within_the_last_sixth_of_its_grace_period(
    signalled_at: float, grace_s: float, address_hold_s: float
) -> None:
    plan = ShutdownSchedule(signalled_at, grace_s, address_hold_s)
    assert signalled_at + grace_s * 5 / 6 < plan.close_at < signalled_at + grace_s
    assert signalled_at <= plan.accept_until <= plan.close_at


@pytest.mark.parametrize(
    ('after_s', 'lasts_s', 'taken'),
    [(0, 60, True), (2.6, 60, True), (2.7, 60, False), (4.7, 2.3, True), (4.7, 2.5, False)],
)
def test_stream_is_taken_by_when_it_came_and_how_long_it_may_last(
    after_s: float, lasts_s: float, *, taken: bool
) -> None:
    read_at = EIGHT.signalled_at + after_s
    assert EIGHT.accepts(read_at, read_at + lasts_s) is taken
