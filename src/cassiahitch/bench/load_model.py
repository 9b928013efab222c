"""Models replicas with batching slots, and the requests of many organisations."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from cassiahitch.engine.api import CacheEvent
from cassiahitch.resources.models import Priority

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

#: Number of requests that a replica runs at the same time.
SLOTS = 8
#: Mean slot time in seconds of a request that runs alone.
WORK_S = 0.5
#: Share of its slot time that a full batch adds to a request.
BATCH_SLOWDOWN = 0.3
#: Shape of the gamma distribution of the work.
WORK_SHAPE = 4.0
#: Share of the work that a cached prefix saves.
CACHE_SAVING = 0.4
#: Capacity of the cache of a replica, in prefixes.
CACHE_PREFIXES = 6
#: Number of different prefixes.
PREFIXES = 24
#: Share of the requests that have a prefix.
PREFIX_SHARE = 0.5
#: Relative speed of the slow replica.
SLOW_SPEED = 1 / 3
#: Seconds from arrival after which a response is of no use to its caller.
DEADLINE_S = 10.0


Callback = Callable[[], None]
#: Called with the slot time of a response in seconds and whether a cached prefix was used.
ResponseCallback = Callable[[float, bool], None]


class EventQueue:
    """Queue of callbacks that are scheduled at virtual times."""

    def __init__(self) -> None:
        """Create an empty queue at time 0."""
        self.now: float = 0
        self.entries: list[tuple[float, int, Callback]] = []
        self.serial = 0

    def schedule(self, time: float, callback: Callback) -> None:
        """Schedule a callback.

        :param time: virtual time in seconds.
        :param callback: the callback.
        """
        self.serial += 1
        heapq.heappush(self.entries, (time, self.serial, callback))

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due before a time.

        :param end: virtual time in seconds.
        """
        while self.entries and self.entries[0][0] < end:
            now, _, callback = heapq.heappop(self.entries)
            self.now = now
            callback()
        self.now = end


@dataclass(frozen=True, slots=True)
class OrganisationLoad:
    """An organisation's share of all requests, and its weight."""

    name: str
    share: float
    weight: float = 1


ORGANISATIONS = (
    OrganisationLoad('large-1', 0.3),
    OrganisationLoad('large-2', 0.25, weight=2),
    OrganisationLoad('large-3', 0.2),
    *(OrganisationLoad(f'small-{index}', 0.25 / 7) for index in range(7)),
)


@dataclass(slots=True)
class Arrival:
    """A request that arrives at an entry."""

    number: int
    organisation: OrganisationLoad
    priority: Priority
    prefix: str
    arrived_at: float
    work_s: float
    attempts: int = 0

    @property
    def deadline(self) -> float:
        """Latest time at which a response is of use, in seconds."""
        return self.arrived_at + DEADLINE_S


def generate_arrivals(random: Random, rate: float, start: float, end: float) -> Iterator[Arrival]:
    """Yield requests with Poisson arrivals.

    :param random: source of random numbers.
    :param rate: requests per second.
    :param start: start of the arrivals in seconds.
    :param end: end of the arrivals in seconds.
    :return: requests in order of time.
    """
    now = start + random.expovariate(rate)
    shares = [organisation.share for organisation in ORGANISATIONS]
    priorities = tuple(Priority)
    number = 0
    while now < end:
        number += 1
        prefix = f'prefix-{int(PREFIXES * random.random() ** 2)}'
        yield Arrival(
            number=number,
            organisation=random.choices(ORGANISATIONS, shares)[0],
            priority=random.choices(priorities, (1, 2, 7))[0],
            prefix=prefix if random.random() < PREFIX_SHARE else '',
            arrived_at=now,
            work_s=random.gammavariate(WORK_SHAPE, WORK_S / WORK_SHAPE),
        )
        now += random.expovariate(rate)


QueuedCall = tuple[Arrival, ResponseCallback]


@dataclass(slots=True)
class SimulatedReplica:
    """A replica with slots, a queue and a cache of prefixes."""

    host: str
    events: EventQueue
    speed: float = 1
    unresponsive: bool = False
    running: int = 0
    queue: deque[QueuedCall] = field(default_factory=deque)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    sequence: int = 0
    cache_log: list[CacheEvent] = field(default_factory=list)

    def enqueue(self, arrival: Arrival, on_response: ResponseCallback) -> None:
        """Queue a request.

        :param arrival: the request.
        :param on_response: called when the request has finished.
        """
        self.queue.append((arrival, on_response))
        self.start_queued()

    def start_queued(self) -> None:
        """Start queued requests while slots are free."""
        while self.queue and self.running < SLOTS and not self.unresponsive:
            arrival, on_response = self.queue.popleft()
            self.running += 1
            hit = self.access_cache(arrival.prefix)
            work_s = arrival.work_s * (1 - CACHE_SAVING * hit)
            seconds = work_s * (1 + BATCH_SLOWDOWN * self.running / SLOTS) / self.speed
            self.events.schedule(
                self.events.now + seconds, partial(self.finish, on_response, seconds, hit)
            )

    def finish(self, on_response: ResponseCallback, seconds: float, hit: bool) -> None:
        """Finish a request, unless the replica has become unresponsive.

        :param on_response: called with the slot time and the cache hit.
        :param seconds: slot time of the request.
        :param hit: whether the prefix was cached.
        """
        if self.unresponsive:
            return
        self.running -= 1
        on_response(seconds, hit)
        self.start_queued()

    def access_cache(self, prefix: str) -> bool:
        """Look up a prefix and cache it; a full cache evicts the least recently used prefix.

        :param prefix: the prefix, or an empty string if the request has none.
        :return: whether the prefix was cached.
        """
        if not prefix:
            return False
        if prefix in self.cache:
            self.cache.move_to_end(prefix)
            return True
        self.cache[prefix] = None
        self.log_cache_change(prefix, cached=True)
        if len(self.cache) > CACHE_PREFIXES:
            evicted, _ = self.cache.popitem(last=False)
            self.log_cache_change(evicted, cached=False)
        return False

    def drain_cache_log(self) -> list[CacheEvent]:
        """Return the changes of the cache since the last call, and clear the log.

        :return: the events in order of their sequence numbers.
        """
        log = self.cache_log
        self.cache_log = []
        return log

    def log_cache_change(self, prefix: str, *, cached: bool) -> None:
        """Log a change of the cache.

        :param prefix: the prefix.
        :param cached: whether the prefix was added; otherwise it was evicted.
        """
        self.sequence += 1
        self.cache_log.append(CacheEvent(self.sequence, prefix, cached))


def capacity_per_s(replicas: tuple[SimulatedReplica, ...]) -> float:
    """Return the capacity of replicas that run full batches without cache hits.

    :param batches: the replicas.
    :return: requests per second.
    """
    speeds = sum(replica.speed for replica in replicas if not replica.unresponsive)
    return speeds * SLOTS / (WORK_S * (1 + BATCH_SLOWDOWN))


__all__ = (
    'ORGANISATIONS',
    'Arrival',
    'SimulatedReplica',
    'OrganisationLoad',
    'EventQueue',
    'generate_arrivals',
    'capacity_per_s',
)
