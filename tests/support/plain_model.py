"""A simulation of plain replicas and of the entries that place reads and writes at them.

Load pattern: long reads and short writes of one service, at a rate that keeps the replicas busy.
The placement and the learned costs are the real code; the network has no delay.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from statistics import fmean

from cassiahitch.direct.placement.assignments import Candidate, PlacementRequest
from cassiahitch.direct.placement.costs import RequestCosts
from cassiahitch.direct.placement.placement import Placement
from cassiahitch.direct.state.catalogue import RepeatPolicy, Route, ServiceShare
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.util.endpoints import Endpoint

SLOTS = 6
SHARES = (ServiceShare('desk', 1),)
WRITE = Route('write', 'h', '/w', RepeatPolicy.once, 4, 0.3, 1, SHARES, 1)
READ = Route('read', 'h', '/r', RepeatPolicy.idempotent, 4, 1, 1, SHARES, 2)
#: Service times in seconds, and the shares of the requests.
SERVICE_S = {'write': 0.045, 'read': 0.4}
WRITE_SHARE = 0.8
#: Seconds at the start in which the costs are learned.
WARM_UP_S = 10


@dataclass(frozen=True, order=True)
class ScheduledAction:
    """An action at a time; actions at the same time run in the order of their numbers."""

    at: float
    number: int
    action: Callable[[], None] = field(compare=False)


@dataclass(eq=False)
class PlainReplica:
    """Runs requests in its slots in the order of their arrival; ``factor`` makes it slower."""

    replica: Replica
    region: int
    factor: float = 1
    running: int = 0
    waiting: deque[Callable[[], None]] = field(default_factory=deque)


@dataclass(repr=False)
class PlainSimulation:
    """One simulation; ``load`` is the rate of requests relative to the capacity of the replicas.

    ``regions`` holds the region of each replica; entries are spread evenly over the regions.
    """

    load: float
    learns: bool
    seed: int = 1
    entries: int = 2
    seconds: float = 60
    regions: tuple[int, ...] = (0, 0, 0)
    now: float = 0
    response_times_s: list[float] = field(default_factory=list)
    near: list[bool] = field(default_factory=list)
    events: list[ScheduledAction] = field(default_factory=list)
    numbers: count[int] = field(default_factory=lambda: count(1))

    def __post_init__(self) -> None:
        """Create the replicas and the placements of the entries."""
        self.rng = random.Random(self.seed)
        self.replicas = {
            f'p-{number}': PlainReplica(
                Replica(f'p-{number}', 'desk', Endpoint('10.0.0.1', 80), 'd', SLOTS), region
            )
            for number, region in enumerate(self.regions)
        }
        self.placements = tuple(
            Placement(random.Random(number), costs=RequestCosts(self.learns))
            for number in range(self.entries)
        )

    def candidates(self, region: int) -> tuple[Candidate, ...]:
        """Return the replicas as candidates of an entry in a region."""
        return tuple(
            Candidate(one.replica, one.region == region, in_own_domain=one.region == region)
            for one in self.replicas.values()
        )

    def call_later(self, after_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        scheduled = ScheduledAction(self.now + after_s, next(self.numbers), action)
        heapq.heappush(self.events, scheduled)

    def simulate(self) -> PlainSimulation:
        """Run the simulation until its time is over."""
        self.call_later(0, self.arrive)
        while self.now < self.seconds:
            scheduled = heapq.heappop(self.events)
            self.now = scheduled.at
            scheduled.action()
        return self

    @property
    def mean_s(self) -> float:
        """The mean response time in seconds."""
        return fmean(self.response_times_s)

    def arrive(self) -> None:
        """Place a new request, and schedule the next one."""
        mean_s = sum(
            share * SERVICE_S[name]
            for name, share in (('write', WRITE_SHARE), ('read', 1 - WRITE_SHARE))
        )
        rate = self.load * len(self.replicas) * SLOTS / mean_s
        self.call_later(self.rng.expovariate(rate), self.arrive)
        route = WRITE if self.rng.random() < WRITE_SHARE else READ
        self.place(route, self.rng.randrange(self.entries))

    def place(self, route: Route, entry: int) -> None:
        """Send a request to the replica that an entry chooses."""
        placement = self.placements[entry]
        candidates = self.candidates(entry % (max(self.regions) + 1))
        assignment = placement.place_plain(PlacementRequest(route, 0), candidates, self.now)
        chosen = assignment.candidate
        self.near.append(chosen.in_own_region)
        load = placement.plain_load(chosen.replica.key)
        load.record_sent(assignment.cost_s)
        sent_at = self.now
        replica = self.replicas[chosen.replica.id]

        def end() -> None:
            took_s = self.now - sent_at
            placement.costs.record_service(route.name, took_s, self.now)
            service_s = placement.costs.service_s(route.name, self.now)
            load.record_ended(assignment.cost_s, took_s / service_s, self.now)
            if sent_at >= WARM_UP_S:
                self.response_times_s.append(took_s)
            replica.running -= 1
            if replica.waiting:
                replica.waiting.popleft()()

        replica.waiting.append(
            partial(self.start, replica, SERVICE_S[route.name] * replica.factor, end)
        )
        if replica.running < SLOTS:
            replica.waiting.popleft()()

    def start(self, replica: PlainReplica, service_s: float, end: Callable[[], None]) -> None:
        """Start a request in a slot."""
        replica.running += 1
        self.call_later(service_s, end)


__all__ = (
    'READ',
    'SERVICE_S',
    'WRITE',
    'PlainSimulation',
)
