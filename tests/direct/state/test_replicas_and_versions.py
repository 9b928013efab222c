"""Tests of the replicas, the versions of weights and the freshness of the configuration."""

from __future__ import annotations

import pytest

from cassiahitch.direct.state.freshness import USED_PART, Freshness
from cassiahitch.direct.state.replicas import AWAY_AFTER_S, REGISTRATION_S, Replica, ReplicaRegistry
from cassiahitch.direct.state.versions import (
    MARGIN_S,
    USUAL_GAP_S,
    DeclaredVersion,
    VersionPolicy,
)
from cassiahitch.util.endpoints import Endpoint


def replica(name: str, *, draining: bool = False) -> Replica:
    return Replica(name, 'desk', Endpoint('10.0.0.1', 80), 'north-1', 4, draining, 7)


def book() -> ReplicaRegistry:
    known = ReplicaRegistry()
    known.heard(10, 10)
    known.update(replica('a'))
    known.update(replica('b'))
    return known


def names(known: ReplicaRegistry) -> set[str]:
    return {one.id for one in known.usable('desk')}


def test_draining_replica_gets_no_requests() -> None:
    known = book()
    known.update(replica('a', draining=True))
    assert names(known) == {'b'}


def test_removed_replica_is_gone_at_once_while_the_list_answers() -> None:
    known = book()
    known.heard(10.5, 10.6)
    known.remove('a', 10.6)
    assert names(known) == {'b'}


def test_replica_that_lapsed_while_the_list_was_away_stays_until_it_had_time_to_register() -> None:
    known = book()
    back = 10 + AWAY_AFTER_S + 3
    known.heard(back - 0.1, back)
    known.remove('a', back)
    assert names(known) == {'a', 'b'}
    known.expire(back + REGISTRATION_S - 0.1)
    assert names(known) == {'a', 'b'}
    known.expire(back + REGISTRATION_S)
    assert names(known) == {'b'}


def test_replica_that_registers_again_stays() -> None:
    known = book()
    back = 10 + AWAY_AFTER_S + 3
    known.heard(back - 0.1, back)
    known.remove('a', back)
    known.update(replica('a'))
    known.expire(back + REGISTRATION_S + 1)
    assert names(known) == {'a', 'b'}


def test_older_version_is_allowed_until_its_bound() -> None:
    policy = VersionPolicy(8)
    policy.declare(DeclaredVersion('m', 2), 100)
    assert policy.oldest_allowed('m', 100 + 8 - MARGIN_S - 0.01) == 0
    assert policy.oldest_allowed('m', 100 + 8 - MARGIN_S) == 2


def test_each_version_has_its_own_bound() -> None:
    policy = VersionPolicy(8)
    policy.declare(DeclaredVersion('m', 2), 100)
    policy.declare(DeclaredVersion('m', 3), 104)
    assert policy.oldest_allowed('m', 108) == 2
    assert policy.oldest_allowed('m', 112) == 3
    assert policy.newest('m') == 3


def test_older_declaration_is_no_news_and_has_its_own_bound() -> None:
    policy = VersionPolicy(8)
    policy.declare(DeclaredVersion('m', 3), 100)
    assert not policy.declare(DeclaredVersion('m', 2), 50)
    assert policy.newest('m') == 3
    assert policy.oldest_allowed('m', 101) == 2
    assert policy.oldest_allowed('m', 108) == 3


V2 = DeclaredVersion('m', 2)
NEVER = float('-inf')


def test_process_that_starts_allows_no_older_version_until_an_age_is_told() -> None:
    policy = VersionPolicy(8)
    assert policy.read(V2, NEVER, 100, waited=False)
    assert policy.oldest_allowed('m', 100) == 2
    policy.declare(V2, 98)
    assert policy.oldest_allowed('m', 100) == 0
    assert policy.oldest_allowed('m', 98 + 8 - MARGIN_S) == 2


def test_process_that_starts_tells_no_age_that_it_does_not_know() -> None:
    policy = VersionPolicy(8)
    policy.read(V2, NEVER, 100, waited=False)
    assert policy.told() == ()
    policy.declare(V2, 98)
    assert policy.told() == ((V2, 98),)


def test_age_that_was_told_before_the_store_answered_holds() -> None:
    policy = VersionPolicy(8)
    policy.declare(V2, 98)
    assert not policy.read(V2, NEVER, 100, waited=False)
    assert policy.oldest_allowed('m', 100) == 0
    assert policy.oldest_allowed('m', 98 + 8 - MARGIN_S) == 2


def test_greatest_age_that_is_told_counts() -> None:
    policy = VersionPolicy(8)
    policy.declare(V2, 100)
    policy.declare(V2, 95)
    policy.declare(V2, 99)
    assert policy.oldest_allowed('m', 95 + 8 - MARGIN_S) == 2


def test_version_counts_from_the_last_answer_if_the_process_heard_nothing_for_long() -> None:
    policy = VersionPolicy(8)
    frozen_s = 5
    policy.read(V2, 100 - frozen_s, 100, waited=True)
    assert policy.oldest_allowed('m', 100) == 0
    assert policy.oldest_allowed('m', 100 - frozen_s + 8) == 2
    assert policy.told() == ()


def test_version_that_the_store_held_its_answer_back_for_counts_from_now() -> None:
    policy = VersionPolicy(8)
    policy.read(V2, 100 - USUAL_GAP_S, 100, waited=True)
    assert policy.oldest_allowed('m', 100 + 8 - MARGIN_S - 0.01) == 0
    assert policy.told() == ((V2, 100),)


def test_version_that_may_have_waited_to_be_read_counts_from_the_last_answer_and_is_not_told() -> (
    None
):
    policy = VersionPolicy(8)
    policy.read(V2, 100 - USUAL_GAP_S, 100, waited=False)
    assert policy.oldest_allowed('m', 100 - USUAL_GAP_S + 8 - MARGIN_S) == 2
    assert policy.told() == ()


@pytest.mark.parametrize(('age_s', 'good'), [(0, True), (5 * USED_PART, False), (60, False)])
def test_keys_need_a_fresh_configuration(age_s: float, *, good: bool) -> None:
    freshness = Freshness(5)
    assert not freshness.is_good(0)
    freshness.confirm(1000)
    assert freshness.is_good(1000 + age_s) is good


def test_confirmation_counts_from_when_the_store_was_asked() -> None:
    freshness = Freshness(5)
    freshness.confirm(1000)
    freshness.confirm(990)
    assert freshness.age_s(1001) == 1
