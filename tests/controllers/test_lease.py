from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahitch.controllers.lease import (
    DURATION_S,
    CommitLease,
    Gained,
    GrantedLate,
    Lease,
    LeaseAction,
    LeaseAnswer,
    LeaseCorrupt,
    LeaseRead,
    Lost,
    ReadLease,
)
from cassiahitch.stores.api import ABSENT_VERSION, CommitConflict, CommitSuccess, Row


@dataclass
class LeaseStore:
    """One row with conditional writes."""

    row: Row | None = None
    versions: int = 0

    def answer(self, action: ReadLease | CommitLease) -> LeaseRead | LeaseAnswer:
        match action:
            case ReadLease(attempt=attempt):
                return LeaseRead(attempt, self.row)
            case CommitLease(attempt=attempt, condition=condition, write=write):
                current = self.row.version if self.row else ABSENT_VERSION
                if condition.version != current:
                    return LeaseAnswer(attempt, CommitConflict(()))
                self.versions += 1
                self.row = Row(write.table, write.key, write.content or b'', self.versions)
                return LeaseAnswer(attempt, CommitSuccess((self.versions,)))


def settle(lease: Lease, store: LeaseStore, now: float) -> list[LeaseAction]:
    """Poll and answer until nothing is under way."""
    queue = list(lease.poll(now))
    seen: list[LeaseAction] = []
    while queue:
        action = queue.pop(0)
        if isinstance(action, ReadLease | CommitLease):
            queue.extend(lease.handle(store.answer(action), now))
        else:
            seen.append(action)
    return seen


def lease(holder: str) -> Lease:
    return Lease('rollout', holder, random.Random(holder))


def test_first_candidate_gains_and_renews() -> None:
    store = LeaseStore()
    node = lease('a')
    assert settle(node, store, 100) == [Gained(1, 109)]
    assert settle(node, store, 103) == [Gained(1, 112)]
    assert node.held(111)
    assert not node.held(112)


def test_other_candidate_waits_the_duration_from_when_it_saw_the_row() -> None:
    store = LeaseStore()
    settle(lease('a'), store, 0)
    other = lease('b')
    assert not settle(other, store, 9)
    assert not settle(other, store, 19)
    assert settle(other, store, 23) == [Gained(2, 32)]


def test_resigned_lease_is_taken_at_once() -> None:
    store = LeaseStore()
    node = lease('a')
    settle(node, store, 0)
    lost, commit = node.resign(1)
    assert lost == Lost(1)
    assert isinstance(commit, CommitLease)
    store.answer(commit)
    assert settle(lease('b'), store, 1) == [Gained(2, 10)]


def test_time_counts_from_before_the_request_was_sent() -> None:
    store = LeaseStore()
    node = lease('a')
    read = node.poll(0)[0]
    assert isinstance(read, ReadLease)
    commit = node.handle(store.answer(read), 1)[0]
    assert isinstance(commit, CommitLease)
    answer = store.answer(commit)
    assert node.handle(answer, 11) == (GrantedLate(1),)
    assert not node.held(11)


def test_lost_answer_is_settled_by_reading_back() -> None:
    store = LeaseStore()
    node = lease('a')
    read = node.poll(0)[0]
    assert isinstance(read, ReadLease)
    commit = node.handle(store.answer(read), 0)[0]
    assert isinstance(commit, CommitLease)
    store.answer(commit)
    again = node.handle(LeaseAnswer(commit.attempt, None), 2)[0]
    assert isinstance(again, ReadLease)
    assert node.handle(store.answer(again), 3) == (Gained(1, 9),)


def test_corrupt_row_is_never_taken_over() -> None:
    store = LeaseStore(Row('leases', 'rollout', b'[]', 4))
    node = lease('a')
    for now in (0, 20, 40):
        assert [type(action) for action in settle(node, store, now)] == [LeaseCorrupt]


@dataclass
class Candidate:
    """A node whose clock drifts."""

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
WAITS = st.sampled_from([0, 1, 3, DURATION_S, DURATION_S * 1.05, DURATION_S * 1.2])
#: Nodes that are hit by a rare event; the number after the last means none.
RARELY = st.sampled_from([0, 1, 2, 3, 3, 3, 3, 3, 3])


class LeaseMachine(RuleBasedStateMachine):
    """Three candidates with drifting clocks; requests and answers are delayed and lost."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 0
        self.store = LeaseStore()
        rates = (0.97, 1.0, 1.03)
        self.nodes = [Candidate(name, rate) for name, rate in zip('abc', rates, strict=True)]
        self.requests: list[tuple[int, int, ReadLease | CommitLease]] = []
        self.answers: list[tuple[int, int, LeaseRead | LeaseAnswer]] = []
        self.holders: dict[int, str] = {}

    def perform(self, index: int, actions: tuple[LeaseAction, ...]) -> None:
        node = self.nodes[index]
        for action in actions:
            if isinstance(action, ReadLease | CommitLease):
                self.requests.append((index, node.restarts, action))
        if node.lease.held(node.clock(self.now)):
            acted = self.holders.setdefault(node.lease.fencing_number, node.lease.holder)
            assert acted == node.lease.holder

    @rule(seconds=st.sampled_from([0.1, 1, 2.5, 6, DURATION_S, 30]))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule(index=NODES)
    def poll(self, index: int) -> None:
        node = self.nodes[index]
        self.perform(index, node.lease.poll(node.clock(self.now)))

    @rule(index=NODES, wait=WAITS)
    def work_quickly(self, index: int, wait: float) -> None:
        self.now += wait
        self.work(index)

    @rule(index=NODES, there=WAITS, back=WAITS, other=NODES)
    def work_slowly(self, index: int, there: float, back: float, other: int) -> None:
        self.work(index, there, back, None if other == index else other)

    def work(
        self,
        index: int,
        there: float = 0,
        back: float = 0,
        other: int | None = None,
    ) -> None:
        node = self.nodes[index]
        before = len(self.requests)
        self.poll(index)
        while len(self.requests) > before:
            _, _, request = self.requests.pop()
            if isinstance(request, CommitLease):
                self.now += there
            event = self.store.answer(request)
            if other is not None and isinstance(request, CommitLease):
                self.work(other)
                self.now += back
                self.work(other)
            self.perform(index, node.lease.handle(event, node.clock(self.now)))

    @rule(pick=st.integers(0, 9), lost=st.booleans())
    def reach_store(self, pick: int, lost: bool) -> None:
        if not self.requests:
            return
        index, restarts, request = self.requests.pop(pick % len(self.requests))
        answer = self.store.answer(request)
        if lost:
            answer = LeaseAnswer(request.attempt, None)
        self.answers.append((index, restarts, answer))

    @rule(pick=st.integers(0, 9), gives_up=st.booleans())
    def give_answer(self, pick: int, gives_up: bool) -> None:
        if not self.answers:
            return
        index, restarts, answer = self.answers.pop(pick % len(self.answers))
        node = self.nodes[index]
        if node.restarts == restarts and not gives_up:
            self.perform(index, node.lease.handle(answer, node.clock(self.now)))

    @rule(index=RARELY)
    def restart(self, index: int) -> None:
        if index < len(self.nodes):
            self.nodes[index].restart()

    @rule(index=RARELY)
    def resign(self, index: int) -> None:
        if index == len(self.nodes):
            return
        node = self.nodes[index]
        self.perform(index, node.lease.resign(node.clock(self.now)))
        node.lease.resigned = False

    @invariant()
    def at_most_one_holds(self) -> None:
        held = [node.lease for node in self.nodes if node.lease.held(node.clock(self.now))]
        assert len(held) <= 1

    def teardown(self) -> None:
        for _ in range(20):
            self.now += DURATION_S / 4
            for index in range(3):
                self.work(index)
        assert any(node.lease.held(node.clock(self.now)) for node in self.nodes)


TestLeaseMachine = LeaseMachine.TestCase
