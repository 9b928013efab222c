"""Tests of the replica registry, the weight version policy and the lease on the configuration."""

from __future__ import annotations

import pytest

from cassiahitch.direct.state.freshness import LEASE_FRACTION, Freshness
from cassiahitch.direct.state.replicas import (
    LIST_OUTAGE_AFTER_S,
    REREGISTRATION_S,
    Replica,
    ReplicaRegistry,
)
from cassiahitch.direct.state.versions import (
    BOUND_MARGIN_S,
    MAX_REPLY_GAP_S,
    DeclaredVersion,
    VersionPolicy,
)
from cassiahitch.util.endpoints import Endpoint


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
    assert policy.record_stored(V2, NEVER, 100, long_polled=False)
    assert policy.oldest_allowed('m', 100) == 2
    policy.record_declared(V2, 98)
    assert policy.oldest_allowed('m', 100) == 0
    assert policy.oldest_allowed('m', 98 + 8 - BOUND_MARGIN_S) == 2


def test_started_process_reports_no_estimated_age() -> None:
    policy = VersionPolicy(8)
    policy.record_stored(V2, NEVER, 100, long_polled=False)
    assert policy.exact_declarations() == ()
    policy.record_declared(V2, 98)
    assert policy.exact_declarations() == ((V2, 98),)


def test_age_reported_before_the_reply_of_the_store_is_kept() -> None:
    policy = VersionPolicy(8)
    policy.record_declared(V2, 98)
    assert not policy.record_stored(V2, NEVER, 100, long_polled=False)
    assert policy.oldest_allowed('m', 100) == 0
    assert policy.oldest_allowed('m', 98 + 8 - BOUND_MARGIN_S) == 2


def test_greatest_reported_age_is_kept() -> None:
    policy = VersionPolicy(8)
    policy.record_declared(V2, 100)
    policy.record_declared(V2, 95)
    policy.record_declared(V2, 99)
    assert policy.oldest_allowed('m', 95 + 8 - BOUND_MARGIN_S) == 2


def test_version_read_after_a_gap_counts_from_the_last_reply() -> None:
    policy = VersionPolicy(8)
    gap_s = 5
    policy.record_stored(V2, 100 - gap_s, 100, long_polled=True)
    assert policy.oldest_allowed('m', 100) == 0
    assert policy.oldest_allowed('m', 100 - gap_s + 8) == 2
    assert policy.exact_declarations() == ()


def test_version_returned_by_a_long_poll_counts_from_now() -> None:
    policy = VersionPolicy(8)
    policy.record_stored(V2, 100 - MAX_REPLY_GAP_S, 100, long_polled=True)
    assert policy.oldest_allowed('m', 100 + 8 - BOUND_MARGIN_S - 0.01) == 0
    assert policy.exact_declarations() == ((V2, 100),)


def test_version_not_returned_by_a_long_poll_counts_from_the_last_reply_as_an_estimate() -> None:
    policy = VersionPolicy(8)
    policy.record_stored(V2, 100 - MAX_REPLY_GAP_S, 100, long_polled=False)
    assert policy.oldest_allowed('m', 100 - MAX_REPLY_GAP_S + 8 - BOUND_MARGIN_S) == 2
    assert policy.exact_declarations() == ()


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
