"""Agents grant no more permits than a cold replica survives.

Guards against a burst of permits when a replica becomes cold or after a time without requests,
against permits for the warm rate after a restart of the engine or of the agent, and against a
bucket that each query empties.
"""

from __future__ import annotations

import pytest

from cassiahitch.direct.staging.enginelimit import ColdRate, EngineRateLimit
from cassiahitch.direct.staging.enginestate import EngineReport
from cassiahitch.direct.staging.permits import PermitService
from cassiahitch.direct.staging.ratelimiter import RateLimiter
from cassiahitch.direct.state.ratelimits import LimitObservation
from cassiahitch.direct.statelog import StateLog
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import ColdRecord, LimitRecord

ENTRY = Endpoint('10.1.0.1', 7700)
PER_S = 14.0
COLD_S = 3.0
BOUND = PER_S * 1.5 + 5
RATE = ColdRate(PER_S, COLD_S)
#: A record of an engine that has named no limit and stays cold for two seconds.
COLD_RECORD = LimitRecord(born_ms=7, cold=(ColdRecord(2000, 14_000),))


def _grants(limiter: RateLimiter, begin: float, end: float) -> list[float]:
    """Return when permits are granted to queries that arrive 200 times a second."""
    times = [tick / 200 for tick in range(int(begin * 200), int(end * 200))]
    return [at for number, at in enumerate(times) if limiter.request(ENTRY, number, at) is None]


def _most_in_one_second(granted: list[float]) -> int:
    return max(sum(first <= at < first + 1 for at in granted) for first in granted)


def _rate_limit() -> EngineRateLimit:
    return EngineRateLimit(StateLog(), cold_rate=lambda: RATE)


def test_cold_rate_is_kept_and_used() -> None:
    limiter = RateLimiter()
    assert limiter.mark_cold(PER_S, 100, 0)
    granted = _grants(limiter, 0, 10)
    assert _most_in_one_second(granted) <= PER_S + 2
    assert len(granted) >= PER_S * 9


def test_agent_without_a_configuration_keeps_the_rate_that_an_entry_told_it() -> None:
    """Guards against permits without a limit after the next report of the engine."""
    limiter = RateLimiter()
    limiter.mark_cold(PER_S, 100, 0)
    limiter.mark_cold(0, -1, 1)
    assert _most_in_one_second(_grants(limiter, 1, 11)) <= PER_S + 2


def test_permits_are_not_saved_up() -> None:
    limiter = RateLimiter()
    limiter.mark_cold(PER_S, 100, 0)
    assert _most_in_one_second(_grants(limiter, 50, 51)) <= PER_S + 2


def test_lower_one_of_two_limits_applies() -> None:
    limiter = RateLimiter()
    limiter.observe(LimitObservation.named(2, 0, 0), 0)
    limiter.mark_cold(PER_S, 100, 0)
    assert len(_grants(limiter, 0, 10)) <= 2 * 10 + 1
    limiter.observe(LimitObservation.named(40, 11, 11), 11)
    assert len(_grants(limiter, 11, 21)) <= PER_S * 10 + 2


def test_all_requests_are_granted_after_the_period() -> None:
    limiter = RateLimiter()
    limiter.mark_cold(PER_S, 2, 0)
    assert len(_grants(limiter, 2, 3)) == 200


def test_new_incarnation_of_the_engine_counts_as_cold() -> None:
    rate_limit = _rate_limit()
    rate_limit.apply_report(EngineReport(born_ms=7), 0, 0)
    rate_limit.apply_report(EngineReport(born_ms=7), 10, 10)
    assert not rate_limit.limiter.is_cold(10)
    rate_limit.apply_report(EngineReport(born_ms=8), 20, 20)
    assert rate_limit.limiter.is_cold(20 + COLD_S - 0.1)
    assert not rate_limit.limiter.is_cold(20 + COLD_S)
    assert rate_limit.limiter.request(ENTRY, 1, 20) is not None


def test_engine_that_reports_itself_cold_again_is_limited_from_then_on() -> None:
    rate_limit = _rate_limit()
    rate_limit.apply_report(EngineReport(born_ms=7), 0, 0)
    rate_limit.apply_report(EngineReport(born_ms=7, cold_s=5), 10, 10)
    granted = _grants(rate_limit.limiter, 10, 15)
    assert _most_in_one_second(granted) <= BOUND
    assert PER_S * 4 <= len(granted) <= PER_S * 5 + 2


def test_restarted_agent_grants_the_cold_rate_only() -> None:
    rate_limit = _rate_limit()
    rate_limit.apply_report(EngineReport(born_ms=7), 100, 100)
    assert _most_in_one_second(_grants(rate_limit.limiter, 100, 102)) <= PER_S + 2


def test_queries_of_entries_inform_the_agent_and_leave_its_bucket_alone() -> None:
    rate_limit = EngineRateLimit(StateLog())
    rate_limit.apply_report(EngineReport(born_ms=7), 0, 0)
    granted = 0
    for tick in range(200, 400):
        rate_limit.apply_records((COLD_RECORD,), ENTRY, tick / 100)
        granted += rate_limit.limiter.request(ENTRY, tick, tick / 100) is None
    assert PER_S * 1.8 <= granted <= PER_S * 2 + 2
    record = rate_limit.records(4)[0]
    assert record.cold[0].milli_per_s == 14_000
    assert record.cold[0].left_ms == pytest.approx(1990, abs=2)


def test_reports_after_a_query_do_not_end_the_period_early() -> None:
    rate_limit = _rate_limit()
    rate_limit.apply_report(EngineReport(born_ms=7), 0, 0)
    rate_limit.apply_records((COLD_RECORD,), ENTRY, 10)
    rate_limit.apply_report(EngineReport(born_ms=7), 10.1, 10.1)
    assert rate_limit.limiter.is_cold(11.9)


def test_agent_without_a_cold_rate_sends_the_records_of_earlier_versions() -> None:
    rate_limit = EngineRateLimit(StateLog())
    rate_limit.apply_report(EngineReport(born_ms=7, cold_s=5), 0, 0)
    assert not rate_limit.records(1)
    assert rate_limit.limiter.request(ENTRY, 1, 1) is None


def test_permits_for_plain_replicas_keep_the_cold_rate() -> None:
    service = PermitService(StateLog())
    record = LimitRecord('p-0', 7, cold=(ColdRecord(60_000, 14_000),))
    limiter = service.observe(record, ENTRY, 0)
    granted = 0
    for tick in range(1000):
        limiter = service.observe(record, ENTRY, tick / 100)
        granted += limiter.request(ENTRY, tick, tick / 100) is None
    assert PER_S * 9 <= granted <= PER_S * 10 + 2
