"""Tests of the fair queue."""

from __future__ import annotations

from collections import Counter
from itertools import count

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahitch.codes import Code
from cassiahitch.limits.api import Admission, QueuedRequest, Rejection
from cassiahitch.limits.fairqueue import FairQueue, QueueLimits
from cassiahitch.resources.models import Priority

LARGE = ('large-1', 'large-2')
SMALL = tuple(f'small-{index}' for index in range(8))
NAMES = st.sampled_from(LARGE + SMALL)
LIMITS = QueueLimits(total=40, per_organisation=15)


def make_request(name: str, number: int, priority: Priority = Priority.draft) -> QueuedRequest:
    return QueuedRequest(f'{name}-{number}', name, priority, deadline=1e9)


def admit(queue: FairQueue, now: float) -> QueuedRequest | None:
    requests = [decision.request for decision in queue.pop(now) if isinstance(decision, Admission)]
    return requests[0] if requests else None


class QueueMachine(RuleBasedStateMachine):
    """Compares the queue with a dictionary of the waiting requests."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = FairQueue(LIMITS)
        self.oracle: dict[str, QueuedRequest] = {}
        self.serial = count()
        self.now: float = 0

    @rule(name=NAMES, priority=st.sampled_from(Priority), wait_s=st.floats(0.1, 5))
    def push(self, name: str, priority: Priority, wait_s: float) -> None:
        request = QueuedRequest(f'{next(self.serial)}', name, priority, self.now + wait_s)
        self.oracle[request.request_id] = request
        self.check_decisions(self.queue.push(request, self.now))

    @rule()
    def pop(self) -> None:
        decisions = self.queue.pop(self.now)
        assert decisions or not self.oracle
        self.check_decisions(decisions)

    @rule(seconds=st.floats(0.01, 1))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def expire(self) -> None:
        self.check_decisions(self.queue.expire(self.now))
        assert all(request.deadline > self.now for request in self.oracle.values())

    @rule(index=st.integers(0, 100))
    def remove(self, index: int) -> None:
        if self.oracle:
            request = list(self.oracle.values())[index % len(self.oracle)]
            assert self.queue.remove(request)
            assert not self.queue.remove(request)
            self.oracle.pop(request.request_id)

    def check_decisions(self, decisions: tuple[Admission | Rejection, ...]) -> None:
        for decision in decisions:
            request = self.oracle.pop(decision.request.request_id)
            assert request == decision.request
            if isinstance(decision, Admission):
                assert request.deadline > self.now
            else:
                assert decision.code is Code.overloaded
                assert decision.retry_after_s > 0

    @invariant()
    def lengths_are_bounded(self) -> None:
        lengths = Counter(request.organisation for request in self.oracle.values())
        assert self.queue.length == len(self.oracle)
        assert self.queue.length <= LIMITS.total
        assert max(lengths.values(), default=0) <= LIMITS.per_organisation

    @invariant()
    def heaps_are_bounded(self) -> None:
        assert all(len(heap) <= len(LARGE + SMALL) for heap in self.queue.heaps.values())


QueueMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=60)
TestQueueMachine = QueueMachine.TestCase


@given(pushes=st.lists(NAMES, min_size=40, max_size=120), factor=st.integers(2, 20))
@settings(max_examples=60)
def test_small_organisations_keep_their_share_under_overload(
    pushes: list[str], factor: int
) -> None:
    queue = FairQueue(QueueLimits(total=100, per_organisation=50))
    served: Counter[str] = Counter()
    number = count()
    for name in pushes:
        for large in (name, *LARGE * factor):
            queue.push(make_request(large, next(number)), 0)
        for organisation in SMALL:
            queue.push(make_request(organisation, next(number)), 0)
        for _ in range(10):
            request = admit(queue, 0)
            if request is not None:
                served[request.organisation] += 1
    assert min(served[small] for small in SMALL) >= 0.9 * len(pushes)


def test_service_is_proportional_to_weights() -> None:
    queue = FairQueue(QueueLimits())
    queue.set_weight('large-1', 3)
    for number in range(100):
        queue.push(make_request('large-1', number), 0)
        queue.push(make_request('large-2', number), 0)
    served = Counter(request.organisation for _ in range(80) if (request := admit(queue, 0)))
    assert abs(served['large-1'] - 60) <= 1


def test_organisation_that_was_idle_does_not_accumulate_service() -> None:
    queue = FairQueue(QueueLimits())
    for number in range(200):
        queue.push(make_request('large-1', number), 0)
    for _ in range(100):
        admit(queue, 0)
    for number in range(100):
        queue.push(make_request('large-2', number), 0)
    served = Counter(request.organisation for _ in range(40) if (request := admit(queue, 0)))
    assert served['large-1'] >= 19


def test_higher_priorities_are_served_first_without_starving_lower_ones() -> None:
    queue = FairQueue(QueueLimits())
    for priority in reversed(Priority):
        for number in range(80):
            queue.push(make_request(f'small-{number % 8}', number, priority), number)
    served = [request.priority for _ in range(64) if (request := admit(queue, 100))]
    counts = Counter(served)
    assert set(served[:7]) == {Priority.desk}
    assert counts[Priority.desk] == 56
    assert counts[Priority.lookup] + counts[Priority.draft] == 8


def test_one_organisation_cannot_fill_the_queue() -> None:
    queue = FairQueue(LIMITS)
    rejected = [queue.push(make_request('large-1', number), 0) for number in range(20)]
    assert [bool(decisions) for decisions in rejected] == [number >= 15 for number in range(20)]


def test_full_queue_rejects_from_the_organisation_with_most_waiting_requests() -> None:
    queue = FairQueue(QueueLimits(total=20, per_organisation=20))
    for number in range(20):
        assert not queue.push(make_request('large-1', number), 0)
    rejected = queue.push(make_request('small-1', 0), 0)
    assert [decision.request.organisation for decision in rejected] == ['large-1']
    rejected = queue.push(make_request('large-1', 99), 0)
    assert [decision.request.request_id for decision in rejected] == ['large-1-99']


def test_request_that_cannot_end_in_time_is_not_started() -> None:
    queue = FairQueue(QueueLimits())
    queue.push(QueuedRequest('late', 'large-1', Priority.draft, deadline=2), 0)
    for _ in range(200):
        queue.record_run_time(1.5)
    assert [type(decision) for decision in queue.pop(1)] == [Rejection]


def test_request_that_cannot_meet_its_deadline_is_rejected_on_arrival() -> None:
    queue = FairQueue(QueueLimits())
    for number in range(100):
        queue.push(make_request('large-1', number), 0)
    for step in range(50):
        admit(queue, step * 0.1)
    short = QueuedRequest('late', 'large-1', Priority.draft, deadline=6)
    rejected = queue.push(short, 5)
    assert [decision.request for decision in rejected] == [short]
    assert isinstance(rejected[0], Rejection)
    assert 4 <= rejected[0].retry_after_s <= 6
    small = QueuedRequest('small', 'small-1', Priority.draft, deadline=6)
    assert not queue.push(small, 5)
