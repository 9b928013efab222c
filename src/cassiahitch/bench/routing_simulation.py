"""Entries with the project's own decisions before replicas, in virtual time."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from cassiahitch.bench.load_model import (
    ORGANISATIONS,
    SLOTS,
    SLOW_SPEED,
    Arrival,
    EventQueue,
    SimulatedReplica,
    capacity_per_s,
    generate_arrivals,
)
from cassiahitch.bench.routing_policies import OWN, make_pick
from cassiahitch.bench.routing_results import RoutingResults
from cassiahitch.codes import HasRun
from cassiahitch.limits.api import Admission, QueuedRequest
from cassiahitch.limits.concurrency import ConcurrencyLimit
from cassiahitch.limits.fairqueue import FairQueue, QueueLimits
from cassiahitch.limits.retries import FailedAttempt, Retry, RetryBudget
from cassiahitch.routing.api import LoadReport, Outcome, Replica, RouteQuery
from cassiahitch.routing.router import Router

if TYPE_CHECKING:
    from cassiahitch.engine.api import CacheEvent

SERVICE = 'drafts'
REGION = 'lagos'
FAILURE_DOMAINS = 3
#: Entries, each with its own router, queue and retry budget.
ENTRIES = 9
#: Share of the capacity that is offered before a burst.
WARM_LOAD = 0.5
#: Seconds before a burst, and of a burst.
WARM_S = 15.0
BURST_S = 60.0
#: Seconds after a burst in which its requests may still end.
TAIL_S = 12.0
#: Seconds between load reports, and by which they and cache events are late.
REPORT_S = 0.5
LAG_S = 1.0
#: Share of the cache events that are lost.
CACHE_EVENT_LOSS = 0.02
#: Seconds between updates of the bound on requests in flight.
UPDATE_S = 0.25
#: Seconds after which a request without an answer is given up or sent again.
ATTEMPT_S = 6.0
#: Bounds of each entry's queue.
QUEUE = QueueLimits(total=60, per_organisation=20)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request; it ends once, by an answer or by its timeout."""

    arrival: Arrival
    host: str
    at: float
    ended: bool = False


class Entry:
    """An entry with the project's own decisions; the choice of a replica can be replaced."""

    def __init__(self, simulation: RoutingSimulation, index: int, policy: str) -> None:
        """Create an entry.

        :param simulation: what it is part of.
        :param index: its number.
        :param policy: how it chooses replicas.
        """
        self.simulation = simulation
        self.index = index
        self.router = Router(REGION, f'd{index % FAILURE_DOMAINS}', Random(simulation.seed + index))
        self.queue = FairQueue(QUEUE)
        self.limit = ConcurrencyLimit()
        self.budget = RetryBudget()
        self.waiting: dict[str, Arrival] = {}
        self.sent: defaultdict[str, list[Attempt]] = defaultdict(list)
        self.settles = policy == OWN
        self.pick = make_pick(policy, index, self.router, tuple(simulation.replicas_by_host))
        for organisation in ORGANISATIONS:
            self.queue.set_weight(organisation.name, organisation.weight)

    def arrive(self, arrival: Arrival) -> None:
        """Take a request of a caller in.

        :param arrival: the request.
        """
        request = QueuedRequest(
            str(arrival.number), arrival.organisation.name, arrival.priority, arrival.deadline
        )
        self.waiting[request.request_id] = arrival
        for verdict in self.queue.push(request, self.simulation.events.now):
            self.shed(verdict.request)
        self.pump()

    def update(self) -> None:
        """Adapt the bound on requests in flight, and shed what waited too long."""
        now = self.simulation.events.now
        self.limit.update(self.router.service_load(SERVICE, now), ENTRIES, now)
        for verdict in self.queue.expire(now):
            self.shed(verdict.request)
        if self.settles:
            self.settle_silent()
        self.pump()

    def settle_silent(self) -> None:
        """End the sends to replicas that went silent before their timeout."""
        for host in self.router.unresponsive_hosts():
            for sent in self.sent.pop(host, []):
                self.time_out(sent)

    def pump(self) -> None:
        """Dispatch waiting requests while the bound allows it."""
        while self.queue.length and self.limit.allows():
            for verdict in self.queue.pop(self.simulation.events.now):
                if isinstance(verdict, Admission):
                    arrival = self.waiting.pop(verdict.request.request_id)
                    self.dispatch(arrival, frozenset())
                else:
                    self.shed(verdict.request)

    def shed(self, request: QueuedRequest) -> None:
        """Answer a request that was not dispatched.

        :param request: the request.
        """
        arrival = self.waiting.pop(request.request_id)
        if self.simulation.counts(arrival):
            self.simulation.results.shed += 1

    def dispatch(self, arrival: Arrival, excluded: frozenset[str]) -> None:
        """Send a request to a replica.

        :param arrival: the request.
        :param excluded: replicas that had it before.
        """
        now = self.simulation.events.now
        host = self.pick(RouteQuery(SERVICE, arrival.prefix, excluded), now)
        if host is None:
            self.simulation.count_failure(arrival)
            return
        arrival.sends += 1
        self.simulation.results.sends += self.simulation.counts(arrival)
        self.router.record_dispatch(host)
        self.limit.acquire()
        sent = Attempt(arrival, host, now)
        self.sent[host].append(sent)
        self.simulation.replicas_by_host[host].send(arrival, partial(self.answer, sent))
        self.simulation.events.schedule(now + ATTEMPT_S, partial(self.time_out, sent))

    def answer(self, sent: Attempt, slot_s: float, hit: bool) -> None:
        """Take an answer of a replica in.

        :param sent: the send that it answers.
        :param slot_s: its slot time.
        :param hit: whether its prefix was cached.
        """
        if sent.ended:
            return
        self.end(sent, Outcome.success)
        self.budget.record_success()
        self.queue.record_run_time(self.simulation.events.now - sent.at)
        work_s = slot_s * self.simulation.replicas_by_host[sent.host].speed
        self.simulation.count_answer(sent.arrival, work_s, hit=hit)
        self.pump()

    def time_out(self, sent: Attempt) -> None:
        """Give a request without an answer up, or send it again.

        :param sent: the send.
        """
        if sent.ended:
            return
        self.end(sent, Outcome.timed_out)
        arrival = sent.arrival
        attempt = FailedAttempt(
            arrival.sends, HasRun.unknown, idempotent=True, deadline=arrival.deadline
        )
        match self.budget.decide(attempt, self.simulation.events.now):
            case Retry():
                self.dispatch(arrival, frozenset((sent.host,)))
            case _:
                self.simulation.count_failure(arrival)
        self.pump()

    def end(self, sent: Attempt, outcome: Outcome) -> None:
        """End a send.

        :param sent: the send.
        :param outcome: how it ended.
        """
        sent.ended = True
        if sent in self.sent[sent.host]:
            self.sent[sent.host].remove(sent)
        now = self.simulation.events.now
        self.limit.release()
        self.router.record_outcome(sent.host, outcome, now - sent.at, now)


class RoutingSimulation:
    """One run: a policy at a load."""

    def __init__(self, seed: int, replicas: int, policy: str, load: float) -> None:
        """Create the replicas, the entries and the load.

        :param seed: seed of all chance.
        :param replicas: number of replicas, one of them slow and one that goes silent.
        :param policy: how replicas are chosen.
        :param load: offered load as a share of the capacity.
        """
        self.seed = seed
        self.random = Random(seed)
        self.events = EventQueue()
        self.results = RoutingResults()
        hosts = [f'host-{index}' for index in range(replicas)]
        self.replicas_by_host = {host: SimulatedReplica(host, self.events) for host in hosts}
        self.replicas_by_host['host-1'].speed = SLOW_SPEED
        self.entries = [Entry(self, index, policy) for index in range(ENTRIES)]
        healthy = tuple(
            replica for host, replica in self.replicas_by_host.items() if host != 'host-2'
        )
        self.rate = capacity_per_s(healthy)
        self.results.capacity_s = sum(replica.speed for replica in healthy) * SLOTS * BURST_S
        self.load = load

    def run(self) -> RoutingResults:
        """Run the warm-up, the burst and its tail.

        :return: what became of the requests of the burst.
        """
        for host in self.replicas_by_host:
            domain = f'd{int(host.removeprefix("host-")) % FAILURE_DOMAINS}'
            for entry in self.entries:
                entry.router.update_replica(Replica(host, 1, REGION, domain), 0)
        end = WARM_S + BURST_S
        self.offer(WARM_LOAD, 0, WARM_S)
        self.offer(self.load, WARM_S, end)
        self.events.schedule(WARM_S, self.silence)
        self.report()
        self.update()
        self.events.run_until(end + TAIL_S)
        return self.results

    def offer(self, load: float, start: float, end: float) -> None:
        """Schedule the requests of callers.

        :param load: share of the capacity.
        :param start: seconds.
        :param end: seconds.
        """
        for arrival in generate_arrivals(self.random, load * self.rate, start, end):
            if self.counts(arrival):
                self.results.offered[arrival.organisation.name] += 1
            entry = self.random.choice(self.entries)
            self.events.schedule(arrival.arrived_at, partial(entry.arrive, arrival))

    def silence(self) -> None:
        """Silence one replica for good."""
        self.replicas_by_host['host-2'].silent = True

    def report(self) -> None:
        """Send the load and the cache events of all replicas, late."""
        due = self.events.now + LAG_S
        for host, replica in self.replicas_by_host.items():
            report = LoadReport(replica.running, len(replica.queue), SLOTS, self.events.now)
            log = replica.take_log()
            if not replica.silent:
                self.events.schedule(due, partial(self.deliver, host, report, log))
        self.events.schedule(self.events.now + REPORT_S, self.report)

    def deliver(self, host: str, report: LoadReport, log: list[CacheEvent]) -> None:
        """Hand a report to all entries, and its cache events but for lost ones.

        :param host: the replica.
        :param report: its load.
        :param log: its cache events.
        """
        for entry in self.entries:
            entry.router.apply_report(host, report, self.events.now)
            for event in log:
                if self.random.random() >= CACHE_EVENT_LOSS:
                    entry.router.apply_cache_event(host, event)

    def update(self) -> None:
        """Update all entries."""
        for entry in self.entries:
            entry.update()
        self.events.schedule(self.events.now + UPDATE_S, self.update)

    def counts(self, arrival: Arrival) -> bool:
        """Tell whether a request belongs to the burst.

        :param arrival: the request.
        :return: whether it does.
        """
        return arrival.arrived_at >= WARM_S

    def count_failure(self, arrival: Arrival) -> None:
        """Count a request that was given up.

        :param arrival: the request.
        """
        if self.counts(arrival):
            self.results.unknown += arrival.sends > 0
            self.results.shed += arrival.sends == 0

    def count_answer(self, arrival: Arrival, work_s: float, *, hit: bool) -> None:
        """Count an answer.

        :param arrival: the request.
        :param work_s: its slot time at full speed.
        :param hit: whether its prefix was cached.
        """
        now = self.events.now
        if now > arrival.deadline:
            self.results.late += self.counts(arrival)
            return
        if WARM_S <= now < WARM_S + BURST_S:
            self.results.useful_s += work_s
        if not self.counts(arrival):
            return
        self.results.successes += 1
        self.results.served[arrival.organisation.name] += 1
        self.results.hits += hit
        self.results.prefixed += bool(arrival.prefix)
        self.results.record_latency(now - arrival.arrived_at)


__all__ = (
    'Entry',
    'RoutingSimulation',
)
