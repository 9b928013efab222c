"""Model engines, entries and callers in virtual time, for the search of places alone.

Load pattern: more requests arrive than the engines can begin, and refused callers come back. The
search, the questions to agents and their answers are the real ones; only the wire is modelled.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from statistics import fmean
from types import SimpleNamespace
from typing import Any

from modelled_engine import (
    ANSWER,
    ENGINE,
    PROMPT,
    ROUTE,
    SAME_REGION_DELAY_S,
    USUAL_RANK,
    ModelledEngine,
    SimulatedRequest,
    draw_length,
    requests_begun_per_s,
)
from virtual_loop import virtual_time

from cassiahitch.direct.placement.availability import ReplicaAvailability
from cassiahitch.direct.placement.load import LoadReport
from cassiahitch.direct.placement.placement import (
    Assignment,
    NoCapacity,
    Placement,
    PlacementRequest,
)
from cassiahitch.direct.placement.reservation import ReservationClient
from cassiahitch.direct.placement.search import PlacementSearch, SearchState
from cassiahitch.direct.requests.runner import (
    PLACEMENT_RETRY_INTERVAL_S as CAPACITY_POLL_INTERVAL_S,
)
from cassiahitch.direct.requests.runner import QUEUE_WAIT_FRACTION
from cassiahitch.direct.staging.reporting import REPORT_POLL_INTERVAL_S, PendingRequests
from cassiahitch.direct.state.catalogue import Engine, Route
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import DatagramMessage, EngineLoad, PlaceQuery, PlaceReturn
from cassiahitch.wire.datagrams import encode_datagram

#: Seconds that callers have in all, and without an event after which they leave.
DEADLINE_S = 6.0
GAP_S = 2.0
#: Part of the time left up to which callers heed the time at which to come back.
HEEDED_PART = 1 / 3
#: What a request is worth: a fixed part and one by its size; late; and lost when refused again.
FIXED_WORTH = 0.3
LATE_WORTH = 0.25
REFUSED_AGAIN = 0.3
#: Seconds from one host to another of another region.
CROSS_REGION_DELAY_S = 0.0028
#: Bytes of a datagram beside its content.
HEADER_BYTES = 28
PEER_PORT = 7700


@dataclass(frozen=True, repr=False)
class OverloadResult:
    """Requests of a run, smallest first, and the datagrams that placed them."""

    requests: tuple[SimulatedRequest, ...]
    datagrams: int = 0
    far_bytes: int = 0

    def size_range(self, first: float, last: float) -> OverloadResult:
        """Return the requests between two shares of the order by size."""
        count = len(self.requests)
        return OverloadResult(self.requests[int(count * first) : int(count * last)])

    def for_route(self, route: Route) -> OverloadResult:
        """Return the requests of a route."""
        return OverloadResult(tuple(one for one in self.requests if one.route is route))

    def sorted_by(self, key: Callable[[SimulatedRequest], int]) -> OverloadResult:
        """Return the requests in the order of another size."""
        ordered = tuple(sorted(self.requests, key=key))
        return OverloadResult(ordered, self.datagrams, self.far_bytes)

    @property
    def served(self) -> float:
        """The share that was served."""
        return sum(one.served for one in self.requests) / len(self.requests)

    @property
    def within_objective(self) -> float:
        """The share that was served within the objective."""
        return sum(one.within_objective for one in self.requests) / len(self.requests)

    @property
    def returned(self) -> float:
        """The share that was served after a refusal."""
        back = [one for one in self.requests if one.tries > 1]
        return sum(one.served for one in back) / max(1, len(back))

    @property
    def worth(self) -> float:
        """What callers got of what they asked for, less what second refusals cost."""
        mean = sum(one.size for one in self.requests) / len(self.requests)
        owed: float = 0
        got: float = 0
        for one in self.requests:
            worth = FIXED_WORTH + (1 - FIXED_WORTH) * one.size / mean
            owed += worth
            if one.served:
                got += worth if one.within_objective else worth * LATE_WORTH
            elif one.tries > 1 and not one.left:
                got -= worth * REFUSED_AGAIN
        return got / owed


@dataclass(repr=False)
class Agent:
    """The agent of an engine, which knows its last report and what is on its way."""

    model: ModelledEngine
    endpoint: Endpoint
    region: int
    on_way: PendingRequests = field(default_factory=PendingRequests)
    report: LoadReport = field(default_factory=lambda: LoadReport(0, 0))

    def answer(self, query: PlaceQuery, entry: Endpoint, now: float) -> EngineLoad:
        """Answer an entry."""
        before = self.on_way.add(entry, query.number, now)
        return EngineLoad(
            number=query.number,
            running=self.report.running,
            waiting=self.report.waiting + before,
            model='m',
            version=1,
        )


@dataclass(repr=False)
class Entry:
    """An entry: the real search with a socket that leads into the model."""

    play: OverloadSimulation
    endpoint: Endpoint
    region: int
    placement: Placement
    placement_search: PlacementSearch = field(init=False)

    def __post_init__(self) -> None:
        """Create the search."""
        reservations = ReservationClient(self.placement, PEER_PORT)
        socket: Any = self
        reservations.socket = socket
        members = SimpleNamespace(registry=SimpleNamespace(live_members=tuple))
        versions = SimpleNamespace(oldest_allowed=lambda model, now: 1)
        candidates: Any = SimpleNamespace(
            is_in_own_region=lambda replica: replica.failure_domain == f'd-{self.region}',
            entry_state=SimpleNamespace(members=members, versions=versions),
            availability=ReplicaAvailability(self.placement.rng),
        )
        self.placement_search = PlacementSearch(
            candidates, self.placement, reservations, self.placement.rng
        )

    def send(self, message: DatagramMessage, receiver: Endpoint) -> None:
        """Send a datagram to an agent."""
        agent = self.play.agents[receiver]
        delay_s = self.play.carry(message, self.region, agent.region)
        match message:
            case PlaceQuery():
                self.play.call_later(delay_s, partial(self.reach, agent, message))
            case PlaceReturn(number=number):
                release = partial(agent.on_way.release, self.endpoint, number)
                self.play.call_later(delay_s, release)

    def reach(self, agent: Agent, query: PlaceQuery) -> None:
        """Let a question arrive and its answer come back."""
        load = agent.answer(query, self.endpoint, self.play.now)
        delay_s = self.play.carry(load, agent.region, self.region)
        handle_load = partial(
            self.placement_search.reservations.handle_load, load, (), agent.endpoint
        )
        self.play.call_later(delay_s, handle_load)

    async def search(self, demand: PlacementRequest) -> Assignment | NoCapacity:
        """Search for an engine once."""
        replicas = self.play.replicas
        engine = self.play.engine
        engine_groups = self.placement_search.engine_groups(replicas, engine, demand, self.play.now)
        search = SearchState(engine, demand, engine_groups)
        await self.placement_search.search(search)
        assert search.result is not None
        return search.result


@dataclass(repr=False)
class OverloadSimulation:
    """One run; ``load`` is the part of what the engines can begin that newcomers ask for."""

    load: float
    returns: int
    seconds: float = 40
    engines: int = 4
    entries: int = 3
    seed: int = 1
    regions: int = 1
    engine: Engine = ENGINE
    make_placement: Callable[[random.Random], Placement] = Placement
    load_factor: Callable[[float], float] = lambda _: 1
    routes: tuple[Route, ...] = (ROUTE,)
    rng: random.Random = field(init=False)
    requests: list[SimulatedRequest] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    sent: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Create engines and entries."""
        self.rng = random.Random(self.seed)
        self.models = [ModelledEngine(self.engine) for _ in range(self.engines)]
        self.replicas = tuple(
            Replica(
                f'm-{number}',
                'drafts',
                Endpoint(f'10.0.0.{number + 1}', 80),
                f'd-{number % self.regions}',
                self.engine.slots,
                weights=(('m', 1),),
            )
            for number in range(self.engines)
        )
        self.agents = {
            Endpoint(replica.endpoint.address, PEER_PORT): Agent(
                model, Endpoint(replica.endpoint.address, PEER_PORT), number % self.regions
            )
            for number, (replica, model) in enumerate(zip(self.replicas, self.models, strict=True))
        }
        self.entry_nodes = [
            Entry(
                self,
                Endpoint(f'10.1.0.{number + 1}', PEER_PORT),
                number % self.regions,
                self.make_placement(random.Random(self.seed + number)),
            )
            for number in range(self.entries)
        ]

    @property
    def now(self) -> float:
        """The time in seconds."""
        return asyncio.get_running_loop().time()

    def call_later(self, after_s: float, action: Callable[[], None]) -> None:
        """Do something later."""
        asyncio.get_running_loop().call_later(after_s, action)

    def carry(self, message: DatagramMessage, sender: int, receiver: int) -> float:
        """Count a datagram and return how long it takes."""
        self.sent['datagrams'] += 1
        if sender == receiver:
            return SAME_REGION_DELAY_S
        self.sent['far bytes'] += len(encode_datagram(message)) + HEADER_BYTES
        return CROSS_REGION_DELAY_S

    def simulate(self) -> OverloadResult:
        """Play the run to its end."""
        with virtual_time(settle_s=0) as runner:
            runner.run(self.run())
        result = OverloadResult(
            tuple(self.requests), self.sent['datagrams'], self.sent['far bytes']
        )
        return result.sorted_by(lambda one: one.prompt)

    async def run(self) -> None:
        """Let newcomers arrive and all of them end."""
        began = self.now
        for agent in self.agents.values():
            self.call_later(
                self.rng.uniform(0, REPORT_POLL_INTERVAL_S), partial(self.report, agent)
            )
        while self.now - began < self.seconds:
            self.arrive()
            rate = self.engines * requests_begun_per_s(self.engine) * self.load
            rate *= self.load_factor(self.now - began)
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.sleep(DEADLINE_S)

    def arrive(self) -> None:
        """Let a newcomer ask."""
        prompt, answer = draw_length(self.rng, *PROMPT), draw_length(self.rng, *ANSWER)
        asked = SimulatedRequest(
            self.rng.choice(self.routes), self.now, prompt, answer, self.returns
        )
        self.requests.append(asked)
        self.ask(asked)

    def ask(self, asked: SimulatedRequest) -> None:
        """Let a caller ask any entry."""
        asked.tries += 1
        asked.looks_until = self.now + asked.route.objective_s * QUEUE_WAIT_FRACTION
        task = asyncio.get_running_loop().create_task(
            self.look(asked, self.rng.choice(self.entry_nodes))
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def look(self, asked: SimulatedRequest, entry: Entry) -> None:
        """Place a request, wait for a place, or refuse it."""
        while True:
            elapsed_s = self.now - asked.first
            usual_s = fmean(route.objective_s for route in self.routes)
            left_s = DEADLINE_S - elapsed_s
            priority = asked.route.priority
            demand = PlacementRequest(
                asked.route, elapsed_s, asked.prompt, priority, left_s, usual_s
            )
            found = await entry.search(demand)
            if isinstance(found, Assignment):
                self.send(asked, entry, found)
                return
            if self.now + found.available_in_s >= asked.looks_until:
                self.refuse(asked, found.retry_after_s)
                return
            await asyncio.sleep(max(CAPACITY_POLL_INTERVAL_S, found.available_in_s))

    def refuse(self, asked: SimulatedRequest, retry_after_s: float) -> None:
        """Let a refused caller come back as it was told."""
        if asked.returns:
            asked.returns -= 1
            left_s = asked.first + DEADLINE_S - self.now
            self.call_later(min(retry_after_s, left_s * HEEDED_PART), partial(self.ask, asked))

    def send(self, asked: SimulatedRequest, entry: Entry, placed: Assignment) -> None:
        """Send a request."""
        number = self.replicas.index(placed.candidate.replica)
        load = entry.placement.engine_load(placed.candidate.replica.key)
        load.record_sent(asked.prompt, self.now)
        asked.rank = USUAL_RANK if placed.rank is None else placed.rank
        asked.unread = asked.prompt
        asked.sent_at = self.now
        asked.news = partial(self.follow, asked, entry, placed)
        near = entry.region == number % self.regions
        self.call_later(
            SAME_REGION_DELAY_S if near else CROSS_REGION_DELAY_S, partial(self.take, number, asked)
        )
        self.call_later(GAP_S, partial(self.leave, asked))

    def follow(self, asked: SimulatedRequest, entry: Entry, placed: Assignment) -> None:
        """Tell the entry when the first event came and when the request ended."""
        load = entry.placement.engine_load(placed.candidate.replica.key)
        if asked.left or asked.written >= asked.answer:
            load.record_ended(self.now)
        elif asked.began_at is not None:
            load.record_first_event(placed.expected_s, asked.began_at - asked.sent_at, self.now)

    def leave(self, asked: SimulatedRequest) -> None:
        """Let a caller leave if nothing came."""
        if asked.began_at is None:
            asked.left = True
            asked.tell()

    def take(self, number: int, asked: SimulatedRequest) -> None:
        """Queue a request at an engine."""
        model = self.models[number]
        model.waiting.append(asked)
        if not model.busy:
            model.busy = True
            model.steps_left = 0
            self.step(number)

    def step(self, number: int) -> None:
        """Run one step of an engine."""
        self.call_later(self.models[number].step(), partial(self.end_step, number))

    def end_step(self, number: int) -> None:
        """End a step of an engine and begin the next one."""
        model = self.models[number]
        model.end_step(self.now)
        model.busy = bool(model.running or model.waiting)
        if model.busy:
            self.step(number)

    def report(self, agent: Agent) -> None:
        """Let the agent of an engine read its report."""
        agent.report = agent.model.report()
        self.call_later(
            REPORT_POLL_INTERVAL_S * self.rng.uniform(0.9, 1.1), partial(self.report, agent)
        )


__all__ = ('OverloadSimulation', 'OverloadResult')
