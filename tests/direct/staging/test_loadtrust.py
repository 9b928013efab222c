"""Tests of which loaded weights may serve, given the orders and verifications of their agent."""

from __future__ import annotations

import pytest

from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.staging.enginestate import EngineReport, LoadOutcome
from cassiahitch.direct.staging.loadtrust import LoadTrust, ProvenLoad

OLD = WeightsId(1, 'm1')
NEW = WeightsId(2, 'm1')


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


def test_load_serves_only_once_it_is_verified() -> None:
    trust = make_trust()
    trust.record_order(NEW, 0)
    assert is_withheld(trust, NEW)
    assert not is_withheld(trust, OLD)
    trust.record_outcome(LoadOutcome.begun)
    trust.observe(report(1, 1, loading=True))
    assert trust.has_unproven_load
    assert is_withheld(trust, NEW)
    assert trust.record_verification(sound=True, chunks=0)
    assert not trust.has_unproven_load
    assert not is_withheld(trust, NEW)
    assert trust.proven_load() == ProvenLoad(1, 1)


@pytest.mark.parametrize('sound', [True, False])
def test_load_that_is_not_sound_is_withheld(*, sound: bool) -> None:
    trust = make_trust()
    trust.record_order(NEW, 0)
    trust.record_outcome(LoadOutcome.begun)
    assert trust.has_unproven_load
    assert is_withheld(trust, NEW)
    assert trust.record_verification(sound=sound, chunks=0) is sound
    assert trust.needs_reload is not sound
    assert is_withheld(trust, NEW) is not sound


def test_order_without_response_is_verified_once_the_engine_has_accepted_it() -> None:
    trust = make_trust()
    trust.record_order(NEW, 0)
    trust.record_outcome(LoadOutcome.unknown)
    trust.observe(report(1, 0))
    assert not trust.has_unproven_load
    trust.observe(report(1, 1, loading=True))
    assert trust.has_unproven_load
    assert is_withheld(trust, NEW)


def test_verification_proves_nothing_about_chunks_replaced_after_an_order_without_response() -> (
    None
):
    trust = make_trust()
    trust.record_order(NEW, 0)
    trust.record_outcome(LoadOutcome.unknown)
    trust.record_replaced_chunk(NEW)
    trust.record_order(NEW, 0)
    trust.record_outcome(LoadOutcome.refused)
    trust.observe(report(1, 1, loading=True))
    assert not trust.record_verification(sound=True, chunks=0)
    assert is_withheld(trust, NEW)


def test_order_that_begins_a_load_proves_that_an_earlier_one_without_response_did_not() -> None:
    trust = make_trust()
    trust.record_order(NEW, 0)
    trust.record_outcome(LoadOutcome.unknown)
    trust.record_replaced_chunk(NEW)
    trust.record_order(NEW, 0)
    trust.record_outcome(LoadOutcome.begun)
    trust.observe(report(1, 1, loading=True))
    assert trust.record_verification(sound=True, chunks=0)
    assert not is_withheld(trust, NEW)


@pytest.mark.parametrize('outcome', [LoadOutcome.refused, LoadOutcome.in_effect])
def test_order_that_began_no_load_withholds_nothing(outcome: LoadOutcome) -> None:
    trust = make_trust()
    trust.record_order(NEW, 0)
    trust.record_outcome(outcome)
    trust.observe(report(2, 0))
    assert not is_withheld(trust, NEW)


def test_unsound_weights_stay_withheld_if_the_engine_does_not_load_them_again() -> None:
    trust = make_trust()
    trust.record_order(NEW, 0)
    trust.record_outcome(LoadOutcome.begun)
    trust.record_verification(sound=False, chunks=0)
    trust.record_order(NEW, 1)
    trust.record_outcome(LoadOutcome.in_effect)
    assert is_withheld(trust, NEW)
    trust.record_order(NEW, 1)
    trust.record_outcome(LoadOutcome.begun)
    assert is_withheld(trust, NEW)
    assert trust.record_verification(sound=True, chunks=0)
    assert not is_withheld(trust, NEW)


def test_restarted_engine_has_lost_its_unsound_weights() -> None:
    trust = make_trust()
    trust.record_order(NEW, 0)
    trust.record_outcome(LoadOutcome.begun)
    trust.record_verification(sound=False, chunks=0)
    trust.observe(report(0, 0, born_ms=2))
    assert not is_withheld(trust, NEW)
    assert not trust.has_unproven_load


def test_report_from_before_an_order_does_not_end_its_verification() -> None:
    trust = make_trust()
    trust.record_order(NEW, 0)
    trust.record_outcome(LoadOutcome.begun)
    trust.observe(report(1, 0))
    assert trust.has_unproven_load
    assert trust.record_verification(sound=True, chunks=0)
    trust.observe(report(2, 1))
    assert not is_withheld(trust, NEW)


@pytest.mark.parametrize('loading', [True, False])
@pytest.mark.parametrize(
    ('record', 'is_proven'),
    [
        (ProvenLoad(1, 3), True),
        (ProvenLoad(1, 4), True),
        (ProvenLoad(1, 2), False),
        (ProvenLoad(2, 3), False),
        (None, False),
    ],
    ids=['same', 'later', 'earlier', 'other-incarnation', 'none'],
)
def test_load_before_the_first_report_serves_only_if_it_is_recorded(
    record: ProvenLoad | None, *, is_proven: bool, loading: bool
) -> None:
    trust = LoadTrust()
    trust.observe(report(2, 3, loading=loading))
    assert trust.has_unproven_load
    assert trust.awaits_record
    assert is_withheld(trust, NEW)
    assert trust.apply_record(record) is is_proven
    assert is_withheld(trust, NEW) is not is_proven
    assert trust.needs_reload is not is_proven


def test_weights_of_an_engine_that_has_begun_no_load_may_serve() -> None:
    trust = LoadTrust()
    trust.observe(report(1, 0))
    assert not trust.awaits_record
    assert not is_withheld(trust, OLD)
    assert trust.proven_load() is None


def test_load_that_another_incarnation_of_the_agent_ordered_is_withheld() -> None:
    trust = make_trust()
    trust.observe(report(2, 1))
    assert trust.awaits_record
    assert is_withheld(trust, NEW)


def test_order_that_may_still_be_executed_proves_no_load_before_it() -> None:
    trust = make_trust()
    trust.observe(report(1, 1))
    trust.apply_record(None)
    trust.record_order(NEW, 1)
    trust.record_outcome(LoadOutcome.unknown)
    assert not trust.has_ordered_load
    assert trust.needs_reload
    assert not trust.record_verification(sound=True, chunks=0)


def test_load_that_begins_during_a_verification_is_not_proven_by_it() -> None:
    trust = make_trust()
    trust.record_order(NEW, 0)
    trust.record_outcome(LoadOutcome.begun)
    trust.observe(report(2, 2))
    assert not trust.record_verification(sound=True, chunks=0)
    assert is_withheld(trust, NEW)
