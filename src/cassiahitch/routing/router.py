"""Chooses replicas: two random choices by score, with bounds and ejections."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.routing import score
from cassiahitch.routing.api import (
    Choice,
    Distances,
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

#: Random candidates compared for one request.
CANDIDATES = 2
#: Random draws before all replicas of a pool are looked at.
DRAWS = 8
#: Own requests that a replica may have beyond its share of all own requests, as a factor.
EXCESS = 1.25
#: Own requests that any replica may have whatever its share.
EXCESS_FLOOR = 1
#: Holders of a cached prefix that are compared besides the random candidates.
PREFIX_HOLDERS = 2
#: Part of the service time that a cached prefix saves.
PREFIX_GAIN = 0.4
#: Seconds after which a caller that found no replica may try again.
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Scored:
    """A candidate with its expected seconds."""

    host: str
    seconds: float
    wait_s: float
    prefix_hit: bool


class Router:
    """Chooses replicas for the requests of one entry."""

    def __init__(
        self,
        region: str,
        failure_domain: str,
        random: Random,
        distances: Distances | None = None,
    ) -> None:
        """Create a router without replicas.

        :param region: region of the entry.
        :param failure_domain: failure domain of the entry.
        :param random: the source of chance.
        :param distances: what it costs to leave them.
        """
        self.place = score.Place(region, failure_domain, distances or Distances())
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
        """Add a replica or take a change of it in; a new incarnation starts afresh.

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
        """Forget a replica that left or died; it gets no further request.

        :param host: the replica.
        """
        state = self.states.pop(host, None)
        if state is None:
            return
        self.in_flight -= state.in_flight
        self.capacity -= state.capacity
        self.pools.remove(host)
        self.ejection.remove(host)
        self.slow_start.forget(host)
        self.prefixes.forget(host)

    def report(self, host: str, report: LoadReport, now: float) -> None:
        """Take a load report in.

        :param host: the replica that sent it.
        :param report: its load.
        :param now: seconds.
        """
        state = self.states.get(host)
        if state is None:
            return
        capacity = state.capacity
        self.ejection.heard(host)
        if not state.accept(report, now):
            return
        self.capacity += state.capacity - capacity
        version = (state.replica.incarnation, report.load_epoch, report.digest)
        self.slow_start.observe(host, version, now)

    def cache_event(self, host: str, event: CacheEvent) -> None:
        """Take a cache event of a replica in.

        :param host: the replica.
        :param event: the event.
        """
        if host in self.states:
            self.prefixes.observe(host, event)

    def record_dispatch(self, host: str) -> None:
        """Count a request that was sent to a replica.

        :param host: the replica.
        """
        state = self.states.get(host)
        if state is not None:
            state.change(1, self.now)
            self.in_flight += 1

    def record_outcome(self, host: str, outcome: Outcome, latency_s: float, now: float) -> None:
        """Learn from the end of a dispatched request.

        :param host: the replica that had it.
        :param outcome: how it ended.
        :param latency_s: seconds since its dispatch.
        :param now: seconds.
        """
        state = self.states.get(host)
        if state is None:
            return
        self.now = max(self.now, now)
        if outcome is Outcome.success:
            load = score.estimated_load(state, now)
            state.learn_latency(latency_s, load)
        self.in_flight -= min(1, state.in_flight)
        state.change(-1, now)
        self.ejection.record_outcome(host, outcome, now)

    def choose(self, query: RouteQuery, now: float) -> Choice | NoReplica:
        """Choose a replica for a request.

        :param query: the request.
        :param now: seconds.
        :return: the choice, or when to try again.
        """
        self.now = max(self.now, now)
        if query.only_host:
            return self.choose_only(query, now)
        best = self.best_of(query, now, local=True)
        if best is None or best.wait_s > self.place.distances.region_s:
            best = cheaper(best, self.best_of(query, now, local=False))
        if best is None:
            return NoReplica(RETRY_AFTER_S)
        incarnation = self.states[best.host].replica.incarnation
        return Choice(best.host, incarnation, best.seconds, best.prefix_hit)

    def choose_only(self, query: RouteQuery, now: float) -> Choice | NoReplica:
        """Choose the only replica that a request may use, also when it is ejected.

        :param query: the request.
        :param now: seconds.
        :return: the choice, or when to try again.
        """
        state = self.states.get(query.only_host)
        if state is None:
            return NoReplica(RETRY_AFTER_S)
        scored = self.scored(query.only_host, (), now)
        return Choice(query.only_host, state.replica.incarnation, scored.seconds)

    def service_load(self, service: str, now: float) -> ServiceLoad:
        """Return the load of the replicas that may get requests of a service.

        :param service: the service.
        :param now: seconds.
        :return: slots and requests of all these replicas, and the mean moment of the reports.
        """
        query = RouteQuery(service)
        pools = self.pools.find(service, local=True) + self.pools.find(service, local=False)
        hosts = self.eligible(pools, query, now)
        reports = [report for host in hosts if (report := self.states[host].report)]
        return ServiceLoad(
            capacity=sum(report.capacity for report in reports),
            requests=sum(report.running + report.queued for report in reports),
            at=sum(report.at for report in reports) / max(1, len(reports)),
        )

    def unresponsive_hosts(self) -> frozenset[str]:
        """Return the replicas that stopped reporting; their requests are to be settled.

        :return: hosts.
        """
        return self.ejection.unresponsive_hosts()

    def best_of(self, query: RouteQuery, now: float, *, local: bool) -> Scored | None:
        """Return the best candidate of the own region or of all others.

        :param query: the request.
        :param now: seconds.
        :param local: whether the own region is meant.
        :return: a candidate, if any replica may take the request.
        """
        pools = self.pools.find(query.service, local=local)
        hosts: set[str] = set()
        for pool in pools:
            hosts.update(self.draw(pool, query, now))
        cached = self.prefixes.match(query.prefix)
        hosts.update(self.holders(cached, query, now, pools))
        candidates = [host for host in sorted(hosts) if self.within_bound(host, now)]
        if not candidates:
            candidates = self.eligible(pools, query, now)
        scored = [self.scored(host, cached, now) for host in candidates]
        return min(scored, key=lambda candidate: candidate.seconds, default=None)

    def draw(self, pool: Pool, query: RouteQuery, now: float) -> list[str]:
        """Draw random candidates.

        :param pool: where to draw from.
        :param query: the request.
        :param now: seconds.
        :return: up to CANDIDATES different hosts.
        """
        drawn: list[str] = []
        for _ in range(DRAWS):
            host = pool.sample(self.random)
            fits = self.is_eligible(host, query, now) and self.within_bound(host, now)
            if fits and host not in drawn:
                drawn.append(host)
            if len(drawn) == CANDIDATES:
                break
        return drawn

    def holders(
        self,
        cached: tuple[str, ...],
        query: RouteQuery,
        now: float,
        pools: tuple[Pool, ...],
    ) -> Iterable[str]:
        """Return replicas that hold the longest cached prefix of a request.

        :param cached: cached prefixes of the request, longest first.
        :param query: the request.
        :param now: seconds.
        :param pools: pools that the replicas must be in.
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

    def eligible(self, pools: tuple[Pool, ...], query: RouteQuery, now: float) -> list[str]:
        """Return all hosts of pools that may take a request, without the bound on excess.

        :param pools: the pools.
        :param query: the request.
        :param now: seconds.
        :return: hosts.
        """
        return [host for pool in pools for host in pool.hosts if self.is_eligible(host, query, now)]

    def is_eligible(self, host: str, query: RouteQuery, now: float) -> bool:
        """Tell whether a replica may take a request.

        :param host: the replica.
        :param query: the request.
        :param now: seconds.
        :return: whether it may.
        """
        if host in query.excluded:
            return False
        state = self.states[host]
        if query.digest and (state.report is None or state.report.digest != query.digest):
            return False
        return self.ejection.allows(host, state.missed_reports(now), now)

    def within_bound(self, host: str, now: float) -> bool:
        """Tell whether one more own request keeps a replica within the bound on excess.

        :param host: the replica.
        :param now: seconds.
        :return: whether it does.
        """
        state = self.states[host]
        usable = state.capacity * self.slow_start.share(host, now)
        share = (self.in_flight + 1) * usable / max(1, self.capacity)
        return state.in_flight + 1 <= EXCESS * share + EXCESS_FLOOR

    def scored(self, host: str, cached: tuple[str, ...], now: float) -> Scored:
        """Return a candidate with its expected seconds.

        :param host: the replica.
        :param cached: cached prefixes of the request, longest first.
        :param now: seconds.
        :return: the candidate.
        """
        state = self.states[host]
        load = score.estimated_load(state, now)
        share = self.slow_start.share(host, now)
        wait = score.wait_s(state, load, share)
        trust = max((self.prefixes.trust(host, prefix) for prefix in cached), default=0)
        gain = PREFIX_GAIN * state.service_s * trust
        distance = self.place.distance_s(state.replica)
        seconds = wait + score.run_s(state, load, share) + distance - gain
        return Scored(host, seconds, wait, prefix_hit=trust > 0)


def cheaper(first: Scored | None, second: Scored | None) -> Scored | None:
    """Return the candidate with fewer expected seconds.

    :param first: a candidate, preferred when equal.
    :param second: another one.
    :return: one of them, if there is any.
    """
    if first is None or second is None:
        return first or second
    if second.seconds < first.seconds:
        return second
    return first


__all__ = ('Router',)
