"""Tests of the pace at which the origin is asked for manifests again."""

from __future__ import annotations

import random

from cassiahitch.direct.staging.manifests import LONGEST_DELAY_S, OriginPace


def test_pace_of_the_origin_slows_down_and_is_reset_by_a_sound_manifest() -> None:
    pace = OriginPace(random.Random(1))
    assert pace.due_at < 0
    now, delays = float(0), []
    for _ in range(6):
        pace.record_refusal(now)
        delays.append(pace.due_at - now)
        now = pace.due_at
    assert delays[0] < delays[1] < delays[2]
    assert all(0.8 * LONGEST_DELAY_S <= delay <= 1.2 * LONGEST_DELAY_S for delay in delays[3:])
    pace.record_success()
    assert pace.due_at < now
    pace.record_refusal(now)
    assert pace.due_at - now < LONGEST_DELAY_S / 2
