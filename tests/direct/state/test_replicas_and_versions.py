"""Tests of the replica registry, the weight version policy and the lease on the configuration."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.direct.state.freshness import LEASE_FRACTION, Freshness
from cassiahitch.direct.state.replicas import (
    LIST_OUTAGE_AFTER_S,
    REREGISTRATION_S,
    Replica,
    ReplicaRegistry,
)
from cassiahitch.direct.state.versions import (
    BOUND_MARGIN_S,
    MAX_POLL_GAP_S,
    DeclaredVersion,
    VersionPolicy,
)
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import VersionRecord


def replica(name: str, *, draining: bool = False) -> Replica:
    return Replica(name, 'desk', Endpoint('10.0.0.1', 80), 'north-1', 4, draining, 7)


def make_registry() -> ReplicaRegistry:
    registry = ReplicaRegistry()
    registry.record_reply(10, 10)
    registry.update(replica('a'))
    registry.update(replica('b'))
    return registry


def usable_ids(registry: ReplicaRegistry) -> set[str]:
    return {replica.id for replica in registry.usable('desk')}


def test_draining_replica_gets_no_requests() -> None:
    registry = make_registry()
    registry.update(replica('a', draining=True))
    assert usable_ids(registry) == {'b'}


def test_removed_replica_is_dropped_at_once_while_the_list_is_available() -> None:
    registry = make_registry()
    registry.record_reply(10.5, 10.6)
    registry.remove('a', 10.6)
    assert usable_ids(registry) == {'b'}


def test_replica_missing_after_an_outage_of_the_list_stays_until_it_had_time_to_register() -> None:
    registry = make_registry()
    recovered_at = 10 + LIST_OUTAGE_AFTER_S + 3
    registry.record_reply(recovered_at - 0.1, recovered_at)
    registry.remove('a', recovered_at)
    assert usable_ids(registry) == {'a', 'b'}
    registry.expire(recovered_at + REREGISTRATION_S - 0.1)
    assert usable_ids(registry) == {'a', 'b'}
    registry.expire(recovered_at + REREGISTRATION_S)
    assert usable_ids(registry) == {'b'}


def test_replica_whose_removal_is_pushed_right_after_an_outage_stays_as_after_a_reply() -> None:
    # Another process has reached the list again before this one, and pushed what it read.
    registry = make_registry()
    pushed_at = 10 + LIST_OUTAGE_AFTER_S + 3
    registry.remove('a', pushed_at)
    assert usable_ids(registry) == {'a', 'b'}
    registry.record_reply(pushed_at + 0.3, pushed_at + 0.4)
    registry.remove('a', pushed_at + 0.4)
    registry.expire(pushed_at + REREGISTRATION_S - 0.1)
    assert usable_ids(registry) == {'a', 'b'}
    registry.expire(pushed_at + REREGISTRATION_S)
    assert usable_ids(registry) == {'b'}


def test_removals_pushed_again_and_again_do_not_keep_a_replica() -> None:
    registry = make_registry()
    pushed_at = 10 + LIST_OUTAGE_AFTER_S + 3
    for number in range(20):
        registry.remove('a', pushed_at + number * REREGISTRATION_S / 10)
    registry.expire(pushed_at + REREGISTRATION_S)
    assert usable_ids(registry) == {'b'}


def test_pushed_removal_drops_a_replica_at_once_while_the_list_replies() -> None:
    registry = make_registry()
    registry.remove('a', 10 + LIST_OUTAGE_AFTER_S)
    assert usable_ids(registry) == {'b'}


def test_old_replies_that_other_entries_pass_on_do_not_hide_an_outage_of_the_list() -> None:
    registry = make_registry()
    age_s = LIST_OUTAGE_AFTER_S + 0.1
    for number in range(6):
        registry.record_reply(10 + number - age_s, 10 + number)
    recovered_at = float(16)
    assert registry.is_outage(recovered_at - 0.1)
    registry.record_reply(recovered_at - 0.1, recovered_at)
    registry.remove('a', recovered_at)
    assert usable_ids(registry) == {'a', 'b'}


def test_replica_that_registers_again_stays() -> None:
    registry = make_registry()
    recovered_at = 10 + LIST_OUTAGE_AFTER_S + 3
    registry.record_reply(recovered_at - 0.1, recovered_at)
    registry.remove('a', recovered_at)
    registry.update(replica('a'))
    registry.expire(recovered_at + REREGISTRATION_S + 1)
    assert usable_ids(registry) == {'a', 'b'}


def test_older_version_is_allowed_until_its_bound() -> None:
    policy = VersionPolicy(8)
    policy.record_declared(DeclaredVersion('m', 2), 100)
    assert policy.oldest_allowed('m', 100 + 8 - BOUND_MARGIN_S - 0.01) == 0
    assert policy.oldest_allowed('m', 100 + 8 - BOUND_MARGIN_S) == 2


def test_each_version_has_its_own_bound() -> None:
    policy = VersionPolicy(8)
    policy.record_declared(DeclaredVersion('m', 2), 100)
    policy.record_declared(DeclaredVersion('m', 3), 104)
    assert policy.oldest_allowed('m', 108) == 2
    assert policy.oldest_allowed('m', 112) == 3
    assert policy.newest('m') == 3


def test_older_declaration_is_not_newer_and_has_its_own_bound() -> None:
    policy = VersionPolicy(8)
    policy.record_declared(DeclaredVersion('m', 3), 100)
    assert not policy.record_declared(DeclaredVersion('m', 2), 50)
    assert policy.newest('m') == 3
    assert policy.oldest_allowed('m', 101) == 2
    assert policy.oldest_allowed('m', 108) == 3


V2 = DeclaredVersion('m', 2)
NEVER = float('-inf')


def test_started_process_allows_no_older_version_until_an_age_is_reported() -> None:
    policy = VersionPolicy(8)
    assert policy.record_stored(V2, NEVER)
    assert policy.oldest_allowed('m', 100) == 2
    policy.record_declared(V2, 98)
    assert policy.oldest_allowed('m', 100) == 0
    assert policy.oldest_allowed('m', 98 + 8 - BOUND_MARGIN_S) == 2


def test_started_process_reports_no_age_until_it_knows_one() -> None:
    policy = VersionPolicy(8)
    policy.record_stored(V2, NEVER)
    assert policy.records(100) == ()
    policy.record_declared(V2, 98)
    assert policy.records(100) == (VersionRecord('m', 2, 2_000),)


def test_age_reported_before_the_reply_of_the_store_is_kept() -> None:
    policy = VersionPolicy(8)
    policy.record_declared(V2, 98)
    assert not policy.record_stored(V2, NEVER)
    assert policy.oldest_allowed('m', 100) == 0
    assert policy.oldest_allowed('m', 98 + 8 - BOUND_MARGIN_S) == 2


def test_latest_time_before_which_it_was_not_declared_is_kept() -> None:
    policy = VersionPolicy(8)
    for not_before in (95, 99, 97):
        policy.record_declared(V2, not_before)
    assert policy.replaced_at('m', 1) == 99


def test_version_read_after_a_gap_counts_from_the_last_reply() -> None:
    policy = VersionPolicy(8)
    gap_s = 5
    policy.record_stored(V2, 100 - gap_s, 100)
    assert policy.oldest_allowed('m', 100) == 0
    assert policy.replaced_at('m', 1) == 100 - gap_s


def test_version_returned_by_a_long_poll_counts_from_when_the_poll_was_sent() -> None:
    policy = VersionPolicy(8)
    policy.record_stored(V2, 100 - MAX_POLL_GAP_S, 100)
    assert policy.replaced_at('m', 1) == 100


def test_version_not_returned_by_a_long_poll_counts_from_the_last_reply() -> None:
    policy = VersionPolicy(8)
    policy.record_stored(V2, 100 - MAX_POLL_GAP_S)
    assert policy.replaced_at('m', 1) == 100 - MAX_POLL_GAP_S


def test_version_that_is_read_again_is_not_dated_again() -> None:
    policy = VersionPolicy(8)
    policy.record_stored(V2, 100)
    assert not policy.record_stored(V2, 105)
    assert policy.replaced_at('m', 1) == 100


def test_age_in_a_message_that_is_no_reply_dates_nothing() -> None:
    policy = VersionPolicy(8)
    policy.record_stored(V2, 95)
    policy.merge_records((VersionRecord('m', 2, 2_000),), None)
    assert policy.replaced_at('m', 1) == 95


def test_age_in_a_reply_counts_from_when_its_query_was_sent() -> None:
    policy = VersionPolicy(8)
    policy.record_stored(V2, 90)
    policy.merge_records((VersionRecord('m', 2, 2_000),), 98)
    assert policy.replaced_at('m', 1) == 96


DELAY_S = st.floats(0, 3)
EXCHANGES = st.lists(
    st.tuples(st.integers(0, 3), st.integers(0, 3), DELAY_S, DELAY_S), min_size=1, max_size=40
)


@given(EXCHANGES, st.lists(DELAY_S, min_size=4, max_size=4))
def test_no_delay_of_messages_dates_a_declaration_too_late_or_ever_earlier(
    exchanges: list[tuple[int, int, float, float]], unconfirmed_s: list[float]
) -> None:
    declared_at = 1000.0
    now = declared_at
    policies = [VersionPolicy(8) for _ in unconfirmed_s]
    for policy, seconds in zip(policies, unconfirmed_s, strict=True):
        policy.record_stored(V2, declared_at - seconds)
    for asker, other, there_s, back_s in exchanges:
        before = [policy.replaced_at('m', 1) for policy in policies]
        asked_at = now
        records = policies[other].records(asked_at + there_s)
        now = asked_at + there_s + back_s
        policies[asker].merge_records(records, asked_at)
        after = [policy.replaced_at('m', 1) for policy in policies]
        assert max(after) <= declared_at
        assert all(first <= second for first, second in zip(before, after, strict=True))


@pytest.mark.parametrize(('age_s', 'valid'), [(0, True), (5 * LEASE_FRACTION, False), (60, False)])
def test_keys_need_a_fresh_configuration(age_s: float, *, valid: bool) -> None:
    freshness = Freshness(5)
    assert not freshness.is_valid(0)
    freshness.confirm(1000)
    assert freshness.is_valid(1000 + age_s) is valid


def test_confirmation_counts_from_when_the_read_was_sent() -> None:
    freshness = Freshness(5)
    freshness.confirm(1000)
    freshness.confirm(990)
    assert freshness.age_s(1001) == 1
