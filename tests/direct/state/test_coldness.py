"""Cold periods of replicas, and the shares that entries use without permits.

Guards against replicas that crash because a period ends too early, because a lost or repeated row
is misread, or because the turns of all entries come together; and against periods that never end,
since entries and agents return to each other what they have learned.
"""

from __future__ import annotations

import math
import random

import pytest

from cassiahitch.codes import Code
from cassiahitch.direct.placement.permits import REPLY_TIMEOUT_S
from cassiahitch.direct.staging.ratelimiter import RateLimiter
from cassiahitch.direct.state.coldness import MAX_COLD_S, ColdRegistry, cold_record
from cassiahitch.direct.state.coldshares import JOIN_DELAY_S, TURN_S, USED_FRACTION, ColdShares
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.errors import PlatformError
from cassiahitch.platform.documents import decode_replica
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import ColdRecord

SERVICE = 'drafts'
PER_S = 14.0
ENTRIES = 34
#: Requests that a cold replica survives in one second: the rate times 1.5, and 5 more.
BOUND = PER_S * 1.5 + 5
REPLICA_KEY = 'm-0@1'


def _replica(cold_ms: float = 0) -> Replica:
    return Replica(
        'm-0', SERVICE, Endpoint('10.0.0.1', 80), 'north-1', 4, born_ms=1, cold_ms=cold_ms
    )


def _registry() -> ColdRegistry:
    return ColdRegistry({SERVICE: PER_S})


def test_latest_end_of_all_sources_counts() -> None:
    registry = _registry()
    registry.observe_row(_replica(2000), 1, 10)
    registry.apply_report(_replica(), (ColdRecord(3500, 14_000),), 10, 'agent')
    registry.observe(_replica(), 1, 11, 'answer')
    assert registry.is_cold(REPLICA_KEY, 13.4)
    assert not registry.is_cold(REPLICA_KEY, 13.6)


def test_row_that_nobody_has_rewritten_does_not_extend_the_period() -> None:
    registry = _registry()
    for now in (10, 11, 12):
        registry.observe_row(_replica(2000), 5, now)
    assert not registry.is_cold(REPLICA_KEY, 12.1)
    registry.observe_row(_replica(800), 6, 12.1)
    assert registry.is_cold(REPLICA_KEY, 12.8)


def test_replicas_of_services_without_a_cold_rate_are_never_cold() -> None:
    registry = ColdRegistry()
    registry.observe_row(_replica(2000), 1, 10)
    assert not registry.is_cold(REPLICA_KEY, 11)
    assert not registry.records(REPLICA_KEY, 11)
    registry.rates = {SERVICE: PER_S}
    assert registry.is_cold(REPLICA_KEY, 11)


def test_one_wrong_report_does_not_limit_a_replica_for_good() -> None:
    registry = _registry()
    registry.observe(_replica(), 1e9, 0, 'answer')
    assert not registry.is_cold(REPLICA_KEY, MAX_COLD_S)


def test_what_an_agent_reported_is_not_returned_to_it() -> None:
    registry = _registry()
    registry.apply_report(_replica(), (ColdRecord(3000, 14_000),), 10, 'agent')
    assert registry.records(REPLICA_KEY, 10.1) == (ColdRecord(0, 14_000),)
    registry.observe(_replica(), 2, 10.1, 'answer')
    assert registry.records(REPLICA_KEY, 10.1) == (ColdRecord(2000, 14_000),)
    assert cold_record(-math.inf, PER_S) == ColdRecord(0, 14_000)


def test_period_that_begins_is_told_once() -> None:
    told: list[tuple[float, str]] = []
    registry = _registry()
    registry.on_cold = lambda _, left_s, source: told.append((left_s, source))
    registry.observe_row(_replica(3000), 1, 10)
    registry.observe_row(_replica(1800), 2, 11.2)
    registry.observe(_replica(), 1, 12, 'answer')
    registry.observe(_replica(), 2, 20, 'answer')
    assert told == [(3, 'row'), (2, 'answer')]


def test_heartbeats_of_a_cold_replica_do_not_make_it_look_changed() -> None:
    assert _replica(3000) == _replica(1800)
    assert hash(_replica(3000)) == hash(_replica(0))


def row_with_cold_time(text: str) -> bytes:
    row = (
        '{"service": "drafts", "address": "10.0.0.1:80", "zone": "north-1", "version": "v1", '
        f'"state": "ready", "slots": 4, "seq": 1, "born": 1, "coldMs": {text}}}'
    )
    return row.encode()


@pytest.mark.parametrize(
    ('text', 'cold_ms'), [('3000', 3000), ('0.5', 0.5), ('-5', 0), ('1e999', 1e12)]
)
def test_any_number_is_a_cold_time(text: str, cold_ms: float) -> None:
    assert decode_replica('m-0', row_with_cold_time(text)).cold_ms == cold_ms


@pytest.mark.parametrize('text', ['"3000"', 'null', 'true', '[1]', '{}'])
def test_row_with_a_cold_time_that_is_no_number_names_no_replica(text: str) -> None:
    with pytest.raises(PlatformError) as caught:
        decode_replica('m-0', row_with_cold_time(text))
    assert caught.value.code is Code.store_row_corrupt


class Fleet:
    """Entries that all want to send to one replica whose agent is silent."""

    def __init__(self, seed: int, entries: int = ENTRIES) -> None:
        rng = random.Random(seed)
        self.shares = [ColdShares(random.Random(rng.random())) for _ in range(entries)]
        self.sent: list[float] = []
        for share in self.shares:
            share.counts.record(entries, 0)

    def run(self, begin: float, end: float, waited_s: float = 0) -> None:
        """Let all entries take every turn, as late as possible in it or at once."""
        for tick in range(int(begin * 50), int(end * 50)):
            for share in self.shares:
                if share.take(REPLICA_KEY, PER_S, tick / 50, waited_s):
                    self.sent.append(tick / 50)

    def most_in_one_second(self) -> int:
        return max(sum(first <= at < first + 1 for at in self.sent) for first in self.sent)


@pytest.mark.parametrize('seed', range(8))
def test_shares_of_all_entries_together_stay_within_the_bound(seed: int) -> None:
    fleet = Fleet(seed)
    fleet.run(JOIN_DELAY_S, JOIN_DELAY_S + 10)
    assert fleet.most_in_one_second() <= BOUND
    assert 0.8 * PER_S * USED_FRACTION <= len(fleet.sent) / 10 <= 1.1 * PER_S * USED_FRACTION


@pytest.mark.parametrize('seed', range(8))
def test_shares_of_requests_that_waited_stay_within_the_bound(seed: int) -> None:
    fleet = Fleet(seed)
    fleet.run(JOIN_DELAY_S, JOIN_DELAY_S + 10, REPLY_TIMEOUT_S)
    assert fleet.most_in_one_second() <= BOUND
    assert len(fleet.sent) / 10 <= 1.1 * PER_S * USED_FRACTION


def test_turn_that_expires_while_a_request_waits_for_a_reply_is_used_once() -> None:
    shares = ColdShares(random.Random(1))
    shares.counts.record(ENTRIES, 0)
    turn_at = JOIN_DELAY_S + shares.wait_s(REPLICA_KEY, PER_S, JOIN_DELAY_S)
    replied_at = turn_at + TURN_S + REPLY_TIMEOUT_S / 2
    assert shares.take(REPLICA_KEY, PER_S, replied_at, REPLY_TIMEOUT_S)
    assert not shares.take(REPLICA_KEY, PER_S, replied_at, REPLY_TIMEOUT_S)
    next_turn_s = shares.wait_s(REPLICA_KEY, PER_S, replied_at)
    assert replied_at + next_turn_s == pytest.approx(turn_at + shares.interval_s(PER_S))


def test_turn_that_expired_before_a_request_arrived_is_not_used() -> None:
    shares = ColdShares(random.Random(1))
    shares.counts.record(ENTRIES, 0)
    turn_at = JOIN_DELAY_S + shares.wait_s(REPLICA_KEY, PER_S, JOIN_DELAY_S)
    replied_at = turn_at + TURN_S + REPLY_TIMEOUT_S * 1.5
    assert not shares.take(REPLICA_KEY, PER_S, replied_at, REPLY_TIMEOUT_S)


@pytest.mark.parametrize('seed', range(40))
def test_permits_and_shares_of_half_of_the_entries_stay_within_the_bound(seed: int) -> None:
    fleet = Fleet(seed)
    fleet.shares = fleet.shares[: ENTRIES // 2]
    fleet.run(JOIN_DELAY_S, JOIN_DELAY_S + 10)
    limiter = RateLimiter()
    limiter.mark_cold(PER_S, 100, 0)
    for tick in range(int(JOIN_DELAY_S * 200), int(JOIN_DELAY_S + 10) * 200):
        if limiter.request(Endpoint('10.1.0.1', 7700), tick, tick / 200) is None:
            fleet.sent.append(tick / 200)
    assert fleet.most_in_one_second() <= BOUND


def test_turns_that_were_not_used_are_not_kept() -> None:
    fleet = Fleet(1)
    for share in fleet.shares:
        share.wait_s(REPLICA_KEY, PER_S, JOIN_DELAY_S)
    fleet.run(60, 61)
    assert len(fleet.sent) <= PER_S * (1 + TURN_S) * 1.5


def test_started_entry_sends_nothing_until_the_others_count_it() -> None:
    fleet = Fleet(1, entries=1)
    fleet.run(0, JOIN_DELAY_S)
    assert not fleet.sent


def test_entry_that_loses_contact_keeps_its_share() -> None:
    shares = ColdShares(random.Random(1))
    shares.counts.record(ENTRIES, 0)
    for now in range(1, 59):
        shares.counts.record(1, now)
    assert shares.interval_s(PER_S) == pytest.approx(ENTRIES / PER_S / USED_FRACTION)
    for now in range(59, 200):
        shares.counts.record(1, now)
    assert shares.interval_s(PER_S) == pytest.approx(1 / PER_S / USED_FRACTION)
