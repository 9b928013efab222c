"""Weighted fair queue over organisations and priorities, with bounded lengths."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from itertools import chain

from cassiahitch.limits.api import Admission, Decision, QueuedRequest, Rejection
from cassiahitch.limits.rate import AdmissionRate, RunTime
from cassiahitch.resources.models import Priority

#: Every this-many-th request is taken from a lower priority, whose first waits longest.
RESERVED_EVERY = 8
#: Part of the time that a request may wait which its expected wait may take.
WAIT_PART = 0.5
#: Longest Retry-After in seconds.
LONGEST_RETRY_S = 30.0
#: Shortest Retry-After in seconds.
SHORTEST_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """Bounds on the number of requests that wait."""

    total: int = 1_000
    per_organisation: int = 250


@dataclass(slots=True)
class Line:
    """Requests of one organisation and priority, in order of arrival."""

    requests: deque[QueuedRequest] = field(default_factory=deque)
    arrived_at: deque[float] = field(default_factory=deque)
    listed: bool = False


@dataclass(slots=True)
class OrganisationQueue:
    """Queue state of one organisation; ``virtual_time`` is what it has used per weight."""

    weight: float = 1
    virtual_time: float = 0
    length: int = 0
    lines: dict[Priority, Line] = field(
        default_factory=lambda: {priority: Line() for priority in Priority},
    )

    def late(self, now: float) -> list[QueuedRequest]:
        """Return the requests whose deadline has passed.

        :param now: seconds.
        :return: requests.
        """
        waiting = chain.from_iterable(line.requests for line in self.lines.values())
        return [request for request in waiting if request.deadline <= now]


#: Organisations by virtual time.
Heap = list[tuple[float, str]]


class FairQueue:
    """Requests that wait for a slot at one entry."""

    def __init__(self, limits: QueueLimits) -> None:
        """Create an empty queue.

        :param limits: bounds on its length.
        """
        self.limits = limits
        self.by_organisation: dict[str, OrganisationQueue] = {}
        self.heaps: dict[Priority, Heap] = {priority: [] for priority in Priority}
        self.length = 0
        self.virtual_time: float = 0
        self.pops = 0
        self.rate = AdmissionRate()
        self.run_time = RunTime()

    def set_weight(self, organisation: str, weight: float) -> None:
        """Set the weight of an organisation.

        :param organisation: its name.
        :param weight: its weight, above 0.
        """
        self.by_organisation.setdefault(organisation, OrganisationQueue()).weight = weight

    def push(self, request: QueuedRequest, now: float) -> tuple[Decision, ...]:
        """Let a request wait, or shed it or a request of the organisation that waits most.

        :param request: the request.
        :param now: seconds.
        :return: what was shed.
        """
        own = self.by_organisation.setdefault(request.organisation, OrganisationQueue())
        if own.length >= self.limits.per_organisation:
            return (self.shed(request, now),)
        wait_s = self.expected_wait_s(own, request.priority, now)
        if wait_s > WAIT_PART * self.spare_s(request, now):
            return (self.shed(request, now),)
        shed: tuple[Decision, ...] = ()
        if self.length >= self.limits.total:
            evicted = self.evict(own)
            if evicted is None:
                return (self.shed(request, now),)
            shed = (self.shed(evicted, now),)
        self.append(own, request, now)
        return shed

    def pop(self, now: float) -> tuple[Decision, ...]:
        """Take the next request out.

        :param now: seconds.
        :return: shed requests that it is too late to start, then the admitted one, if any.
        """
        verdicts: list[Decision] = []
        while self.length:
            request = self.take(now)
            if self.spare_s(request, now) > 0:
                self.rate.count(now)
                self.charge(request)
                verdicts.append(Admission(request))
                break
            verdicts.append(self.shed(request, now))
        return tuple(verdicts)

    def remove(self, request: QueuedRequest) -> bool:
        """Remove a request whose caller has gone.

        :param request: the request.
        :return: whether it waited.
        """
        own = self.by_organisation.get(request.organisation, OrganisationQueue())
        line = own.lines[request.priority]
        if request not in line.requests:
            return False
        index = line.requests.index(request)
        del line.requests[index]
        del line.arrived_at[index]
        self.shrink(own)
        return True

    def record_run_time(self, seconds: float) -> None:
        """Learn how long requests take, so that none starts that cannot end in time.

        :param seconds: from dispatch to answer.
        """
        self.run_time.learn(seconds)

    def spare_s(self, request: QueuedRequest, now: float) -> float:
        """Return how long a request may still wait.

        :param request: the request.
        :param now: seconds.
        :return: seconds; 0 or less if it is too late to start it.
        """
        return request.deadline - now - self.run_time.likely_s

    def expire(self, now: float) -> tuple[Decision, ...]:
        """Reject all requests that it is too late to start, so that each gets its answer at once.

        :param now: seconds.
        :return: what was shed.
        """
        late: list[QueuedRequest] = []
        for own in self.by_organisation.values():
            if own.length:
                late += own.late(now + self.run_time.likely_s)
        return tuple(self.shed(request, now) for request in late if self.remove(request))

    def append(self, own: OrganisationQueue, request: QueuedRequest, now: float) -> None:
        """Append a request to its line.

        :param own: its organisation.
        :param request: the request.
        :param now: seconds.
        """
        if not own.length:
            own.virtual_time = max(own.virtual_time, self.virtual_time)
        line = own.lines[request.priority]
        if not line.listed:
            line.listed = True
            place = (own.virtual_time, request.organisation)
            heapq.heappush(self.heaps[request.priority], place)
        line.requests.append(request)
        line.arrived_at.append(now)
        own.length += 1
        self.length += 1

    def take(self, now: float) -> QueuedRequest:
        """Take the next request out of a queue that is not empty.

        :param now: seconds.
        :return: the request.
        """
        self.pops += 1
        waiting = [priority for priority in Priority if self.head(priority)]
        chosen = waiting[0]
        if self.pops % RESERVED_EVERY == 0:
            chosen = min(waiting[1:] or waiting, key=self.first_arrival)
        organisation = self.head(chosen)
        own = self.by_organisation[organisation or '']
        line = own.lines[chosen]
        line.arrived_at.popleft()
        request = line.requests.popleft()
        self.shrink(own)
        return request

    def charge(self, request: QueuedRequest) -> None:
        """Charge an organisation for an admitted request.

        :param request: the request.
        """
        own = self.by_organisation[request.organisation]
        self.virtual_time = max(self.virtual_time, own.virtual_time)
        own.virtual_time += 1 / own.weight

    def head(self, priority: Priority) -> str | None:
        """Return the organisation whose turn it is, and bring the heap up to date.

        :param priority: the priority.
        :return: its name; nothing if no request of this priority waits.
        """
        heap = self.heaps[priority]
        while heap:
            virtual_time, organisation = heap[0]
            own = self.by_organisation[organisation]
            if virtual_time >= own.virtual_time and own.lines[priority].requests:
                return organisation
            heapq.heappop(heap)
            own.lines[priority].listed = bool(own.lines[priority].requests)
            if own.lines[priority].listed:
                heapq.heappush(heap, (own.virtual_time, organisation))
        return None

    def first_arrival(self, priority: Priority) -> float:
        """Return when the request whose turn it is arrived.

        :param priority: a priority of which requests wait.
        :return: seconds.
        """
        own = self.by_organisation[self.head(priority) or '']
        return own.lines[priority].arrived_at[0]

    def evict(self, newcomer: OrganisationQueue) -> QueuedRequest | None:
        """Take the last request of the organisation that waits most per weight out.

        :param newcomer: the organisation that needs the place.
        :return: the request; nothing if the newcomer itself waits most.
        """
        longest = max(self.by_organisation.values(), key=lambda own: own.length / own.weight)
        if longest.length / longest.weight <= (newcomer.length + 1) / newcomer.weight:
            return None
        lines = [longest.lines[priority] for priority in reversed(Priority)]
        line = next(line for line in lines if line.requests)
        line.arrived_at.pop()
        request = line.requests.pop()
        self.shrink(longest)
        return request

    def shrink(self, own: OrganisationQueue) -> None:
        """Count a request that left the queue.

        :param own: its organisation.
        """
        own.length -= 1
        self.length -= 1

    def expected_wait_s(self, own: OrganisationQueue, priority: Priority, now: float) -> float:
        """Return how long a new request of an organisation would wait.

        :param own: the organisation.
        :param priority: the priority of the request.
        :param now: seconds.
        :return: seconds; 0 while the rate is not known.
        """
        rate = self.rate.per_s(now)
        if not rate:
            return 0
        weights = sum(other.weight for other in self.by_organisation.values() if other.length)
        weights += 0 if own.length else own.weight
        ahead = sum(len(own.lines[level].requests) for level in levels_up_to(priority))
        return min(self.length, ahead * weights / own.weight) / rate

    def shed(self, request: QueuedRequest, now: float) -> Rejection:
        """Return the refusal of a request.

        :param request: the request.
        :param now: seconds.
        :return: the refusal, with the time until its organisation's queue has drained.
        """
        own = self.by_organisation.setdefault(request.organisation, OrganisationQueue())
        wait_s = self.expected_wait_s(own, Priority.draft, now)
        return Rejection(request, min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, wait_s)))


def levels_up_to(priority: Priority) -> tuple[Priority, ...]:
    """Return the priorities that are served no later than one.

    :param priority: the priority.
    :return: priorities, first served first.
    """
    levels = tuple(Priority)
    return levels[: levels.index(priority) + 1]


__all__ = (
    'FairQueue',
    'QueueLimits',
)
