"""Tests of the rate limiter of links."""

from __future__ import annotations

import pytest

from cassiahitch.weights.bucket import LinkBucket, LinkLimits

LIMITS = LinkLimits(bytes_per_s=1000, max_utilisation=0.9, burst_s=0)


def test_transfers_keep_to_the_share_of_the_link() -> None:
    bucket = LinkBucket(LIMITS)
    delays = [bucket.reserve(90, 0) for _ in range(4)]
    assert delays == pytest.approx([0, 0.1, 0.2, 0.3])


def test_live_bytes_delay_transfers() -> None:
    bucket = LinkBucket(LIMITS)
    bucket.record_live(450, 0)
    assert bucket.reserve(1, 0) == pytest.approx(0.5)


def test_lower_level_waits_for_higher_and_not_the_other_way_round() -> None:
    bucket = LinkBucket(LIMITS)
    bucket.reserve(900, 0, priority=1)
    assert bucket.reserve(900, 0, priority=0) == 0
    assert bucket.reserve(1, 0, priority=1) == pytest.approx(2)


def test_idle_time_is_not_saved_up() -> None:
    bucket = LinkBucket(LinkLimits(bytes_per_s=1000, max_utilisation=0.9, burst_s=0.1))
    delays = [bucket.reserve(90, 100) for _ in range(3)]
    assert delays == pytest.approx([0, 0, 0.1])
