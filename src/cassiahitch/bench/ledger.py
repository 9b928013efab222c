"""Benchmark of the ledger: group commit against single writes, and tickets during an outage.

Time is virtual: the real claim coordinators of the agents run against a simulated table service
that processes its writes one after another at a fixed rate. A transaction counts as one write.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from cassiahitch.bench.api import BenchReport, Bound, Figure, Series
from cassiahitch.codes import HasRun
from cassiahitch.ledger.api import (
    Answer,
    Dispatch,
    Enqueue,
    Execute,
    Finish,
    RequestAnswered,
    RequestRefused,
    TryStart,
)
from cassiahitch.ledger.claim_api import (
    BatchCommitted,
    BatchFailed,
    Claim,
    ClaimLimits,
    CommitBatch,
    Tick,
)
from cassiahitch.ledger.claims import ClaimCoordinator
from cassiahitch.ledger.ledger import Ledger
from cassiahitch.ledger.rows import row_key
from cassiahitch.ledger.tickets import TicketIssuer

if TYPE_CHECKING:
    from collections.abc import Callable

    from cassiahitch.ledger.claim_api import ClaimAction, ClaimMessage

AGENT_COUNTS = (3, 9, 48)
STORE_WRITES_PER_S = 300
#: One-way latency from an agent to the store, in seconds.
STORE_LATENCY_S = 0.0015
CLAIMS_PER_S = 1500
DURATION_S = 4.0
#: Run time of a request at the backend server, in seconds.
RUN_TIME_S = 0.005
TICK_S = 0.02
DEADLINE_S = 5.0
NOT_AFTER_S = 30.0
#: Seconds after the last arrival in which requests may still finish.
DRAIN_PERIOD_S = 12.0
WALL_CLOCK_START = 1_800_000_000.0
TICKET_LIFETIME_S = 600
MAX_LATENCY_US = 60_000_000
US_PER_S = 1_000_000
MS_PER_S = 1000
PERCENTILES = (50, 95, 99)
BODY_DIGEST = hashlib.sha256(b'body').hexdigest()
ANSWER = Answer(b'number', hashlib.sha256(b'number').hexdigest())
GROUP_COMMIT_LIMITS = ClaimLimits()
SINGLE_WRITE_LIMITS = ClaimLimits(batch_size=1, interval_s=0)


@dataclass(frozen=True, slots=True)
class SimulationLoad:
    """The parameters of a simulation."""

    agents: int
    limits: ClaimLimits
    store_down: bool = False
    tickets: bool = False


@dataclass(order=True, slots=True)
class Event:
    """A callback that is scheduled at a virtual time; events of one time run in serial order."""

    when: float
    serial: int
    step: Callable[[], None] = field(compare=False)


class Simulation:
    """Simulates agents, their backend servers and a table service in virtual time."""

    def __init__(self, seed: int, load: SimulationLoad) -> None:
        """Create the agents.

        :param seed: seed of the arrivals and of the jitter.
        :param load: number of agents and kind of requests.
        """
        self.rng = random.Random(seed)
        self.load = load
        self.now: float = 0
        self.serial = 0
        self.events: list[Event] = []
        self.coordinators = [self.create_coordinator(index) for index in range(load.agents)]
        self.issuer = TicketIssuer((b'secret',), 1, TICKET_LIFETIME_S)
        self.store_free_at: float = 0
        self.commits = 0
        self.sent_at_by_request: dict[str, float] = {}
        self.claim_latencies = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.claims_in_time = 0
        self.end_counts: Counter[str] = Counter()
        self.slowest_s: float = 0

    def create_coordinator(self, index: int) -> ClaimCoordinator:
        """Return the claim coordinator of a new agent.

        :param index: index of the agent; its incarnation is the index plus one.
        :return: the coordinator, with an empty ledger.
        """
        rng = random.Random(self.rng.random())
        return ClaimCoordinator(f'host-{index}', Ledger(index + 1), rng, self.load.limits)

    def run(self) -> Simulation:
        """Run until all requests that arrive within the duration have ended.

        :return: the simulation itself, with its results.
        """
        for index in range(self.load.agents):
            self.schedule_for_agent(self.rng.uniform(0, TICK_S), self.tick, index)
        arrival = self.rng.expovariate(CLAIMS_PER_S)
        while arrival < DURATION_S:
            self.schedule_for_agent(
                arrival, self.submit_request, self.rng.randrange(self.load.agents)
            )
            arrival += self.rng.expovariate(CLAIMS_PER_S)
        while self.events:
            event = heapq.heappop(self.events)
            self.now = event.when
            event.step()
        return self

    def schedule_for_agent(self, when: float, step: Callable[[int], None], index: int) -> None:
        """Schedule a step of an agent.

        :param when: virtual time in seconds.
        :param step: the step, which is called with the index of the agent.
        :param index: index of the agent.
        """
        self.schedule(when, lambda: step(index))

    def schedule(self, when: float, step: Callable[[], None]) -> None:
        """Schedule a step.

        :param when: virtual time in seconds.
        :param step: the step.
        """
        self.serial += 1
        heapq.heappush(self.events, Event(when, self.serial, step))

    def tick(self, index: int) -> None:
        """Send an agent a tick and schedule the next one.

        :param index: index of the agent.
        """
        self.deliver(index, Tick())
        if self.now < DURATION_S + DRAIN_PERIOD_S:
            self.schedule_for_agent(self.now + TICK_S, self.tick, index)

    def submit_request(self, index: int) -> None:
        """Submit a new request to an agent, by a claim or by a ticket.

        :param index: index of the agent.
        """
        number = len(self.sent_at_by_request)
        request_id = f'request-{number}'
        self.sent_at_by_request[request_id] = self.now
        not_after = self.now + NOT_AFTER_S
        if not self.load.tickets:
            key = row_key('tallowmere', 'sequence', request_id)
            times = (index + 1, not_after, self.now + DEADLINE_S, WALL_CLOCK_START + self.now)
            self.deliver(index, Claim(request_id, key, 'tallowmere', BODY_DIGEST, *times))
            return
        ticket_text = self.issuer.issue(f'host-{index}', index + 1, WALL_CLOCK_START + self.now)
        ticket = self.issuer.verify(ticket_text, WALL_CLOCK_START + self.now)
        self.deliver(
            index,
            Dispatch(ticket_text, request_id, BODY_DIGEST, ticket.agent_incarnation, not_after),
        )

    def deliver(self, index: int, message: ClaimMessage) -> None:
        """Deliver a message to an agent and perform the resulting actions.

        :param index: index of the agent.
        :param message: the message.
        """
        for action in self.coordinators[index].handle(message, self.now):
            self.perform(index, action)

    def perform(self, index: int, action: ClaimAction) -> None:
        """Perform an action of an agent.

        :param index: index of the agent.
        :param action: the action.
        """
        match action:
            case Enqueue(key=key):
                self.record_claim_latency(key)
                self.schedule(self.now, lambda: self.deliver(index, TryStart(key)))
            case Execute(key=key):
                self.schedule(
                    self.now + RUN_TIME_S, lambda: self.deliver(index, Finish(key, ANSWER))
                )
            case CommitBatch():
                self.commit(index, action)
            case RequestAnswered(request_id=request_id):
                self.record_end(request_id, 'answered')
            case RequestRefused(request_id=request_id, ran=ran):
                self.record_end(request_id, f'refused {ran.value}')

    def record_claim_latency(self, key: str) -> None:
        """Record the time from a request's arrival until it could run.

        :param key: key of the claim or ticket.
        """
        sent_at = self.sent_at_by_request.get(key)
        if sent_at is not None:
            self.claim_latencies.record_value(1 + round((self.now - sent_at) * US_PER_S))
            self.claims_in_time += self.now <= DURATION_S

    def record_end(self, request_id: str, outcome: str) -> None:
        """Record the end of a request.

        :param request_id: identifier of the request.
        :param outcome: how the request ended.
        """
        self.end_counts[outcome] += 1
        self.slowest_s = max(self.slowest_s, self.now - self.sent_at_by_request[request_id])

    def commit(self, index: int, action: CommitBatch) -> None:
        """Queue a transaction at the table service; it fails while the store is down.

        :param index: index of the agent.
        :param action: the transaction.
        """
        arrival = self.now + STORE_LATENCY_S
        if self.load.store_down:
            failed = BatchFailed(action.batch)
            self.schedule(arrival + STORE_LATENCY_S, lambda: self.deliver(index, failed))
            return
        self.commits += 1
        self.store_free_at = max(arrival, self.store_free_at) + 1 / STORE_WRITES_PER_S
        committed = BatchCommitted(action.batch, (self.commits,) * len(action.writes))
        reply_at = self.store_free_at + STORE_LATENCY_S
        self.schedule(reply_at, lambda: self.deliver(index, committed))

    def claims_per_write(self) -> float:
        """Return the mean number of claims per store write.

        :return: claims divided by all transactions, including those that record outcomes.
        """
        return float(self.claim_latencies.get_total_count()) / max(1, self.commits)

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the time until a request could run.

        :param percentile: between 0 and 100.
        :return: milliseconds.
        """
        return float(self.claim_latencies.get_value_at_percentile(percentile)) * MS_PER_S / US_PER_S


def run(seed: int, sizes: tuple[int, ...]) -> BenchReport:
    """Measure claims with and without group commit, and requests while the store is down.

    :param seed: seed of the arrivals and of the jitter.
    :param sizes: numbers of agents.
    :return: the figures.
    """
    figures: list[Figure] = []
    series: list[Series] = []
    for agents in sizes or AGENT_COUNTS:
        group = Simulation(seed, SimulationLoad(agents, GROUP_COMMIT_LIMITS)).run()
        single = Simulation(seed, SimulationLoad(agents, SINGLE_WRITE_LIMITS)).run()
        figures.extend(claim_figures(f'group commit, {agents} agents', group))
        figures.extend(claim_figures(f'one write a claim, {agents} agents', single))
        figures.extend(outage_figures(seed, agents))
        series.extend(
            (latency_series(f'group, {agents}', group), latency_series(f'single, {agents}', single))
        )
    return BenchReport(
        'ledger',
        seed,
        tuple(sizes or AGENT_COUNTS),
        tuple(figures),
        tuple(series),
        ('percentile', 'added latency (ms)'),
    )


def claim_figures(name: str, simulation: Simulation) -> tuple[Figure, ...]:
    """Return the figures of a simulation with claims.

    :param name: name of the simulation.
    :param simulation: the finished simulation.
    :return: the figures.
    """
    latencies = tuple(
        Figure(f'{name}: added latency p{percentile}', simulation.latency_ms(percentile), 'ms')
        for percentile in PERCENTILES
    )
    return (
        Figure(f'{name}: claims a store write', simulation.claims_per_write(), 'claims'),
        Figure(f'{name}: claims a second', simulation.claims_in_time / DURATION_S, '1/s'),
        Figure(f'{name}: refused, ran no', simulation.end_counts['refused no'], 'requests'),
        *latencies,
    )


def outage_figures(seed: int, agents: int) -> tuple[Figure, ...]:
    """Return the figures of simulations in which the store is down.

    :param seed: seed of the arrivals and of the jitter.
    :param agents: number of agents.
    :return: the figures.
    """
    tickets = Simulation(
        seed, SimulationLoad(agents, GROUP_COMMIT_LIMITS, store_down=True, tickets=True)
    ).run()
    claims = Simulation(seed, SimulationLoad(agents, GROUP_COMMIT_LIMITS, store_down=True)).run()
    failed = len(tickets.sent_at_by_request) - tickets.end_counts['answered']
    not_refused_as_not_run = (
        len(claims.sent_at_by_request) - claims.end_counts[f'refused {HasRun.no.value}']
    )
    name = f'store down, {agents} agents'
    return (
        Figure(f'{name}: tickets answered', tickets.end_counts['answered'], 'requests'),
        Figure(f'{name}: tickets failed', failed, 'requests', Bound.at_most, 0),
        Figure(
            f'{name}: claims not told ran no', not_refused_as_not_run, 'requests', Bound.at_most, 0
        ),
        Figure(f'{name}: slowest refusal', claims.slowest_s, 's', Bound.at_most, DEADLINE_S),
    )


def latency_series(name: str, simulation: Simulation) -> Series:
    """Return the added latency over the percentiles.

    :param name: name of the simulation.
    :param simulation: the finished simulation.
    :return: the series to plot.
    """
    points = tuple((float(rank), simulation.latency_ms(rank)) for rank in range(1, 100))
    return Series(name, points)


__all__ = ('run',)
