"""Tests of the lease, with a stateful test of several candidates."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahitch.controllers.lease import (
    LEASE_DURATION_S,
    CommitLease,
    Lease,
    LeaseAcquired,
    LeaseAction,
    LeaseCorrupt,
    LeaseGrantedLate,
    LeaseLost,
    LeaseRead,
    LeaseReply,
    ReadLease,
)
from cassiahitch.stores.api import ABSENT_VERSION, CommitConflict, CommitSuccess, Row


@dataclass
class LeaseStore:
    """A table service with one row and conditional writes."""

    row: Row | None = None
    versions: int = 0

    def reply(self, action: ReadLease | CommitLease) -> LeaseRead | LeaseReply:
        match action:
            case ReadLease(attempt=attempt):
                return LeaseRead(attempt, self.row)
            case CommitLease(attempt=attempt, condition=condition, write=write):
                current = self.row.version if self.row else ABSENT_VERSION
                if condition.version != current:
                    return LeaseReply(attempt, CommitConflict(()))
                self.versions += 1
                self.row = Row(write.table, write.key, write.content or b'', self.versions)
                return LeaseReply(attempt, CommitSuccess((self.versions,)))


def run_until_idle(lease: Lease, store: LeaseStore, now: float) -> list[LeaseAction]:
    """Poll, and reply to all requests until none is left; return the other actions."""
    queue = list(lease.poll(now))
    seen: list[LeaseAction] = []
    while queue:
        action = queue.pop(0)
        if isinstance(action, ReadLease | CommitLease):
            queue.extend(lease.handle(store.reply(action), now))
        else:
            seen.append(action)
    return seen


def lease(holder: str) -> Lease:
    return Lease('rollout', holder, random.Random(holder))


def test_first_candidate_acquires_and_renews() -> None:
    store = LeaseStore()
    node = lease('a')
    assert run_until_idle(node, store, 100) == [LeaseAcquired(1, 109)]
    assert run_until_idle(node, store, 103) == [LeaseAcquired(1, 112)]
    assert node.is_held(111)
    assert not node.is_held(112)


def test_other_candidate_waits_the_duration_from_when_it_saw_the_row() -> None:
    store = LeaseStore()
    run_until_idle(lease('a'), store, 0)
    other = lease('b')
    assert not run_until_idle(other, store, 9)
    assert not run_until_idle(other, store, 19)
    assert run_until_idle(other, store, 23) == [LeaseAcquired(2, 32)]


def test_resigned_lease_is_acquired_at_once() -> None:
    store = LeaseStore()
    node = lease('a')
    run_until_idle(node, store, 0)
    lost, commit = node.resign(1)
    assert lost == LeaseLost(1)
    assert isinstance(commit, CommitLease)
    store.reply(commit)
    assert run_until_idle(lease('b'), store, 1) == [LeaseAcquired(2, 10)]


def test_time_counts_from_before_the_request_was_sent() -> None:
    store = LeaseStore()
    node = lease('a')
    read = node.poll(0)[0]
    assert isinstance(read, ReadLease)
    commit = node.handle(store.reply(read), 1)[0]
    assert isinstance(commit, CommitLease)
    reply = store.reply(commit)
    assert node.handle(reply, 11) == (LeaseGrantedLate(1),)
    assert not node.is_held(11)


def test_lost_reply_is_resolved_by_reading_the_row() -> None:
    store = LeaseStore()
    node = lease('a')
    read = node.poll(0)[0]
    assert isinstance(read, ReadLease)
    commit = node.handle(store.reply(read), 0)[0]
    assert isinstance(commit, CommitLease)
    store.reply(commit)
    again = node.handle(LeaseReply(commit.attempt, None), 2)[0]
    assert isinstance(again, ReadLease)
    assert node.handle(store.reply(again), 3) == (LeaseAcquired(1, 9),)


def test_corrupt_row_is_never_replaced() -> None:
    store = LeaseStore(Row('leases', 'rollout', b'[]', 4))
    node = lease('a')
    for now in (0, 20, 40):
        assert [type(action) for action in run_until_idle(node, store, now)] == [LeaseCorrupt]


@dataclass
class Candidate:
    """A node whose clock runs at ``rate`` times the real speed."""

    name: str
    rate: float
    lease: Lease = field(init=False)
    restarts: int = 0

    def __post_init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        self.restarts += 1
        holder = f'{self.name}{self.restarts}'
        self.lease = lease(holder)

    def clock(self, now: float) -> float:
        return now * self.rate


NODES = st.integers(0, 2)
WAITS = st.sampled_from(
    [0, 1, 3, LEASE_DURATION_S, LEASE_DURATION_S * 1.05, LEASE_DURATION_S * 1.2]
)
#: Node that a rare event affects; 3, the number after the last node, means none.
RARE_NODES = st.sampled_from([0, 1, 2, 3, 3, 3, 3, 3, 3])


class LeaseMachine(RuleBasedStateMachine):
    """Three candidates with drifting clocks, and requests and replies that are delayed or lost."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 0
        self.store = LeaseStore()
        rates = (0.97, 1.0, 1.03)
        self.nodes = [Candidate(name, rate) for name, rate in zip('abc', rates, strict=True)]
        self.requests: list[tuple[int, int, ReadLease | CommitLease]] = []
        self.replies: list[tuple[int, int, LeaseRead | LeaseReply]] = []
        self.holders: dict[int, str] = {}

    def perform(self, index: int, actions: tuple[LeaseAction, ...]) -> None:
        node = self.nodes[index]
        for action in actions:
            if isinstance(action, ReadLease | CommitLease):
                self.requests.append((index, node.restarts, action))
        if node.lease.is_held(node.clock(self.now)):
            recorded_holder = self.holders.setdefault(node.lease.fencing_number, node.lease.holder)
            assert recorded_holder == node.lease.holder

    @rule(seconds=st.sampled_from([0.1, 1, 2.5, 6, LEASE_DURATION_S, 30]))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule(index=NODES)
    def poll(self, index: int) -> None:
        node = self.nodes[index]
        self.perform(index, node.lease.poll(node.clock(self.now)))

    @rule(index=NODES, wait=WAITS)
    def run_round_quickly(self, index: int, wait: float) -> None:
        self.now += wait
        self.run_round(index)

    @rule(index=NODES, request_delay=WAITS, reply_delay=WAITS, other=NODES)
    def run_round_slowly(
        self, index: int, request_delay: float, reply_delay: float, other: int
    ) -> None:
        self.run_round(index, request_delay, reply_delay, None if other == index else other)

    def run_round(
        self,
        index: int,
        request_delay: float = 0,
        reply_delay: float = 0,
        other: int | None = None,
    ) -> None:
        node = self.nodes[index]
        before = len(self.requests)
        self.poll(index)
        while len(self.requests) > before:
            _, _, request = self.requests.pop()
            if isinstance(request, CommitLease):
                self.now += request_delay
            event = self.store.reply(request)
            if other is not None and isinstance(request, CommitLease):
                self.run_round(other)
                self.now += reply_delay
                self.run_round(other)
            self.perform(index, node.lease.handle(event, node.clock(self.now)))

    @rule(pick=st.integers(0, 9), lost=st.booleans())
    def process_request(self, pick: int, lost: bool) -> None:
        if not self.requests:
            return
        index, restarts, request = self.requests.pop(pick % len(self.requests))
        reply = self.store.reply(request)
        if lost:
            reply = LeaseReply(request.attempt, None)
        self.replies.append((index, restarts, reply))

    @rule(pick=st.integers(0, 9), dropped=st.booleans())
    def deliver_reply(self, pick: int, dropped: bool) -> None:
        if not self.replies:
            return
        index, restarts, reply = self.replies.pop(pick % len(self.replies))
        node = self.nodes[index]
        if node.restarts == restarts and not dropped:
            self.perform(index, node.lease.handle(reply, node.clock(self.now)))

    @rule(index=RARE_NODES)
    def restart(self, index: int) -> None:
        if index < len(self.nodes):
            self.nodes[index].restart()

    @rule(index=RARE_NODES)
    def resign(self, index: int) -> None:
        if index == len(self.nodes):
            return
        node = self.nodes[index]
        self.perform(index, node.lease.resign(node.clock(self.now)))
        node.lease.resigned = False

    @invariant()
    def at_most_one_holds(self) -> None:
        held_leases = [
            node.lease for node in self.nodes if node.lease.is_held(node.clock(self.now))
        ]
        assert len(held_leases) <= 1

    def teardown(self) -> None:
        for _ in range(20):
            self.now += LEASE_DURATION_S / 4
            for index in range(3):
                self.run_round(index)
        assert any(node.lease.is_held(node.clock(self.now)) for node in self.nodes)


TestLeaseMachine = LeaseMachine.TestCase
