"""Simulates entries and replicas in virtual time, with the real router, limits and queue."""

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
from cassiahitch.bench.routing_policies import ROUTER_POLICY, make_chooser
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
#: Offered load before a burst, as a share of the capacity.
WARM_UP_LOAD = 0.5
#: Duration of the warm-up before a burst, and of the burst, in seconds.
WARM_UP_S = 15.0
BURST_S = 60.0
#: Seconds after a burst in which its requests may still finish.
TAIL_S = 12.0
#: Seconds between load reports, and the delay of load reports and cache events.
REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 1.0
#: Share of the cache events that are lost.
CACHE_EVENT_LOSS = 0.02
#: Seconds between updates of the limit on requests in flight.
LIMIT_UPDATE_INTERVAL_S = 0.25
#: Seconds without a response after which an attempt fails; the request may then be retried.
ATTEMPT_TIMEOUT_S = 6.0
#: Limits of the queue of each entry.
QUEUE_LIMITS = QueueLimits(total=60, per_organisation=20)


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt of a request at a replica; it ends once, by a response or by a timeout."""

    arrival: Arrival
    host: str
    started_at: float
    ended: bool = False


class Entry:
    """An entry with the real queue, limits and retries, and a replaceable routing policy."""

    def __init__(self, simulation: RoutingSimulation, index: int, policy: str) -> None:
        """Create an entry.

        :param simulation: the simulation that the entry is part of.
        :param index: index of the entry.
        :param policy: name of the policy that chooses replicas.
        """
        self.simulation = simulation
        self.index = index
        self.router = Router(REGION, f'd{index % FAILURE_DOMAINS}', Random(simulation.seed + index))
        self.queue = FairQueue(QUEUE_LIMITS)
        self.limit = ConcurrencyLimit()
        self.budget = RetryBudget()
        self.waiting: dict[str, Arrival] = {}
        self.attempts_by_host: defaultdict[str, list[Attempt]] = defaultdict(list)
        self.ends_unresponsive_attempts = policy == ROUTER_POLICY
        self.choose_replica = make_chooser(
            policy, index, self.router, tuple(simulation.replicas_by_host)
        )
        for organisation in ORGANISATIONS:
            self.queue.set_weight(organisation.name, organisation.weight)

    def receive_request(self, arrival: Arrival) -> None:
        """Queue a request of a caller, and dispatch or shed queued requests.

        :param arrival: the request.
        """
        request = QueuedRequest(
            str(arrival.number), arrival.organisation.name, arrival.priority, arrival.deadline
        )
        self.waiting[request.request_id] = arrival
        for verdict in self.queue.push(request, self.simulation.events.now):
            self.shed(verdict.request)
        self.dispatch_waiting()

    def update(self) -> None:
        """Update the limit on requests in flight, and shed requests that waited too long."""
        now = self.simulation.events.now
        self.limit.update(self.router.service_load(SERVICE, now), ENTRIES, now)
        for verdict in self.queue.expire(now):
            self.shed(verdict.request)
        if self.ends_unresponsive_attempts:
            self.end_unresponsive_attempts()
        self.dispatch_waiting()

    def end_unresponsive_attempts(self) -> None:
        """Time out the attempts at replicas that have become unresponsive."""
        for host in self.router.unresponsive_hosts():
            for attempt in self.attempts_by_host.pop(host, []):
                self.handle_timeout(attempt)

    def dispatch_waiting(self) -> None:
        """Dispatch waiting requests while the limit on requests in flight allows it."""
        while self.queue.length and self.limit.allows():
            for verdict in self.queue.pop(self.simulation.events.now):
                if isinstance(verdict, Admission):
                    arrival = self.waiting.pop(verdict.request.request_id)
                    self.dispatch(arrival, frozenset())
                else:
                    self.shed(verdict.request)

    def shed(self, request: QueuedRequest) -> None:
        """Shed a request that was not dispatched.

        :param request: the request.
        """
        arrival = self.waiting.pop(request.request_id)
        if self.simulation.is_measured(arrival):
            self.simulation.results.shed += 1

    def dispatch(self, arrival: Arrival, excluded: frozenset[str]) -> None:
        """Start an attempt of a request at a replica.

        :param arrival: the request.
        :param excluded: hosts that are left out because they had the previous attempt.
        """
        now = self.simulation.events.now
        host = self.choose_replica(RouteQuery(SERVICE, arrival.prefix, excluded), now)
        if host is None:
            self.simulation.count_failure(arrival)
            return
        arrival.attempts += 1
        self.simulation.results.attempts += self.simulation.is_measured(arrival)
        self.router.record_dispatch(host)
        self.limit.acquire()
        attempt = Attempt(arrival, host, now)
        self.attempts_by_host[host].append(attempt)
        self.simulation.replicas_by_host[host].enqueue(
            arrival, partial(self.handle_response, attempt)
        )
        self.simulation.events.schedule(
            now + ATTEMPT_TIMEOUT_S, partial(self.handle_timeout, attempt)
        )

    def handle_response(self, attempt: Attempt, slot_s: float, hit: bool) -> None:
        """Handle the response of a replica; a response after the timeout is ignored.

        :param attempt: the attempt.
        :param slot_s: slot time of the attempt in seconds.
        :param hit: whether the prefix was cached.
        """
        if attempt.ended:
            return
        self.end_attempt(attempt, Outcome.success)
        self.budget.record_success()
        self.queue.record_run_time(self.simulation.events.now - attempt.started_at)
        work_s = slot_s * self.simulation.replicas_by_host[attempt.host].speed
        self.simulation.count_response(attempt.arrival, work_s, hit=hit)
        self.dispatch_waiting()

    def handle_timeout(self, attempt: Attempt) -> None:
        """End an attempt without a response, and retry the request or give it up.

        :param attempt: the attempt.
        """
        if attempt.ended:
            return
        self.end_attempt(attempt, Outcome.timed_out)
        arrival = attempt.arrival
        failed_attempt = FailedAttempt(
            arrival.attempts, HasRun.unknown, idempotent=True, deadline=arrival.deadline
        )
        match self.budget.decide(failed_attempt, self.simulation.events.now):
            case Retry():
                self.dispatch(arrival, frozenset((attempt.host,)))
            case _:
                self.simulation.count_failure(arrival)
        self.dispatch_waiting()

    def end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt.

        :param attempt: the attempt.
        :param outcome: outcome of the attempt.
        """
        attempt.ended = True
        if attempt in self.attempts_by_host[attempt.host]:
            self.attempts_by_host[attempt.host].remove(attempt)
        now = self.simulation.events.now
        self.limit.release()
        self.router.record_outcome(attempt.host, outcome, now - attempt.started_at, now)


class RoutingSimulation:
    """Simulates one policy at one load."""

    def __init__(self, seed: int, replicas: int, policy: str, load: float) -> None:
        """Create the replicas, the entries and the load.

        :param seed: seed of all random numbers.
        :param replicas: number of replicas; one is slow and one becomes unresponsive.
        :param policy: name of the policy that chooses replicas.
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
        self.capacity_requests_per_s = capacity_per_s(healthy)
        self.results.capacity_s = sum(replica.speed for replica in healthy) * SLOTS * BURST_S
        self.load = load

    def run(self) -> RoutingResults:
        """Run the warm-up, the burst and its tail.

        :return: results of the requests of the burst.
        """
        for host in self.replicas_by_host:
            domain = f'd{int(host.removeprefix("host-")) % FAILURE_DOMAINS}'
            for entry in self.entries:
                entry.router.update_replica(Replica(host, 1, REGION, domain), 0)
        end = WARM_UP_S + BURST_S
        self.schedule_arrivals(WARM_UP_LOAD, 0, WARM_UP_S)
        self.schedule_arrivals(self.load, WARM_UP_S, end)
        self.events.schedule(WARM_UP_S, self.make_replica_unresponsive)
        self.schedule_reports()
        self.update()
        self.events.run_until(end + TAIL_S)
        return self.results

    def schedule_arrivals(self, load: float, start: float, end: float) -> None:
        """Schedule the arrivals of requests.

        :param load: offered load as a share of the capacity.
        :param start: start of the arrivals in seconds.
        :param end: end of the arrivals in seconds.
        """
        for arrival in generate_arrivals(
            self.random, load * self.capacity_requests_per_s, start, end
        ):
            if self.is_measured(arrival):
                self.results.offered[arrival.organisation.name] += 1
            entry = self.random.choice(self.entries)
            self.events.schedule(arrival.arrived_at, partial(entry.receive_request, arrival))

    def make_replica_unresponsive(self) -> None:
        """Make one replica unresponsive for the rest of the simulation."""
        self.replicas_by_host['host-2'].unresponsive = True

    def schedule_reports(self) -> None:
        """Schedule the delayed delivery of the load and cache events of all replicas."""
        due = self.events.now + REPORT_LAG_S
        for host, replica in self.replicas_by_host.items():
            report = LoadReport(replica.running, len(replica.queue), SLOTS, self.events.now)
            log = replica.drain_cache_log()
            if not replica.unresponsive:
                self.events.schedule(due, partial(self.deliver_report, host, report, log))
        self.events.schedule(self.events.now + REPORT_INTERVAL_S, self.schedule_reports)

    def deliver_report(self, host: str, report: LoadReport, log: list[CacheEvent]) -> None:
        """Deliver a load report to all entries, and the cache events that are not lost.

        :param host: host of the replica.
        :param report: load of the replica.
        :param log: cache events of the replica.
        """
        for entry in self.entries:
            entry.router.apply_report(host, report, self.events.now)
            for event in log:
                if self.random.random() >= CACHE_EVENT_LOSS:
                    entry.router.apply_cache_event(host, event)

    def update(self) -> None:
        """Update all entries and schedule the next update."""
        for entry in self.entries:
            entry.update()
        self.events.schedule(self.events.now + LIMIT_UPDATE_INTERVAL_S, self.update)

    def is_measured(self, arrival: Arrival) -> bool:
        """Return whether a request belongs to the burst, whose requests are measured.

        :param arrival: the request.
        :return: whether the request is measured.
        """
        return arrival.arrived_at >= WARM_UP_S

    def count_failure(self, arrival: Arrival) -> None:
        """Count a request that was given up or shed.

        :param arrival: the request.
        """
        if self.is_measured(arrival):
            self.results.unknown += arrival.attempts > 0
            self.results.shed += arrival.attempts == 0

    def count_response(self, arrival: Arrival, work_s: float, *, hit: bool) -> None:
        """Count the response to a request.

        :param arrival: the request.
        :param work_s: slot time of the request at full speed, in seconds.
        :param hit: whether the prefix was cached.
        """
        now = self.events.now
        if now > arrival.deadline:
            self.results.late += self.is_measured(arrival)
            return
        if WARM_UP_S <= now < WARM_UP_S + BURST_S:
            self.results.useful_s += work_s
        if not self.is_measured(arrival):
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
