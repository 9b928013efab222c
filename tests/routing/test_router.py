"""Tests of replica selection."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.engine.api import CacheEvent
from cassiahitch.routing.api import Choice, LoadReport, NoReplica, Outcome, Replica, RouteQuery
from cassiahitch.routing.prefixes import CONFIDENCE_AFTER_GAP
from cassiahitch.routing.router import EXCESS_ALLOWANCE, EXCESS_FACTOR, Router

QUERY = RouteQuery('drafts')
HOSTS = tuple(f'host-{index}' for index in range(6))


def make_router(seed: int = 0, capacity: int = 8, regions: tuple[str, ...] = ('lagos',)) -> Router:
    """Return a router with six idle replicas after their slow start."""
    router = Router('lagos', 'lagos-1', Random(seed))
    for index, host in enumerate(HOSTS):
        region = regions[index % len(regions)]
        router.update_replica(Replica(host, 1, region, f'{region}-1'), 0)
        router.apply_report(host, LoadReport(0, 0, capacity, 0), 0)
    for host in HOSTS:
        router.apply_report(host, LoadReport(0, 0, capacity, 20), 20)
    return router


def choose(router: Router, now: float = 20, query: RouteQuery = QUERY) -> str:
    choice = router.choose(query, now)
    assert isinstance(choice, Choice)
    router.record_dispatch(choice.host)
    return choice.host


def test_own_requests_in_flight_spread_evenly() -> None:
    router = make_router()
    counts = Counter(choose(router) for _ in range(48))
    assert max(counts.values()) - min(counts.values()) <= 3


def test_replica_loaded_by_other_entries_is_avoided() -> None:
    router = make_router()
    router.apply_report('host-0', LoadReport(8, 20, 8, 21), 21)
    counts = Counter(choose(router, 21) for _ in range(20))
    assert counts['host-0'] == 0


def test_own_requests_are_not_counted_twice_when_reported() -> None:
    router = make_router()
    for _ in range(12):
        router.choose(QUERY, 20)
        router.record_dispatch('host-0')
    router.apply_report('host-0', LoadReport(8, 4, 8, 20.5), 21)
    assert router.states['host-0'].other_requests == 0
    router.apply_report('host-0', LoadReport(8, 9, 8, 20.6), 21)
    assert router.states['host-0'].other_requests == 5


def test_late_report_does_not_replace_a_newer_one() -> None:
    router = make_router()
    router.apply_report('host-0', LoadReport(8, 0, 8, 21), 21)
    router.apply_report('host-0', LoadReport(0, 0, 8, 20.5), 22)
    assert router.states['host-0'].other_requests == 8


@given(seed=st.integers(0, 1000), sends=st.integers(1, 120), misreporting=st.integers(0, 5))
def test_no_replica_exceeds_its_share_by_more_than_the_bound(
    seed: int, sends: int, misreporting: int
) -> None:
    router = make_router(seed)
    for host in HOSTS:
        load = 0 if host == HOSTS[misreporting] else 100
        router.apply_report(host, LoadReport(load, 0, 8, 20), 20)
    counts = Counter(choose(router) for _ in range(sends))
    assert max(counts.values()) <= EXCESS_FACTOR * (sends / len(HOSTS)) + EXCESS_ALLOWANCE + 1


@pytest.mark.parametrize(
    ('load', 'crosses'),
    [pytest.param(2, False, id='local-slot-free'), pytest.param(40, True, id='long-local-wait')],
)
def test_region_is_crossed_only_for_a_long_wait(load: int, *, crosses: bool) -> None:
    router = make_router(regions=('lagos', 'abuja'))
    for host in HOSTS[::2]:
        router.apply_report(host, LoadReport(load, 0, 8, 21), 21)
    remote = choose(router, 21) in HOSTS[1::2]
    assert remote is crosses


def test_failing_replica_is_ejected_and_tried_again_later() -> None:
    router = make_router()
    for _ in range(3):
        router.record_dispatch('host-0')
        router.record_outcome('host-0', Outcome.failed, 0.1, 20)
    assert Counter(choose(router, 21) for _ in range(40))['host-0'] == 0
    assert Counter(choose(router, 22.5) for _ in range(40))['host-0'] > 0


def test_ejected_share_is_capped() -> None:
    router = make_router()
    for host in HOSTS:
        router.record_outcome(host, Outcome.crashed, 0.1, 20)
    assert len({choose(router, 21) for _ in range(80)}) == 4


def test_unresponsive_replica_receives_no_requests_while_others_report() -> None:
    router = make_router()
    for host in HOSTS[1:]:
        router.apply_report(host, LoadReport(0, 0, 8, 30), 30)
    assert Counter(choose(router, 30) for _ in range(40))['host-0'] == 0


def test_lost_reports_of_all_replicas_do_not_stop_routing() -> None:
    router = make_router()
    assert len({choose(router, 90) for _ in range(80)}) >= 4


def test_replica_starts_slowly_after_a_load() -> None:
    router = make_router()
    router.apply_report('host-0', LoadReport(0, 0, 8, 21, digest='new', load_epoch=2), 21)
    counts = Counter(choose(router, 21) for _ in range(36))
    assert counts['host-0'] <= 3


def test_replica_with_another_digest_or_excluded_is_not_chosen() -> None:
    router = make_router()
    router.apply_report('host-3', LoadReport(0, 0, 8, 21, digest='new'), 21)
    query = RouteQuery('drafts', digest='new')
    assert choose(router, 21, query) == 'host-3'
    query = RouteQuery('drafts', digest='new', excluded=frozenset(('host-3',)))
    assert isinstance(router.choose(query, 21), NoReplica)


def test_removed_replica_receives_no_requests() -> None:
    router = make_router()
    router.remove_replica('host-0')
    assert Counter(choose(router) for _ in range(60))['host-0'] == 0


def test_cached_prefix_attracts_requests_until_its_replica_is_busier() -> None:
    router = make_router()
    router.apply_cache_event('host-4', CacheEvent(1, 'menu of', cached=True))
    query = RouteQuery('drafts', prefix='menu of the day')
    hosts = [choose(router, 20, query) for _ in range(30)]
    assert hosts[0] == 'host-4'
    assert len(set(hosts)) > 1


def test_gap_in_cache_events_lowers_confidence() -> None:
    router = make_router()
    router.apply_cache_event('host-4', CacheEvent(1, 'menu', cached=True))
    router.apply_cache_event('host-4', CacheEvent(5, 'quote', cached=True))
    confidence = router.prefixes.confidence('host-4', 'menu')
    assert confidence == pytest.approx(CONFIDENCE_AFTER_GAP)
    router.apply_cache_event('host-4', CacheEvent(2, 'menu', cached=False))
    assert router.prefixes.confidence('host-4', 'menu') == pytest.approx(confidence)


def test_new_incarnation_starts_with_a_clean_state() -> None:
    router = make_router()
    choose(router)
    router.update_replica(Replica('host-0', 2, 'lagos', 'lagos-1'), 30)
    assert router.states['host-0'].in_flight == 0
    assert router.states['host-0'].report is None
