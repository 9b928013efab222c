"""Tests of the hybrid logical clock."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.clock import ManualClock
from cassiahitch.timeline.clock import MAX_AHEAD_MS, HybridClock, Timestamp

SKEWS_S = st.lists(st.floats(0, 30), min_size=2, max_size=4)
STEPS = st.lists(st.tuples(st.integers(0, 3), st.integers(0, 3), st.floats(-1, 1)), max_size=60)


@given(SKEWS_S, STEPS)
def test_receipt_is_after_sending_despite_skew(
    skews: list[float],
    steps: list[tuple[int, int, float]],
) -> None:
    hosts = [ManualClock(1000 + skew) for skew in skews]
    clocks = [HybridClock(host) for host in hosts]
    issued: list[set[Timestamp]] = [set() for _ in hosts]
    for sender, receiver, elapsed in steps:
        sender, receiver = sender % len(hosts), receiver % len(hosts)
        hosts[sender].advance(elapsed)
        sent = clocks[sender].tick()
        received = clocks[receiver].merge(sent)
        assert received > sent
        assert all(received > earlier for earlier in issued[receiver])
        issued[sender].add(sent)
        issued[receiver].add(received)


def test_timestamp_far_ahead_is_not_adopted() -> None:
    clock = HybridClock(ManualClock(1000))
    far_ahead = Timestamp(1_000_001 + MAX_AHEAD_MS)
    assert clock.merge(far_ahead) < far_ahead
    assert clock.rejected == 1


def test_clock_stays_close_to_the_latest_host_clock() -> None:
    host = ManualClock(1000)
    clock = HybridClock(host)
    clock.merge(Timestamp(1_005_000))
    host.advance(6)
    assert clock.tick() == Timestamp(1_006_000)
