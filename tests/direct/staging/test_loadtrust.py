"""Tests of which loaded weights may serve, given the orders and verifications of their agent."""

from __future__ import annotations

import pytest

from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.staging.enginestate import EngineReport, LoadOutcome
from cassiahitch.direct.staging.loadtrust import MAX_TAKEN_AFTER_S, LoadTrust

OLD = WeightsId(1, 'm1')
NEW = WeightsId(2, 'm1')
IN_TIME_S = MAX_TAKEN_AFTER_S / 2
TOO_LATE_S = MAX_TAKEN_AFTER_S + 1


def report(version: int, loads: int, *, loading: bool = False, born_ms: int = 1) -> EngineReport:
    weights = (('m1', version),) if version else ()
    return EngineReport(weights, loading=loading, load_orders=loads, born_ms=born_ms)


def make_trust() -> LoadTrust:
    """Return the trust in an engine that has loaded the old version."""
    trust = LoadTrust()
    trust.observe(report(1, 0))
    return trust


def is_withheld(trust: LoadTrust, weights: WeightsId) -> bool:
    return trust.is_withheld(weights.model, weights.version)


def test_load_that_is_accepted_in_time_serves_at_once() -> None:
    trust = make_trust()
    trust.record_order(NEW)
    assert is_withheld(trust, NEW)
    assert not is_withheld(trust, OLD)
    trust.record_outcome(LoadOutcome.begun, 0, IN_TIME_S)
    trust.observe(report(1, 1, loading=True))
    assert not trust.has_unproven_load
    assert not is_withheld(trust, NEW)


@pytest.mark.parametrize('sound', [True, False])
def test_load_that_may_have_been_accepted_late_serves_once_verified(*, sound: bool) -> None:
    trust = make_trust()
    trust.record_order(NEW)
    trust.record_outcome(LoadOutcome.begun, 0, TOO_LATE_S)
    assert trust.has_unproven_load
    assert is_withheld(trust, NEW)
    assert trust.record_verification(sound=sound) is sound
    assert not trust.has_unproven_load
    assert is_withheld(trust, NEW) is not sound


def test_order_without_response_is_verified_once_the_engine_has_accepted_it() -> None:
    trust = make_trust()
    trust.record_order(NEW)
    trust.record_outcome(LoadOutcome.unknown, 0, IN_TIME_S)
    trust.observe(report(1, 0))
    assert not trust.has_unproven_load
    trust.observe(report(1, 1, loading=True))
    assert trust.has_unproven_load
    assert is_withheld(trust, NEW)


def test_verification_proves_nothing_about_chunks_replaced_after_an_order_without_response() -> (
    None
):
    trust = make_trust()
    trust.record_order(NEW)
    trust.record_outcome(LoadOutcome.unknown, 0, IN_TIME_S)
    trust.record_replaced_chunk(NEW)
    trust.record_order(NEW)
    trust.record_outcome(LoadOutcome.refused, 0, IN_TIME_S)
    trust.observe(report(1, 1, loading=True))
    assert not trust.record_verification(sound=True)
    assert is_withheld(trust, NEW)


def test_order_that_begins_a_load_proves_that_an_earlier_one_without_response_did_not() -> None:
    trust = make_trust()
    trust.record_order(NEW)
    trust.record_outcome(LoadOutcome.unknown, 0, IN_TIME_S)
    trust.record_replaced_chunk(NEW)
    trust.record_order(NEW)
    trust.record_outcome(LoadOutcome.begun, 0, IN_TIME_S)
    trust.observe(report(1, 1, loading=True))
    assert not trust.has_unproven_load
    assert not is_withheld(trust, NEW)


@pytest.mark.parametrize('outcome', [LoadOutcome.refused, LoadOutcome.in_effect])
def test_order_that_began_no_load_withholds_nothing(outcome: LoadOutcome) -> None:
    trust = make_trust()
    trust.record_order(NEW)
    trust.record_outcome(outcome, 0, TOO_LATE_S)
    trust.observe(report(2, 0))
    assert not is_withheld(trust, NEW)


def test_unsound_weights_stay_withheld_if_the_engine_does_not_load_them_again() -> None:
    trust = make_trust()
    trust.record_order(NEW)
    trust.record_outcome(LoadOutcome.begun, 0, TOO_LATE_S)
    trust.record_verification(sound=False)
    trust.record_order(NEW)
    trust.record_outcome(LoadOutcome.in_effect, 1, IN_TIME_S)
    assert is_withheld(trust, NEW)
    trust.record_order(NEW)
    trust.record_outcome(LoadOutcome.begun, 1, IN_TIME_S)
    assert not is_withheld(trust, NEW)


def test_restarted_engine_has_lost_its_unsound_weights() -> None:
    trust = make_trust()
    trust.record_order(NEW)
    trust.record_outcome(LoadOutcome.begun, 0, TOO_LATE_S)
    trust.record_verification(sound=False)
    trust.observe(report(0, 0, born_ms=2))
    assert not is_withheld(trust, NEW)
    assert not trust.has_unproven_load


def test_load_in_progress_at_the_first_report_is_unproven() -> None:
    trust = LoadTrust()
    trust.observe(report(1, 3, loading=True))
    assert trust.has_unproven_load


def test_report_from_before_the_order_shows_no_unproven_load() -> None:
    trust = make_trust()
    trust.record_order(NEW)
    trust.record_outcome(LoadOutcome.begun, 0, IN_TIME_S)
    trust.observe(report(1, 0))
    assert not trust.has_unproven_load


def test_weights_loaded_before_the_first_report_may_serve() -> None:
    trust = LoadTrust()
    trust.observe(report(2, 3))
    assert not trust.has_unproven_load
    assert not is_withheld(trust, NEW)
