"""Filter for the replicas among which a request is placed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.regionpolicy import region_policy
from cassiahitch.routing.ejection import OutlierEjection

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.placement.availability import ReplicaAvailability
    from cassiahitch.direct.placement.placement import Placement
    from cassiahitch.direct.state.catalogue import Service
    from cassiahitch.direct.state.replicas import Replica

#: Entries that are assumed to connect to a replica in addition to those in the member registry.
SPARE_ENTRIES = 2


@dataclass(slots=True)
class CandidateFilter:
    """Filters the replicas of a service by registration, availability and health.

    ``outliers`` holds the failure statistics of the replicas of each service.
    """

    entry_state: EntryState
    placement: Placement
    availability: ReplicaAvailability
    outliers: dict[str, OutlierEjection] = field(default_factory=dict)

    def service(self, call: Call) -> Service | None:
        """Return the service of a request.

        :param call: the request.
        :return: the service, or None if the configuration does not contain it.
        """
        catalogue = self.entry_state.catalogue
        return catalogue.services.get(call.service) if catalogue else None

    def connection_limit(self, call: Call) -> int:
        """Return the maximum number of connections of this entry to one replica.

        :param call: a request to the service of the replica.
        :return: an equal share of the connections that the replica accepts.
        """
        service = self.service(call)
        if service is None:
            return 1
        now = call.arrived_at
        return max(
            2, service.max_connections // (self.entry_state.live_entries(now) + SPARE_ENTRIES)
        )

    def ejection(self, replica: Replica) -> OutlierEjection:
        """Return the outlier ejection of the service of a replica.

        :param replica: the replica, which is added if it is new.
        :return: the outlier ejection.
        """
        outliers = self.outliers.setdefault(replica.service, OutlierEjection())
        if replica.key not in outliers.health:
            outliers.add(replica.key)
        return outliers

    def keep_only(self, keys: frozenset[str]) -> None:
        """Drop the state of replicas that are no longer registered.

        :param keys: keys of the registered replicas.
        """
        self.placement.keep_only(keys)
        for outliers in self.outliers.values():
            for removed in outliers.health.keys() - keys:
                outliers.remove(removed)

    def sendable_count(self, call: Call) -> int:
        """Return how many replicas of a service accept requests.

        :param call: a request to the service.
        :return: number of replicas that are neither draining, stopping nor paused.
        """
        now = asyncio.get_running_loop().time()
        registered = self.allowed(call)
        return sum(self.availability.may_send(replica.key, now) for replica in registered)

    def allowed(self, call: Call) -> tuple[Replica, ...]:
        """Return the replicas of a service to which the operator allows to send a request.

        :param call: a request to the service.
        :return: replicas in allowed regions that are neither draining nor evacuated, in any state
            of health.
        """
        replicas = self.in_allowed_regions(call)
        evacuations = self.entry_state.evacuations
        if not evacuations.evacuated_at:
            return replicas
        return tuple(
            replica for replica in replicas if not evacuations.is_evacuated(replica.failure_domain)
        )

    def in_allowed_regions(self, call: Call) -> tuple[Replica, ...]:
        """Return the replicas of a service that the regions of a request allow.

        :param call: a request to the service.
        :return: replicas that are not draining, in any state of health.
        """
        usable = self.entry_state.replicas.usable(call.service)
        policy = region_policy(call)
        if not policy.is_restricted:
            return usable
        return tuple(
            replica
            for replica in usable
            if policy.allows(self.entry_state.region_of(replica.failure_domain))
        )

    def is_excluded_by_region(self, call: Call) -> bool:
        """Return whether a service has replicas, but none in a region that the request allows.

        :param call: a request to the service.
        :return: whether no replica may serve it because of its region.
        """
        usable = self.entry_state.replicas.usable(call.service)
        return bool(usable) and not self.in_allowed_regions(call)

    def is_evacuated(self, call: Call) -> bool:
        """Return whether all replicas that a request may use are in evacuated failure domains.

        :param call: a request to the service.
        :return: whether the evacuation is why no replica may serve it.
        """
        return bool(self.in_allowed_regions(call)) and not self.allowed(call)

    def mean_objective_s(self, call: Call) -> float:
        """Return the mean objective of the routes of a service.

        :param call: a request to the service.
        :return: seconds, 0 if the configuration does not contain any.
        """
        catalogue = self.entry_state.catalogue
        return catalogue.mean_objectives_s.get(call.service, 0) if catalogue else 0

    def replicas(self, call: Call, now: float) -> tuple[Replica, ...]:
        """Return the replicas to which a request may be sent.

        Replicas that ramp up after a pause or an evacuation are included at random if there are
        others, and ejected ones only if there are none. A replica that the request avoids is
        included only if no other is left and the request may return to it.

        :param call: the request.
        :param now: current time in seconds.
        :return: the replicas.
        """
        accepting = [
            replica
            for replica in self.allowed(call)
            if self.availability.may_send(replica.key, now)
        ]
        usable = [replica for replica in accepting if replica.key not in call.avoided_replicas]
        if not usable and call.may_reuse_replica:
            usable = accepting
        healthy = tuple(replica for replica in usable if self.is_healthy(replica, now))
        held_back = self.held_back_domains(healthy, now)
        ramped_up = tuple(
            replica
            for replica in healthy
            if replica.failure_domain not in held_back
            and self.availability.passes_ramp_up(replica.key, now)
        )
        return ramped_up or healthy or tuple(usable)

    def held_back_domains(self, replicas: tuple[Replica, ...], now: float) -> frozenset[str]:
        """Return the failure domains that a request leaves out while they return to service.

        One draw counts for all replicas of a failure domain: with one for each of them, most
        requests would find some that are included.

        :param replicas: replicas to which requests may be sent.
        :param now: current time in seconds.
        :return: failure domains that were evacuated until recently, chosen at random.
        """
        evacuations = self.entry_state.evacuations
        if not evacuations.returned_at:
            return frozenset()
        return frozenset(
            domain
            for domain in sorted({replica.failure_domain for replica in replicas})
            if not evacuations.passes_ramp_up(domain, now, self.availability.rng)
        )

    def available_in_s(self, call: Call, now: float) -> float | None:
        """Return the time until the first paused replica accepts requests again.

        :param call: a request to the service.
        :param now: current time in seconds.
        :return: seconds, or None if no replica is paused or one accepts requests now.
        """
        registered = self.allowed(call)
        return (
            self.availability.available_in_s((replica.key for replica in registered), now) or None
        )

    def is_in_own_region(self, replica: Replica) -> bool:
        """Return whether a replica is in the region of this entry.

        :param replica: the replica.
        :return: whether its failure domain belongs to that region.
        """
        return self.entry_state.is_in_own_region(replica.failure_domain)

    def is_in_own_domain(self, replica: Replica) -> bool:
        """Return whether a replica is in the failure domain of this entry.

        :param replica: the replica.
        :return: whether it is.
        """
        return replica.failure_domain == self.entry_state.settings.failure_domain

    def is_healthy(self, replica: Replica, now: float) -> bool:
        """Return whether a replica is not ejected because of failures.

        :param replica: the replica.
        :param now: current time in seconds.
        :return: whether it may receive requests.
        """
        return self.ejection(replica).allows(replica.key, 0, now)


__all__ = ('CandidateFilter',)
