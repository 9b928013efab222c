"""Replica selection by the power of two choices, with load bounds and outlier ejection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.routing import score
from cassiahitch.routing.api import (
    Choice,
    LocalityPenalties,
    NoReplica,
    Outcome,
    RouteQuery,
    ServiceLoad,
)
from cassiahitch.routing.ejection import OutlierEjection
from cassiahitch.routing.pools import Pools
from cassiahitch.routing.prefixes import PrefixIndex
from cassiahitch.routing.replicas import ReplicaState
from cassiahitch.routing.slowstart import SlowStart

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from cassiahitch.engine.api import CacheEvent
    from cassiahitch.routing.api import LoadReport, Replica
    from cassiahitch.routing.pools import Pool

#: Random candidates that are compared for a request.
CANDIDATES = 2
#: Maximum number of random draws per pool; without a candidate, all replicas are compared.
MAX_DRAWS = 8
#: Maximum own requests in flight at a replica, as a multiple of its share of all of them.
EXCESS_FACTOR = 1.25
#: Own requests in flight that a replica may have in addition to that multiple.
EXCESS_ALLOWANCE = 1
#: Replicas with a cached prefix that are compared in addition to the random candidates.
PREFIX_HOLDERS = 2
#: Fraction of the service time that a cached prefix saves.
PREFIX_GAIN = 0.4
#: Seconds after which a caller may retry when no replica was available.
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class ScoredCandidate:
    """A candidate replica with its expected response time, of which ``wait_s`` is queueing."""

    host: str
    seconds: float
    wait_s: float
    prefix_hit: bool


class Router:
    """Selects replicas for the requests of one entry."""

    def __init__(
        self,
        region: str,
        failure_domain: str,
        random: Random,
        penalties: LocalityPenalties | None = None,
    ) -> None:
        """Create a router without replicas.

        :param region: region of the entry.
        :param failure_domain: failure domain of the entry.
        :param random: the random number generator.
        :param penalties: score penalties for other failure domains and regions.
        """
        self.locality = score.Locality(region, failure_domain, penalties or LocalityPenalties())
        self.random = random
        self.states: dict[str, ReplicaState] = {}
        self.pools = Pools(region)
        self.ejection = OutlierEjection()
        self.slow_start = SlowStart()
        self.prefixes = PrefixIndex()
        self.in_flight = 0
        self.capacity = 0
        self.now: float = 0

    def update_replica(self, replica: Replica, now: float) -> None:
        """Add or update a replica; a new incarnation starts with a clean state.

        :param replica: the replica.
        :param now: seconds.
        """
        state = self.states.get(replica.host)
        if state is None or state.replica.incarnation != replica.incarnation:
            self.remove_replica(replica.host)
            state = ReplicaState(replica, added_at=now, reported_at=now)
            self.states[replica.host] = state
            self.capacity += state.capacity
            self.ejection.add(replica.host)
        state.replica = replica
        self.pools.remove(replica.host)
        self.pools.add(replica.host, replica.region, replica.services)

    def remove_replica(self, host: str) -> None:
        """Remove a replica, so that it receives no further requests.

        :param host: the replica.
        """
        state = self.states.pop(host, None)
        if state is None:
            return
        self.in_flight -= state.in_flight
        self.capacity -= state.capacity
        self.pools.remove(host)
        self.ejection.remove(host)
        self.slow_start.remove_replica(host)
        self.prefixes.remove_replica(host)

    def apply_report(self, host: str, report: LoadReport, now: float) -> None:
        """Apply a load report.

        :param host: the replica that sent it.
        :param report: the report.
        :param now: seconds.
        """
        state = self.states.get(host)
        if state is None:
            return
        capacity = state.capacity
        self.ejection.record_report(host)
        if not state.apply_report(report, now):
            return
        self.capacity += state.capacity - capacity
        version = (state.replica.incarnation, report.load_epoch, report.digest)
        self.slow_start.record_version(host, version, now)

    def apply_cache_event(self, host: str, event: CacheEvent) -> None:
        """Apply a cache event of a replica.

        :param host: the replica.
        :param event: the event.
        """
        if host in self.states:
            self.prefixes.apply_event(host, event)

    def record_dispatch(self, host: str) -> None:
        """Count a request that was sent to a replica.

        :param host: the replica.
        """
        state = self.states.get(host)
        if state is not None:
            state.change_in_flight(1, self.now)
            self.in_flight += 1

    def record_outcome(self, host: str, outcome: Outcome, latency_s: float, now: float) -> None:
        """Record the result of a dispatched request.

        :param host: the replica that ran it.
        :param outcome: the result.
        :param latency_s: seconds since its dispatch.
        :param now: seconds.
        """
        state = self.states.get(host)
        if state is None:
            return
        self.now = max(self.now, now)
        if outcome is Outcome.success:
            load = score.estimated_load(state, now)
            state.record_latency(latency_s, load)
        self.in_flight -= min(1, state.in_flight)
        state.change_in_flight(-1, now)
        self.ejection.record_outcome(host, outcome, now)

    def choose(self, query: RouteQuery, now: float) -> Choice | NoReplica:
        """Select a replica for a request.

        Replicas of other regions are considered only if the wait in the own region is longer than
        the penalty for another region.

        :param query: the request.
        :param now: seconds.
        :return: the choice, or when to retry.
        """
        self.now = max(self.now, now)
        if query.only_host:
            return self.choose_pinned(query, now)
        best = self.best_candidate(query, now, local=True)
        if best is None or best.wait_s > self.locality.penalties.region_s:
            best = faster_candidate(best, self.best_candidate(query, now, local=False))
        if best is None:
            return NoReplica(RETRY_AFTER_S)
        incarnation = self.states[best.host].replica.incarnation
        return Choice(best.host, incarnation, best.seconds, best.prefix_hit)

    def choose_pinned(self, query: RouteQuery, now: float) -> Choice | NoReplica:
        """Select the only replica that a request may use, even if it is ejected.

        :param query: the request.
        :param now: seconds.
        :return: the choice, or when to retry.
        """
        state = self.states.get(query.only_host)
        if state is None:
            return NoReplica(RETRY_AFTER_S)
        candidate = self.score_candidate(query.only_host, (), now)
        return Choice(query.only_host, state.replica.incarnation, candidate.seconds)

    def service_load(self, service: str, now: float) -> ServiceLoad:
        """Return the total load of the replicas that may receive requests for a service.

        :param service: the service.
        :param now: seconds.
        :return: their slots and requests, and the mean time of their reports.
        """
        query = RouteQuery(service)
        pools = self.pools.find(service, local=True) + self.pools.find(service, local=False)
        hosts = self.eligible_hosts(pools, query, now)
        reports = [report for host in hosts if (report := self.states[host].report)]
        return ServiceLoad(
            capacity=sum(report.capacity for report in reports),
            requests=sum(report.running + report.queued for report in reports),
            measured_at=sum(report.measured_at for report in reports) / max(1, len(reports)),
        )

    def unresponsive_hosts(self) -> frozenset[str]:
        """Return the replicas that stopped reporting, whose requests in flight are to be ended.

        :return: hosts.
        """
        return self.ejection.unresponsive_hosts()

    def best_candidate(
        self, query: RouteQuery, now: float, *, local: bool
    ) -> ScoredCandidate | None:
        """Return the best candidate of the own region, or of all other regions.

        :param query: the request.
        :param now: seconds.
        :param local: whether to use the own region.
        :return: the candidate with the lowest score, if any replica is available.
        """
        pools = self.pools.find(query.service, local=local)
        hosts: set[str] = set()
        for pool in pools:
            hosts.update(self.draw_candidates(pool, query, now))
        cached = self.prefixes.match(query.prefix)
        hosts.update(self.prefix_holders(cached, query, now, pools))
        candidates = [host for host in sorted(hosts) if self.within_bound(host, now)]
        if not candidates:
            candidates = self.eligible_hosts(pools, query, now)
        scored = [self.score_candidate(host, cached, now) for host in candidates]
        return min(scored, key=lambda candidate: candidate.seconds, default=None)

    def draw_candidates(self, pool: Pool, query: RouteQuery, now: float) -> list[str]:
        """Draw random candidates.

        :param pool: the pool to draw from.
        :param query: the request.
        :param now: seconds.
        :return: up to CANDIDATES different hosts.
        """
        drawn: list[str] = []
        for _ in range(MAX_DRAWS):
            host = pool.sample(self.random)
            fits = self.is_eligible(host, query, now) and self.within_bound(host, now)
            if fits and host not in drawn:
                drawn.append(host)
            if len(drawn) == CANDIDATES:
                break
        return drawn

    def prefix_holders(
        self,
        cached: tuple[str, ...],
        query: RouteQuery,
        now: float,
        pools: tuple[Pool, ...],
    ) -> Iterable[str]:
        """Return replicas that have the longest cached prefix of a request.

        :param cached: cached prefixes of the request, longest first.
        :param query: the request.
        :param now: seconds.
        :param pools: pools to which the replicas must belong.
        :return: up to PREFIX_HOLDERS hosts.
        """
        if not cached:
            return ()
        hosts = [
            host
            for host in self.prefixes.holders[cached[0]]
            if any(host in pool.positions for pool in pools) and self.is_eligible(host, query, now)
        ]
        return self.random.sample(hosts, min(len(hosts), PREFIX_HOLDERS))

    def eligible_hosts(self, pools: tuple[Pool, ...], query: RouteQuery, now: float) -> list[str]:
        """Return all replicas of pools that may receive a request, regardless of the load bound.

        :param pools: the pools.
        :param query: the request.
        :param now: seconds.
        :return: hosts.
        """
        return [host for pool in pools for host in pool.hosts if self.is_eligible(host, query, now)]

    def is_eligible(self, host: str, query: RouteQuery, now: float) -> bool:
        """Return whether a replica may receive a request, regardless of the load bound.

        :param host: the replica.
        :param query: the request.
        :param now: seconds.
        :return: whether it is neither excluded nor ejected, and has the required digest loaded.
        """
        if host in query.excluded:
            return False
        state = self.states[host]
        if query.digest and (state.report is None or state.report.digest != query.digest):
            return False
        return self.ejection.allows(host, state.missed_reports(now), now)

    def within_bound(self, host: str, now: float) -> bool:
        """Return whether a replica may have one more own request in flight.

        :param host: the replica.
        :param now: seconds.
        :return: whether it stays within its share of all own requests, plus the allowed excess.
        """
        state = self.states[host]
        usable = state.capacity * self.slow_start.usable_share(host, now)
        share = (self.in_flight + 1) * usable / max(1, self.capacity)
        return state.in_flight + 1 <= EXCESS_FACTOR * share + EXCESS_ALLOWANCE

    def score_candidate(self, host: str, cached: tuple[str, ...], now: float) -> ScoredCandidate:
        """Score a replica for a request.

        :param host: the replica.
        :param cached: cached prefixes of the request, longest first.
        :param now: seconds.
        :return: the candidate.
        """
        state = self.states[host]
        load = score.estimated_load(state, now)
        usable_share = self.slow_start.usable_share(host, now)
        wait = score.wait_s(state, load, usable_share)
        confidence = max((self.prefixes.confidence(host, prefix) for prefix in cached), default=0)
        gain = PREFIX_GAIN * state.service_s * confidence
        penalty = self.locality.penalty_s(state.replica)
        seconds = wait + score.run_s(state, load, usable_share) + penalty - gain
        return ScoredCandidate(host, seconds, wait, prefix_hit=confidence > 0)


def faster_candidate(
    first: ScoredCandidate | None, second: ScoredCandidate | None
) -> ScoredCandidate | None:
    """Return the candidate with the shorter expected response time.

    :param first: a candidate, preferred if both are equal.
    :param second: another candidate.
    :return: the faster one, if there is any.
    """
    if first is None or second is None:
        return first or second
    if second.seconds < first.seconds:
        return second
    return first


__all__ = ('Router',)
