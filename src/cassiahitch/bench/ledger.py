"""Claims by group commit against one write for each claim, and tickets without the store.

Time is virtual: the decisions of the agents run against a table service that serves its
writes one after another at a fixed rate. A transaction counts as one write.
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

AGENTS = (3, 9, 48)
STORE_WRITES_PER_S = 300
#: Time from an agent to the store, one way, in seconds.
STORE_LATENCY_S = 0.0015
CLAIMS_PER_S = 1500
DURATION_S = 4.0
#: Time that a request runs at the backend server, in seconds.
RUN_S = 0.005
TICK_S = 0.02
DEADLINE_S = 5.0
HORIZON_S = 30.0
#: Time after the last arrival in which requests may still end, in seconds.
TAIL_S = 12.0
WALL = 1_800_000_000.0
TICKET_LIFETIME_S = 600
MAX_LATENCY_US = 60_000_000
US_PER_S = 1_000_000
MS_PER_S = 1000
PERCENTILES = (50, 95, 99)
BODY_DIGEST = hashlib.sha256(b'body').hexdigest()
ANSWER = Answer(b'number', hashlib.sha256(b'number').hexdigest())
GROUP = ClaimLimits()
SINGLE = ClaimLimits(batch_size=1, interval_s=0)


@dataclass(frozen=True, slots=True)
class Load:
    """A run of the simulation."""

    agents: int
    limits: ClaimLimits
    store_down: bool = False
    tickets: bool = False


@dataclass(order=True, slots=True)
class Event:
    """A step at a time."""

    when: float
    serial: int
    step: Callable[[], None] = field(compare=False)


class Simulation:
    """Agents, their backend servers and a table service in virtual time."""

    def __init__(self, seed: int, load: Load) -> None:
        """Create the agents.

        :param seed: draws arrivals and jitter.
        :param load: numbers of agents and kind of requests.
        """
        self.rng = random.Random(seed)
        self.load = load
        self.now: float = 0
        self.serial = 0
        self.events: list[Event] = []
        self.machines = [self.machine(index) for index in range(load.agents)]
        self.issuer = TicketIssuer((b'secret',), 1, TICKET_LIFETIME_S)
        self.store_free_at: float = 0
        self.commits = 0
        self.sent: dict[str, float] = {}
        self.claimed = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.claims_in_time = 0
        self.ends: Counter[str] = Counter()
        self.slowest_s: float = 0

    def machine(self, index: int) -> ClaimCoordinator:
        """Return a new agent.

        :param index: counts the agents; its incarnation is one more.
        :return: its claims and ledger.
        """
        rng = random.Random(self.rng.random())
        return ClaimCoordinator(f'host-{index}', Ledger(index + 1), rng, self.load.limits)

    def run(self) -> Simulation:
        """Let requests arrive for the duration and then end.

        :return: the simulation itself, with its counts.
        """
        for index in range(self.load.agents):
            self.at(self.rng.uniform(0, TICK_S), self.tick, index)
        arrival = self.rng.expovariate(CLAIMS_PER_S)
        while arrival < DURATION_S:
            self.at(arrival, self.arrive, self.rng.randrange(self.load.agents))
            arrival += self.rng.expovariate(CLAIMS_PER_S)
        while self.events:
            event = heapq.heappop(self.events)
            self.now = event.when
            event.step()
        return self

    def at(self, when: float, step: Callable[[int], None], index: int) -> None:
        """Plan a step of an agent.

        :param when: seconds.
        :param step: what to do.
        :param index: the agent.
        """
        self.plan(when, lambda: step(index))

    def plan(self, when: float, step: Callable[[], None]) -> None:
        """Plan a step.

        :param when: seconds.
        :param step: what to do.
        """
        self.serial += 1
        heapq.heappush(self.events, Event(when, self.serial, step))

    def tick(self, index: int) -> None:
        """Tell an agent that time passed.

        :param index: the agent.
        """
        self.give(index, Tick())
        if self.now < DURATION_S + TAIL_S:
            self.at(self.now + TICK_S, self.tick, index)

    def arrive(self, index: int) -> None:
        """Let a request arrive at an agent.

        :param index: the agent.
        """
        number = len(self.sent)
        name = f'request-{number}'
        self.sent[name] = self.now
        not_after = self.now + HORIZON_S
        if not self.load.tickets:
            key = row_key('tallowmere', 'sequence', name)
            stamp = (index + 1, not_after, self.now + DEADLINE_S, WALL + self.now)
            self.give(index, Claim(name, key, 'tallowmere', BODY_DIGEST, *stamp))
            return
        text = self.issuer.issue(f'host-{index}', index + 1, WALL + self.now)
        ticket = self.issuer.verify(text, WALL + self.now)
        self.give(index, Dispatch(text, name, BODY_DIGEST, ticket.agent_incarnation, not_after))

    def give(self, index: int, message: ClaimMessage) -> None:
        """Give an agent a message and carry out what follows.

        :param index: the agent.
        :param message: the message.
        """
        for action in self.machines[index].handle(message, self.now):
            self.perform(index, action)

    def perform(self, index: int, action: ClaimAction) -> None:
        """Carry out an action of an agent.

        :param index: the agent.
        :param action: the action.
        """
        match action:
            case Enqueue(key=key):
                self.note_claimed(key)
                self.plan(self.now, lambda: self.give(index, TryStart(key)))
            case Execute(key=key):
                self.plan(self.now + RUN_S, lambda: self.give(index, Finish(key, ANSWER)))
            case CommitBatch():
                self.commit(index, action)
            case RequestAnswered(request_id=request_id):
                self.end(request_id, 'answered')
            case RequestRefused(request_id=request_id, ran=ran):
                self.end(request_id, f'refused {ran.value}')

    def note_claimed(self, key: str) -> None:
        """Record how long a claim took until it could run.

        :param key: the claim, or a ticket.
        """
        sent_at = self.sent.get(key)
        if sent_at is not None:
            self.claimed.record_value(1 + round((self.now - sent_at) * US_PER_S))
            self.claims_in_time += self.now <= DURATION_S

    def end(self, request_id: str, end: str) -> None:
        """Count the end of a request.

        :param request_id: the request.
        :param end: how it ended.
        """
        self.ends[end] += 1
        self.slowest_s = max(self.slowest_s, self.now - self.sent[request_id])

    def commit(self, index: int, action: CommitBatch) -> None:
        """Let the table service serve a transaction after those before it.

        :param index: the agent.
        :param action: the transaction.
        """
        arrival = self.now + STORE_LATENCY_S
        if self.load.store_down:
            failed = BatchFailed(action.batch)
            self.plan(arrival + STORE_LATENCY_S, lambda: self.give(index, failed))
            return
        self.commits += 1
        self.store_free_at = max(arrival, self.store_free_at) + 1 / STORE_WRITES_PER_S
        committed = BatchCommitted(action.batch, (self.commits,) * len(action.writes))
        reply_at = self.store_free_at + STORE_LATENCY_S
        self.plan(reply_at, lambda: self.give(index, committed))

    def claims_per_write(self) -> float:
        """Return how many claims one write carried on average.

        :return: claims over all transactions, those that record outcomes included.
        """
        return float(self.claimed.get_total_count()) / max(1, self.commits)

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the time until a claim could run.

        :param percentile: between 0 and 100.
        :return: milliseconds.
        """
        return float(self.claimed.get_value_at_percentile(percentile)) * MS_PER_S / US_PER_S


def run(seed: int, sizes: tuple[int, ...]) -> BenchReport:
    """Measure claims with and without group commit, and requests while the store is down.

    :param seed: draws arrivals and jitter.
    :param sizes: numbers of agents.
    :return: the figures.
    """
    figures: list[Figure] = []
    lines: list[Series] = []
    for agents in sizes or AGENTS:
        group = Simulation(seed, Load(agents, GROUP)).run()
        single = Simulation(seed, Load(agents, SINGLE)).run()
        figures.extend(claim_figures(f'group commit, {agents} agents', group))
        figures.extend(claim_figures(f'one write a claim, {agents} agents', single))
        figures.extend(outage_figures(seed, agents))
        lines.extend(
            (latency_line(f'group, {agents}', group), latency_line(f'single, {agents}', single))
        )
    return BenchReport(
        'ledger',
        seed,
        tuple(sizes or AGENTS),
        tuple(figures),
        tuple(lines),
        ('percentile', 'added latency (ms)'),
    )


def claim_figures(name: str, done: Simulation) -> tuple[Figure, ...]:
    """Return the figures of a run with claims.

    :param name: what was run.
    :param done: the run.
    :return: the figures.
    """
    latencies = tuple(
        Figure(f'{name}: added latency p{percentile}', done.latency_ms(percentile), 'ms')
        for percentile in PERCENTILES
    )
    return (
        Figure(f'{name}: claims a store write', done.claims_per_write(), 'claims'),
        Figure(f'{name}: claims a second', done.claims_in_time / DURATION_S, '1/s'),
        Figure(f'{name}: refused, ran no', done.ends['refused no'], 'requests'),
        *latencies,
    )


def outage_figures(seed: int, agents: int) -> tuple[Figure, ...]:
    """Return the figures of runs while the store is down.

    :param seed: draws arrivals and jitter.
    :param agents: number of agents.
    :return: the figures.
    """
    tickets = Simulation(seed, Load(agents, GROUP, store_down=True, tickets=True)).run()
    claims = Simulation(seed, Load(agents, GROUP, store_down=True)).run()
    failed = len(tickets.sent) - tickets.ends['answered']
    guessed = len(claims.sent) - claims.ends[f'refused {HasRun.no.value}']
    name = f'store down, {agents} agents'
    return (
        Figure(f'{name}: tickets answered', tickets.ends['answered'], 'requests'),
        Figure(f'{name}: tickets failed', failed, 'requests', Bound.at_most, 0),
        Figure(f'{name}: claims not told ran no', guessed, 'requests', Bound.at_most, 0),
        Figure(f'{name}: slowest refusal', claims.slowest_s, 's', Bound.at_most, DEADLINE_S),
    )


def latency_line(name: str, done: Simulation) -> Series:
    """Return the added latency over the percentiles.

    :param name: what was run.
    :param done: the run.
    :return: a line to plot.
    """
    points = tuple((float(rank), done.latency_ms(rank)) for rank in range(1, 100))
    return Series(name, points)


__all__ = ('run',)
