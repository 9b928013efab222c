"""Tests of the rate limit of an engine, by its reports and by what entries observed."""

from __future__ import annotations

import math

from cassiahitch.direct.staging.enginelimit import EngineRateLimit
from cassiahitch.direct.staging.enginestate import EngineReport
from cassiahitch.direct.state.ratelimits import LimitObservation
from cassiahitch.direct.statelog import StateLog
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import LimitRecord

ENTRY = Endpoint('10.1.0.1', 7700)
BORN_MS = 7


def make_rate_limit() -> EngineRateLimit:
    rate_limit = EngineRateLimit(StateLog())
    rate_limit.apply_report(EngineReport(born_ms=BORN_MS), 0, 0)
    return rate_limit


def record_of(per_s: float, sent_at: float, received_at: float, now: float) -> LimitRecord:
    return LimitObservation(per_s, sent_at, received_at).record(now, born_ms=BORN_MS)


def test_limit_in_a_report_ends_with_a_later_report_without_one() -> None:
    rate_limit = make_rate_limit()
    rate_limit.apply_report(EngineReport(born_ms=BORN_MS, limit_per_s=2), 1, 1.1)
    assert rate_limit.per_s == 2
    rate_limit.apply_report(EngineReport(born_ms=BORN_MS, limit_per_s=None), 2, 2.1)
    assert rate_limit.per_s == 2
    rate_limit.apply_report(EngineReport(born_ms=BORN_MS), 3, 3.1)
    assert rate_limit.per_s == math.inf


def test_reports_that_never_name_a_limit_end_none_that_entries_observed() -> None:
    rate_limit = make_rate_limit()
    rate_limit.apply_records((record_of(2, 1, 2, 2),), ENTRY, 2)
    rate_limit.apply_report(EngineReport(born_ms=BORN_MS), 3, 3.1)
    assert rate_limit.per_s == 2
    rate_limit.apply_records((record_of(math.inf, 4, 5, 5),), ENTRY, 5)
    assert rate_limit.per_s == math.inf


def test_observation_of_a_response_before_the_last_naming_ends_no_limit() -> None:
    rate_limit = make_rate_limit()
    rate_limit.apply_records((record_of(2, 1, 2, 2),), ENTRY, 2)
    rate_limit.apply_records((record_of(math.inf, 1, 3, 3),), ENTRY, 3)
    assert rate_limit.per_s == 2


def test_limit_does_not_apply_to_the_next_start_of_the_engine() -> None:
    rate_limit = make_rate_limit()
    rate_limit.apply_records((record_of(2, 1, 2, 2),), ENTRY, 2)
    rate_limit.apply_report(EngineReport(born_ms=BORN_MS + 1), 3, 3.1)
    assert rate_limit.per_s == math.inf
    rate_limit.apply_records((record_of(2, 1, 2, 4),), ENTRY, 4)
    assert rate_limit.per_s == math.inf
    assert not rate_limit.records(4)


def test_records_of_other_replicas_are_ignored() -> None:
    rate_limit = make_rate_limit()
    rate_limit.apply_records((LimitRecord('p-1', BORN_MS, 2000),), ENTRY, 2)
    assert rate_limit.per_s == math.inf
