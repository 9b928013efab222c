"""A simulation of model engines and of entries that place requests at them, by cost or by count.

Load pattern: requests whose lengths differ by a factor of ten keep the slots of the engines almost
always taken, and no request is refused. The placement, the announced requests and the learned costs
are the real code; the network has no delay.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from statistics import fmean, quantiles

from modelled_engine import (
    ENGINE,
    PROMPT,
    ROUTE,
    ModelledEngine,
    SimulatedRequest,
    draw_length,
    requests_begun_per_s,
)

from cassiahitch.direct.api import Generation
from cassiahitch.direct.placement.assignments import Assignment, Candidate, PlacementRequest
from cassiahitch.direct.placement.costs import RequestCosts
from cassiahitch.direct.placement.load import LoadReport, OutstandingWork
from cassiahitch.direct.placement.placement import Placement
from cassiahitch.direct.staging.announcedrequests import AnnouncedRequests
from cassiahitch.direct.staging.reporting import REPORT_POLL_INTERVAL_S, PendingRequests
from cassiahitch.direct.state.catalogue import Engine, Route
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import PlaceQuery, RequestCost

#: Response lengths in tokens: mean before the cut, standard deviation of the logarithm, maximum.
ANSWER = (119, 0.9, 300)
#: Engines that are queried for one request.
QUERIES = 4
#: Seconds at the start whose requests do not count, in which the engines fill up.
WARM_UP_S = 10


@dataclass(frozen=True)
class CostPolicy:
    """How entries place: whether they send costs, and whether agents report the work."""

    entries_know_costs: bool = True
    agents_report_work: bool = True


BY_COST = CostPolicy()
BY_COUNT = CostPolicy(entries_know_costs=False)
OLD_AGENTS = CostPolicy(agents_report_work=False)


@dataclass(frozen=True, order=True)
class ScheduledAction:
    """An action at a time; actions at the same time run in the order of their numbers."""

    at: float
    number: int
    action: Callable[[], None] = field(compare=False)


@dataclass(eq=False)
class Agent:
    """The agent of an engine, with the last report."""

    model: ModelledEngine
    candidate: Candidate
    pending: PendingRequests = field(default_factory=PendingRequests)
    announced: AnnouncedRequests = field(default_factory=AnnouncedRequests)
    report: LoadReport = field(default_factory=lambda: LoadReport(0, 0))

    def read_report(self, now: float) -> None:
        """Read the report of the engine."""
        self.report = self.model.report()
        engine = self.model.engine
        self.announced.apply_report(engine, self.report.running, self.report.waiting, 1, now)

    def reply(self, entry: Endpoint, query: PlaceQuery, now: float) -> LoadReport:
        """Return the load for a query, and count its request."""
        waiting = self.report.waiting + self.pending.add(entry, query.number, now)
        records = self.announced.work(waiting) if query.costs else ()
        self.announced.announce(entry, query, now)
        work = [OutstandingWork(one.remaining_tokens, one.prompt_tokens) for one in records]
        return LoadReport(self.report.running, waiting, work=work[0] if work else None)

    def release(self, entry: Endpoint, number: int) -> None:
        """Release the request of a query."""
        self.pending.release(entry, number)
        self.announced.release(entry, number)


@dataclass(repr=False)
class CostSimulation:
    """One simulation; ``load`` is the rate of requests relative to the capacity of the engines.

    ``hint_spread`` is the standard deviation of the logarithm of the error of hints.
    """

    load: float
    policy: CostPolicy = BY_COST
    hint_spread: float = 0.5
    seconds: float = 60
    engines: int = 6
    entries: int = 8
    seed: int = 1
    engine: Engine = ENGINE
    route: Route = ROUTE
    answer: tuple[float, float, int] = ANSWER
    now: float = 0
    requests: list[SimulatedRequest] = field(default_factory=list)
    prediction_errors_s: list[float] = field(default_factory=list)
    events: list[ScheduledAction] = field(default_factory=list)
    numbers: count[int] = field(default_factory=lambda: count(1))

    def __post_init__(self) -> None:
        """Create the engines, their agents and the placements of the entries."""
        self.rng = random.Random(self.seed)
        self.choices = random.Random(self.seed)
        self.agents = tuple(
            Agent(ModelledEngine(self.engine), self.candidate(number))
            for number in range(self.engines)
        )
        self.placements = {
            Endpoint(f'10.1.0.{number + 1}', 7700): Placement(
                random.Random(number), costs=RequestCosts(self.policy.entries_know_costs)
            )
            for number in range(self.entries)
        }

    def candidate(self, number: int) -> Candidate:
        """Return one of the engines as a candidate."""
        endpoint = Endpoint(f'10.0.0.{number + 1}', 80)
        replica = Replica(f'm-{number}', 'drafts', endpoint, 'd', self.engine.slots)
        return Candidate(replica, in_own_region=True)

    def call_later(self, after_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        scheduled = ScheduledAction(self.now + after_s, next(self.numbers), action)
        heapq.heappush(self.events, scheduled)

    def simulate(self) -> CostSimulation:
        """Run the simulation until all requests have begun or its time is over."""
        for agent in self.agents:
            self.call_later(
                self.choices.uniform(0, REPORT_POLL_INTERVAL_S), partial(self.poll, agent)
            )
        self.call_later(0, self.arrive)
        while self.now < self.seconds:
            scheduled = heapq.heappop(self.events)
            self.now = scheduled.at
            scheduled.action()
        return self

    def poll(self, agent: Agent) -> None:
        """Let an agent read the report of its engine, and schedule the next read."""
        agent.read_report(self.now)
        self.call_later(
            REPORT_POLL_INTERVAL_S * self.choices.uniform(0.9, 1.1), partial(self.poll, agent)
        )

    def arrive(self) -> None:
        """Place a new request, and schedule the next one."""
        prompt, answer = draw_length(self.rng, *PROMPT), draw_length(self.rng, *self.answer)
        hint = max(1, round(answer * self.rng.lognormvariate(0, self.hint_spread)))
        request = SimulatedRequest(self.route, self.now, prompt, answer, 0, unread=prompt)
        self.requests.append(request)
        rate = self.load * self.engines * requests_begun_per_s(self.engine)
        self.call_later(self.rng.expovariate(rate), self.arrive)
        self.place(request, Generation('m', prompt, self.answer[2], hint))

    def place(self, request: SimulatedRequest, generation: Generation) -> None:
        """Place a request at one of the queried engines."""
        entry = self.choices.choice(tuple(self.placements))
        placement = self.placements[entry]
        output = placement.costs.output_tokens('draft', generation, self.engine, self.now)
        costs = (RequestCost(round(output)),) if output else ()
        queried = {next(self.numbers): agent for agent in self.choices.sample(self.agents, QUERIES)}
        for number, agent in queried.items():
            query = PlaceQuery(number, request.prompt, costs=costs)
            report = agent.reply(entry, query, self.now)
            if not self.policy.agents_report_work:
                report = LoadReport(report.running, report.waiting)
            load = placement.engine_load(agent.candidate.replica.key)
            load.apply_report(report, self.now)
        demand = PlacementRequest(self.route, 0, request.prompt, output_tokens=output)
        candidates = tuple(agent.candidate for agent in queried.values())
        result = placement.place_engine(self.engine, demand, candidates, self.entries, self.now)
        assert isinstance(result, Assignment)
        for number, agent in queried.items():
            if agent.candidate is result.candidate:
                self.send(request, generation, placement, agent, result)
            else:
                agent.release(entry, number)

    def send(
        self,
        request: SimulatedRequest,
        generation: Generation,
        placement: Placement,
        agent: Agent,
        assignment: Assignment,
    ) -> None:
        """Send a request to its engine."""
        load = placement.engine_load(agent.candidate.replica.key)
        load.record_sent(request.prompt, self.now)

        def progress() -> None:
            if request.written >= request.answer:
                load.record_ended(self.now)
                placement.costs.record_output(
                    'draft', generation, self.engine, request.answer, self.now
                )
            elif request.began_at is not None:
                took_s = request.began_at - request.first
                load.record_first_event(assignment.expected_s, took_s, self.now)
                self.prediction_errors_s.append(abs(took_s - assignment.expected_s))

        request.on_progress = progress
        agent.model.waiting.append(request)
        if not agent.model.busy:
            agent.model.busy = True
            agent.model.steps_left = 0
            self.step(agent.model)

    def step(self, model: ModelledEngine) -> None:
        """Begin one step of an engine and schedule its end."""
        self.call_later(model.step(), partial(self.end_step, model))

    def end_step(self, model: ModelledEngine) -> None:
        """End a step of an engine and begin the next one."""
        model.end_step(self.now)
        model.busy = bool(model.running or model.waiting)
        if model.busy:
            self.step(model)

    @property
    def first_event_times_s(self) -> list[float]:
        """The times to the first event; requests that have not begun count up to now."""
        counted = [request for request in self.requests if request.first >= WARM_UP_S]
        return [(request.began_at or self.now) - request.first for request in counted]

    @property
    def mean_s(self) -> float:
        """The mean time to the first event in seconds."""
        return fmean(self.first_event_times_s)

    @property
    def slowest_tenth_s(self) -> float:
        """The time to the first event that nine tenths of the requests do not exceed."""
        return quantiles(self.first_event_times_s, n=10)[-1]


__all__ = (
    'BY_COST',
    'BY_COUNT',
    'OLD_AGENTS',
    'CostPolicy',
    'CostSimulation',
)
