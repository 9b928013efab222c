"""Tests of the fetcher state machine of one host."""

from __future__ import annotations

import random

import pytest

from cassiahitch.codes import Code
from cassiahitch.resources.models import Objective
from cassiahitch.weights.activefetches import FetchLimits
from cassiahitch.weights.api import (
    CheckOrigin,
    ChunkReceived,
    ChunksComplete,
    ChunkStored,
    DiscardChunks,
    FetchAction,
    FetchChunk,
    FetchMessage,
    ManifestReceived,
    OriginChecked,
    ParticipantLost,
    RolloutCancelled,
    RolloutFailed,
    SourceAlive,
    SourceFailed,
    StagingFull,
    Tick,
)
from cassiahitch.weights.fetcher import Fetcher
from cassiahitch.weights.manifest import Manifest, build_manifest
from cassiahitch.weights.plan import Participant, RolloutPlan, build_plan
from cassiahitch.weights.tree import Trees

MEMBERS = tuple(Participant(f'h{number}', 'lagos', 'l1') for number in range(8))
MANIFEST = build_manifest('v1', bytes(range(40)), 4)
NEWER = build_manifest('v2', bytes(range(1, 41)), 4)
LIMITS = FetchLimits(
    max_in_flight=3,
    stall_timeout_s=3,
    wait_timeout_s=60,
    retry_delay_s=1,
    suspect_duration_s=30,
    origin_stagger_s=2,
)


def plan_for(manifest: Manifest) -> RolloutPlan:
    return build_plan('r1', manifest.digest, Objective.origin_bytes, MEMBERS)


PLAN = plan_for(MANIFEST)
ORDER = Trees(PLAN).order(0)


class Driver:
    """Passes messages to one fetcher and records its fetches of chunk 0."""

    def __init__(self, rank: int, limits: FetchLimits = LIMITS) -> None:
        self.fetcher = Fetcher(ORDER[rank], random.Random(1), limits)
        self.fetches: list[FetchChunk] = []
        self.send(ManifestReceived(PLAN, MANIFEST), 0)

    def send(self, message: FetchMessage, now: float) -> tuple[FetchAction, ...]:
        actions = self.fetcher.handle(message, now)
        self.fetches += [
            action for action in actions if isinstance(action, FetchChunk) and action.index == 0
        ]
        return actions

    def requested_hosts(self) -> list[str]:
        return [action.source.host for action in self.fetches]


def test_requests_at_once_are_bounded() -> None:
    driver = Driver(7)
    assert len(driver.fetcher.active_fetches) == 3
    arrival = ChunkReceived(MANIFEST.digest, 0, driver.fetches[0].source, verified=True)
    fetched = [action for action in driver.send(arrival, 1) if isinstance(action, FetchChunk)]
    assert [action.index for action in fetched] == [3]


def test_unresponsive_parent_is_replaced_by_the_next_ancestor() -> None:
    driver = Driver(7, FetchLimits(max_in_flight=1, stall_timeout_s=3))
    for now in (3, 6):
        driver.send(Tick(), now)
    assert driver.requested_hosts() == [ORDER[rank].host for rank in (3, 1, 0)]


def test_active_parent_is_not_replaced() -> None:
    driver = Driver(7)
    for now in range(0, 58, 2):
        driver.send(SourceAlive(ORDER[3].host), now)
    assert driver.requested_hosts() == [ORDER[3].host]


def test_chunk_that_a_live_parent_lacks_for_long_is_requested_from_the_next_ancestor() -> None:
    driver = Driver(7, FetchLimits(max_in_flight=1, stall_timeout_s=3, wait_timeout_s=10.1))
    for tenths in range(3, 202):
        now = tenths / 10
        driver.send(SourceAlive(ORDER[3].host), now)
        driver.send(Tick(), now)
    assert driver.requested_hosts()[:2] == [ORDER[3].host, ORDER[1].host]
    assert ORDER[3].host not in driver.fetcher.selector.suspects


def test_no_source_is_suspected_if_all_stall_at_once() -> None:
    driver = Driver(7, FetchLimits(max_in_flight=9, stall_timeout_s=3))
    sources = {fetch.source.host for fetch in driver.fetcher.active_fetches.values()}
    for host in sources:
        driver.send(SourceAlive(host), 1)
    arrival = ChunkReceived(MANIFEST.digest, 0, driver.fetches[0].source, verified=True)
    driver.send(arrival, 2)
    for now in (4, 5, 7):
        driver.send(Tick(), now)
    assert len(sources) >= 3
    assert not driver.fetcher.selector.suspects


def test_lost_parent_is_replaced_at_once() -> None:
    driver = Driver(7)
    driver.send(ParticipantLost(ORDER[3].host), 1)
    assert len(driver.requested_hosts()) == 2


def test_corrupt_chunk_is_fetched_from_another_source() -> None:
    driver = Driver(7)
    corrupt = ChunkReceived(MANIFEST.digest, 0, driver.fetches[0].source, verified=False)
    driver.send(corrupt, 1)
    driver.send(Tick(), 1)
    assert driver.requested_hosts() == [ORDER[3].host, ORDER[1].host]
    assert driver.fetcher.selector.corrupt_counts == {ORDER[3].host: 1}


def test_only_the_root_turns_to_the_origin_and_the_next_waits_for_its_turn() -> None:
    assert Driver(0).requested_hosts() == ['']
    second = Driver(1, FetchLimits(max_origin_in_flight=16, stall_timeout_s=3, origin_stagger_s=2))
    for member in MEMBERS:
        if member.host != ORDER[0].host:
            second.send(SourceAlive(member.host), 2)
    second.send(Tick(), 3)
    assert second.requested_hosts() == [ORDER[0].host]
    second.send(Tick(), 5)
    assert second.requested_hosts() == [ORDER[0].host, '']


@pytest.mark.parametrize(
    ('message', 'code'),
    [
        pytest.param(
            OriginChecked(MANIFEST.digest, NEWER.digest), Code.manifest_changed, id='new-origin'
        ),
        pytest.param(StagingFull(MANIFEST.digest, 0), Code.staging_full, id='full'),
        pytest.param(RolloutCancelled(MANIFEST.digest), Code.rollout_cancelled, id='cancelled'),
    ],
)
def test_rollout_that_cannot_continue_discards_its_chunks(
    message: FetchMessage, code: Code
) -> None:
    driver = Driver(0)
    actions = driver.send(message, 1)
    assert actions[-2:] == (DiscardChunks(MANIFEST.digest), RolloutFailed(MANIFEST.digest, code))
    assert not driver.fetcher.active_fetches


def test_origin_is_checked_after_a_corrupt_chunk_and_requested_again() -> None:
    driver = Driver(0, FetchLimits(max_in_flight=16, max_origin_in_flight=16, retry_delay_s=1))
    corrupt = ChunkReceived(MANIFEST.digest, 0, driver.fetches[0].source, verified=False)
    assert CheckOrigin(MANIFEST.digest) in driver.send(corrupt, 1)
    driver.send(Tick(), 1.5)
    assert driver.requested_hosts() == ['']
    driver.send(Tick(), 4)
    assert driver.requested_hosts() == ['', '']


def test_chunk_of_another_manifest_changes_nothing() -> None:
    driver = Driver(7)
    unrelated = ChunkReceived(NEWER.digest, 0, driver.fetches[0].source, verified=True)
    assert not driver.send(unrelated, 1)
    assert not driver.fetcher.received_chunks


def test_newer_manifest_restarts_from_nothing() -> None:
    driver = Driver(7)
    arrival = ChunkReceived(MANIFEST.digest, 0, driver.fetches[0].source, verified=True)
    driver.send(arrival, 1)
    actions = driver.send(ManifestReceived(plan_for(NEWER), NEWER), 2)
    assert DiscardChunks(MANIFEST.digest) in actions
    assert not driver.fetcher.received_chunks
    late_failure = SourceFailed(
        MANIFEST.digest, 1, driver.fetches[0].source, Code.connection_closed
    )
    driver.send(late_failure, 3)
    assert not driver.fetcher.selector.suspects


def test_rollout_completes_when_every_chunk_is_stored() -> None:
    driver = Driver(0)
    origin = driver.fetches[0].source
    indices = range(len(MANIFEST.chunks))
    for index in indices:
        driver.send(ChunkReceived(MANIFEST.digest, index, origin, verified=True), 1)
    stored = [driver.send(ChunkStored(MANIFEST.digest, index), 2) for index in indices]
    complete = [ChunksComplete(MANIFEST.digest) in actions for actions in stored]
    assert complete[-1]
    assert not any(complete[:-1])


def test_failed_origin_is_requested_again_while_the_other_requests_wait() -> None:
    driver = Driver(
        7, FetchLimits(max_in_flight=3, max_origin_in_flight=1, retry_delay_s=1, wait_timeout_s=60)
    )
    active_fetches = driver.fetcher.active_fetches
    root = next(index for index, fetch in active_fetches.items() if fetch.source.is_origin)
    failed = SourceFailed(
        MANIFEST.digest, root, active_fetches[root].source, Code.origin_unavailable
    )
    driver.send(failed, 1)
    hosts = sorted(fetch.source.host for fetch in active_fetches.values())
    for host in hosts:
        driver.send(SourceAlive(host), 4)
    driver.send(Tick(), 4)
    assert active_fetches[root].source.is_origin
    assert len(active_fetches) == 3
