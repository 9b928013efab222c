"""Weighted fair queue over organisations and priorities, with bounded lengths."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from itertools import chain

from cassiahitch.limits.api import Admission, Decision, QueuedRequest, Rejection
from cassiahitch.limits.rate import AdmissionRate, RunTimeEstimate
from cassiahitch.resources.models import Priority

#: One of this many requests is taken from a lower priority: the request that waits longest.
LOW_PRIORITY_INTERVAL = 8
#: Maximum expected wait of a new request, as a fraction of the time that it can wait.
MAX_WAIT_FRACTION = 0.5
#: Maximum Retry-After in seconds.
MAX_RETRY_AFTER_S = 30.0
#: Minimum Retry-After in seconds.
MIN_RETRY_AFTER_S = 0.5


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """Limits on the number of waiting requests."""

    total: int = 1_000
    per_organisation: int = 250


@dataclass(slots=True)
class Subqueue:
    """Requests of one organisation and priority, in order of arrival.

    ``in_heap`` is true while the heap of its priority contains the organisation.
    """

    requests: deque[QueuedRequest] = field(default_factory=deque)
    arrived_at: deque[float] = field(default_factory=deque)
    in_heap: bool = False


@dataclass(slots=True)
class OrganisationQueue:
    """Queue of one organisation; ``virtual_time`` is the service it received, divided by weight."""

    weight: float = 1
    virtual_time: float = 0
    length: int = 0
    subqueues: dict[Priority, Subqueue] = field(
        default_factory=lambda: {priority: Subqueue() for priority in Priority},
    )

    def overdue(self, now: float) -> list[QueuedRequest]:
        """Return the requests whose deadline has passed.

        :param now: seconds.
        :return: requests.
        """
        waiting = chain.from_iterable(subqueue.requests for subqueue in self.subqueues.values())
        return [request for request in waiting if request.deadline <= now]


#: Heap of organisations by virtual time.
Heap = list[tuple[float, str]]


class FairQueue:
    """Queue of the requests that wait for a slot at one entry."""

    def __init__(self, limits: QueueLimits) -> None:
        """Create an empty queue.

        :param limits: limits on its length.
        """
        self.limits = limits
        self.by_organisation: dict[str, OrganisationQueue] = {}
        self.heaps: dict[Priority, Heap] = {priority: [] for priority in Priority}
        self.length = 0
        self.virtual_time: float = 0
        self.dequeued = 0
        self.rate = AdmissionRate()
        self.run_time = RunTimeEstimate()

    def set_weight(self, organisation: str, weight: float) -> None:
        """Set the weight of an organisation.

        :param organisation: its name.
        :param weight: its weight, above 0.
        """
        self.by_organisation.setdefault(organisation, OrganisationQueue()).weight = weight

    def push(self, request: QueuedRequest, now: float) -> tuple[Decision, ...]:
        """Enqueue a request, or reject it if its wait or its organisation's queue is too long.

        If the queue is full, the last request of the organisation with the most waiting requests
        per weight is rejected.

        :param request: the request.
        :param now: seconds.
        :return: the rejection of this or of another request, if any; this request is queued unless
            it is the rejected one.
        """
        queue = self.by_organisation.setdefault(request.organisation, OrganisationQueue())
        if queue.length >= self.limits.per_organisation:
            return (self.reject(request, now),)
        wait_s = self.expected_wait_s(queue, request.priority, now)
        if wait_s > MAX_WAIT_FRACTION * self.slack_s(request, now):
            return (self.reject(request, now),)
        rejected: tuple[Decision, ...] = ()
        if self.length >= self.limits.total:
            evicted = self.evict(queue)
            if evicted is None:
                return (self.reject(request, now),)
            rejected = (self.reject(evicted, now),)
        self.append(queue, request, now)
        return rejected

    def pop(self, now: float) -> tuple[Decision, ...]:
        """Admit the next request.

        :param now: seconds.
        :return: rejections of requests that can no longer end before their deadlines, then the
            admission, if any.
        """
        decisions: list[Decision] = []
        while self.length:
            request = self.dequeue(now)
            if self.slack_s(request, now) > 0:
                self.rate.count(now)
                self.charge(request)
                decisions.append(Admission(request))
                break
            decisions.append(self.reject(request, now))
        return tuple(decisions)

    def remove(self, request: QueuedRequest) -> bool:
        """Remove a request, such as one whose caller disconnected.

        :param request: the request.
        :return: whether it was in the queue.
        """
        queue = self.by_organisation.get(request.organisation, OrganisationQueue())
        subqueue = queue.subqueues[request.priority]
        if request not in subqueue.requests:
            return False
        index = subqueue.requests.index(request)
        del subqueue.requests[index]
        del subqueue.arrived_at[index]
        self.count_removed(queue)
        return True

    def record_run_time(self, seconds: float) -> None:
        """Record a run time, from which it is estimated whether a request can end in time.

        :param seconds: seconds from dispatch to response.
        """
        self.run_time.record(seconds)

    def slack_s(self, request: QueuedRequest, now: float) -> float:
        """Return for how long a request can still wait and end in time.

        :param request: the request.
        :param now: seconds.
        :return: seconds; 0 or less if it can no longer end in time.
        """
        return request.deadline - now - self.run_time.upper_bound_s

    def expire(self, now: float) -> tuple[Decision, ...]:
        """Reject all requests that can no longer end in time, so that their callers need not wait.

        :param now: seconds.
        :return: the rejections.
        """
        overdue: list[QueuedRequest] = []
        for queue in self.by_organisation.values():
            if queue.length:
                overdue += queue.overdue(now + self.run_time.upper_bound_s)
        return tuple(self.reject(request, now) for request in overdue if self.remove(request))

    def append(self, queue: OrganisationQueue, request: QueuedRequest, now: float) -> None:
        """Append a request to its subqueue.

        :param queue: queue of its organisation.
        :param request: the request.
        :param now: seconds.
        """
        if not queue.length:
            queue.virtual_time = max(queue.virtual_time, self.virtual_time)
        subqueue = queue.subqueues[request.priority]
        if not subqueue.in_heap:
            subqueue.in_heap = True
            heap_item = (queue.virtual_time, request.organisation)
            heapq.heappush(self.heaps[request.priority], heap_item)
        subqueue.requests.append(request)
        subqueue.arrived_at.append(now)
        queue.length += 1
        self.length += 1

    def dequeue(self, now: float) -> QueuedRequest:
        """Remove and return the next request; the queue must not be empty.

        :param now: seconds.
        :return: the request.
        """
        self.dequeued += 1
        waiting = [priority for priority in Priority if self.next_organisation(priority)]
        chosen = waiting[0]
        if self.dequeued % LOW_PRIORITY_INTERVAL == 0:
            chosen = min(waiting[1:] or waiting, key=self.first_arrival)
        organisation = self.next_organisation(chosen)
        queue = self.by_organisation[organisation or '']
        subqueue = queue.subqueues[chosen]
        subqueue.arrived_at.popleft()
        request = subqueue.requests.popleft()
        self.count_removed(queue)
        return request

    def charge(self, request: QueuedRequest) -> None:
        """Charge an admitted request to its organisation.

        :param request: the request.
        """
        queue = self.by_organisation[request.organisation]
        self.virtual_time = max(self.virtual_time, queue.virtual_time)
        queue.virtual_time += 1 / queue.weight

    def next_organisation(self, priority: Priority) -> str | None:
        """Return the organisation that is served next, and update stale items of the heap.

        :param priority: the priority.
        :return: its name; none if no request of this priority waits.
        """
        heap = self.heaps[priority]
        while heap:
            virtual_time, organisation = heap[0]
            queue = self.by_organisation[organisation]
            if virtual_time >= queue.virtual_time and queue.subqueues[priority].requests:
                return organisation
            heapq.heappop(heap)
            queue.subqueues[priority].in_heap = bool(queue.subqueues[priority].requests)
            if queue.subqueues[priority].in_heap:
                heapq.heappush(heap, (queue.virtual_time, organisation))
        return None

    def first_arrival(self, priority: Priority) -> float:
        """Return the arrival time of the next request of a priority.

        :param priority: a priority with waiting requests.
        :return: seconds.
        """
        queue = self.by_organisation[self.next_organisation(priority) or '']
        return queue.subqueues[priority].arrived_at[0]

    def evict(self, arriving: OrganisationQueue) -> QueuedRequest | None:
        """Remove the last request of the organisation with the most waiting requests per weight.

        :param arriving: queue of the organisation whose request arrives.
        :return: the removed request; none if the arriving organisation has the most itself.
        """
        largest = max(self.by_organisation.values(), key=lambda queue: queue.length / queue.weight)
        if largest.length / largest.weight <= (arriving.length + 1) / arriving.weight:
            return None
        subqueues = [largest.subqueues[priority] for priority in reversed(Priority)]
        subqueue = next(subqueue for subqueue in subqueues if subqueue.requests)
        subqueue.arrived_at.pop()
        request = subqueue.requests.pop()
        self.count_removed(largest)
        return request

    def count_removed(self, queue: OrganisationQueue) -> None:
        """Count a request that was removed.

        :param queue: queue of its organisation.
        """
        queue.length -= 1
        self.length -= 1

    def expected_wait_s(self, queue: OrganisationQueue, priority: Priority, now: float) -> float:
        """Return the expected wait of a new request.

        :param queue: queue of its organisation.
        :param priority: the priority of the request.
        :param now: seconds.
        :return: seconds; 0 until the admission rate was measured.
        """
        rate = self.rate.per_s(now)
        if not rate:
            return 0
        weights = sum(other.weight for other in self.by_organisation.values() if other.length)
        weights += 0 if queue.length else queue.weight
        ahead = sum(len(queue.subqueues[level].requests) for level in priorities_up_to(priority))
        return min(self.length, ahead * weights / queue.weight) / rate

    def reject(self, request: QueuedRequest, now: float) -> Rejection:
        """Return the rejection of a request.

        :param request: the request.
        :param now: seconds.
        :return: the rejection, which asks to retry once the organisation's queue has drained.
        """
        queue = self.by_organisation.setdefault(request.organisation, OrganisationQueue())
        wait_s = self.expected_wait_s(queue, Priority.draft, now)
        return Rejection(request, min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)))


def priorities_up_to(priority: Priority) -> tuple[Priority, ...]:
    """Return a priority and all higher ones.

    :param priority: the priority.
    :return: priorities, highest first.
    """
    levels = tuple(Priority)
    return levels[: levels.index(priority) + 1]


__all__ = (
    'FairQueue',
    'QueueLimits',
)
