"""Replicas with batching slots and a load of many organisations, in virtual time."""

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

#: Requests that a replica runs at once.
SLOTS = 8
#: Mean seconds of slot time of a request that runs by itself.
WORK_S = 0.5
#: Part of its time that a full batch adds to a request.
BATCH_COST = 0.3
#: Shape of the gamma distribution of the work.
WORK_SHAPE = 4.0
#: Part of the work that a cached prefix saves.
CACHE_GAIN = 0.4
#: Prefixes that the cache of a replica holds.
CACHE_PREFIXES = 6
#: Different prefixes in use.
PREFIXES = 24
#: Share of the requests that start with one of them.
PREFIX_SHARE = 0.5
#: Speed of the slow replica.
SLOW_SPEED = 1 / 3
#: Seconds before a request is of no more use to its caller.
PATIENCE_S = 10.0


Call = Callable[[], None]
#: Called with the slot time of an answer and whether a cached prefix was used.
Answer = Callable[[float, bool], None]


class EventQueue:
    """Calls at moments of virtual time."""

    def __init__(self) -> None:
        """Create it at time 0."""
        self.now: float = 0
        self.heap: list[tuple[float, int, Call]] = []
        self.serial = 0

    def schedule(self, moment: float, call: Call) -> None:
        """Schedule a call.

        :param moment: seconds.
        :param call: what to call.
        """
        self.serial += 1
        heapq.heappush(self.heap, (moment, self.serial, call))

    def run_until(self, end: float) -> None:
        """Make all calls that are due before an end.

        :param end: seconds.
        """
        while self.heap and self.heap[0][0] < end:
            now, _, call = heapq.heappop(self.heap)
            self.now = now
            call()
        self.now = end


@dataclass(frozen=True, slots=True)
class OrganisationLoad:
    """An organisation in the load, with its part of all requests."""

    name: str
    part: float
    weight: float = 1


ORGANISATIONS = (
    OrganisationLoad('large-1', 0.3),
    OrganisationLoad('large-2', 0.25, weight=2),
    OrganisationLoad('large-3', 0.2),
    *(OrganisationLoad(f'small-{index}', 0.25 / 7) for index in range(7)),
)


@dataclass(slots=True)
class Arrival:
    """A request of the load."""

    number: int
    organisation: OrganisationLoad
    priority: Priority
    prefix: str
    arrived_at: float
    work_s: float
    sends: int = 0

    @property
    def deadline(self) -> float:
        """Latest moment at which its answer is of use."""
        return self.arrived_at + PATIENCE_S


def generate_arrivals(random: Random, rate: float, start: float, end: float) -> Iterator[Arrival]:
    """Yield Poisson arrivals.

    :param random: the source of chance.
    :param rate: requests per second.
    :param start: seconds.
    :param end: seconds.
    :return: requests in order of time.
    """
    now = start + random.expovariate(rate)
    parts = [organisation.part for organisation in ORGANISATIONS]
    priorities = tuple(Priority)
    number = 0
    while now < end:
        number += 1
        prefix = f'prefix-{int(PREFIXES * random.random() ** 2)}'
        yield Arrival(
            number=number,
            organisation=random.choices(ORGANISATIONS, parts)[0],
            priority=random.choices(priorities, (1, 2, 7))[0],
            prefix=prefix if random.random() < PREFIX_SHARE else '',
            arrived_at=now,
            work_s=random.gammavariate(WORK_SHAPE, WORK_S / WORK_SHAPE),
        )
        now += random.expovariate(rate)


Queued = tuple[Arrival, Answer]


@dataclass(slots=True)
class SimulatedReplica:
    """A replica: slots, a queue and a cache of prefixes."""

    host: str
    events: EventQueue
    speed: float = 1
    silent: bool = False
    running: int = 0
    queue: deque[Queued] = field(default_factory=deque)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    sequence: int = 0
    cache_log: list[CacheEvent] = field(default_factory=list)

    def send(self, arrival: Arrival, answer: Answer) -> None:
        """Queue a request.

        :param arrival: the request.
        :param answer: called at its end with its slot time and whether the cache was hit.
        """
        self.queue.append((arrival, answer))
        self.start()

    def start(self) -> None:
        """Start queued requests while slots are free."""
        while self.queue and self.running < SLOTS and not self.silent:
            arrival, answer = self.queue.popleft()
            self.running += 1
            hit = self.use_cache(arrival.prefix)
            work_s = arrival.work_s * (1 - CACHE_GAIN * hit)
            seconds = work_s * (1 + BATCH_COST * self.running / SLOTS) / self.speed
            self.events.schedule(
                self.events.now + seconds, partial(self.finish, answer, seconds, hit)
            )

    def finish(self, answer: Answer, seconds: float, hit: bool) -> None:
        """End a request, unless the replica has gone silent.

        :param answer: what to call.
        :param seconds: its slot time.
        :param hit: whether its prefix was cached.
        """
        if self.silent:
            return
        self.running -= 1
        answer(seconds, hit)
        self.start()

    def use_cache(self, prefix: str) -> bool:
        """Look a prefix up and keep it, in place of the one that was not used for longest.

        :param prefix: the prefix, empty if there is none.
        :return: whether it was cached.
        """
        if not prefix:
            return False
        if prefix in self.cache:
            self.cache.move_to_end(prefix)
            return True
        self.cache[prefix] = None
        self.log(prefix, cached=True)
        if len(self.cache) > CACHE_PREFIXES:
            evicted, _ = self.cache.popitem(last=False)
            self.log(evicted, cached=False)
        return False

    def take_log(self) -> list[CacheEvent]:
        """Return the changes of the cache since the last call.

        :return: events in sequence.
        """
        log = self.cache_log
        self.cache_log = []
        return log

    def log(self, prefix: str, *, cached: bool) -> None:
        """Log a change of the cache.

        :param prefix: the prefix.
        :param cached: whether it came or went.
        """
        self.sequence += 1
        self.cache_log.append(CacheEvent(self.sequence, prefix, cached))


def capacity_per_s(batches: tuple[SimulatedReplica, ...]) -> float:
    """Return the requests per second that replicas answer in full batches without cache hits.

    :param batches: the replicas.
    :return: requests per second.
    """
    speeds = sum(batch.speed for batch in batches if not batch.silent)
    return speeds * SLOTS / (WORK_S * (1 + BATCH_COST))


__all__ = (
    'ORGANISATIONS',
    'Arrival',
    'SimulatedReplica',
    'OrganisationLoad',
    'EventQueue',
    'generate_arrivals',
    'capacity_per_s',
)
