"""The replicas among which a request is placed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.routing.ejection import OutlierEjection

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.placement.availability import ReplicaAvailability
    from cassiahitch.direct.placement.placement import Placement
    from cassiahitch.direct.state.catalogue import Service
    from cassiahitch.direct.state.replicas import Replica

#: Entries beside the known ones that may have connections to a replica.
SPARE_ENTRIES = 2


@dataclass(slots=True)
class CandidateFilter:
    """Filters the replicas of a service by what is known of them."""

    entry_state: EntryState
    placement: Placement
    availability: ReplicaAvailability
    outliers: dict[str, OutlierEjection] = field(default_factory=dict)

    def service(self, call: Call) -> Service | None:
        """Return the service of a request.

        :param call: the request.
        :return: the service, if the configuration has it.
        """
        catalogue = self.entry_state.catalogue
        return catalogue.services.get(call.service) if catalogue else None

    def connection_limit(self, call: Call) -> int:
        """Return how many connections to one replica this entry may have.

        :param call: a request for it.
        :return: connections, an equal part of those that the replica takes.
        """
        service = self.service(call)
        if service is None:
            return 1
        now = call.arrived_at
        return max(
            2, service.max_connections // (self.entry_state.live_entries(now) + SPARE_ENTRIES)
        )

    def ejection(self, replica: Replica) -> OutlierEjection:
        """Return the failures of the replicas of a service.

        :param replica: one of them, which is counted from now on.
        :return: the failures.
        """
        outliers = self.outliers.setdefault(replica.service, OutlierEjection())
        if replica.key not in outliers.health:
            outliers.add(replica.key)
        return outliers

    def keep_only(self, keys: frozenset[str]) -> None:
        """Forget replicas that are gone.

        :param keys: names of the incarnations that are known.
        """
        self.placement.keep_only(keys)
        for outliers in self.outliers.values():
            for gone in outliers.health.keys() - keys:
                outliers.remove(gone)

    def sendable_count(self, call: Call) -> int:
        """Return how many replicas the service of a request has.

        :param call: the request.
        :return: replicas that may get requests.
        """
        now = asyncio.get_running_loop().time()
        known = self.entry_state.replicas.usable(call.service)
        return sum(self.availability.may_send(replica.key, now) for replica in known)

    def mean_objective_s(self, call: Call) -> float:
        """Return the mean objective of the routes of a service.

        :param call: a request for the service.
        :return: seconds, 0 if the configuration does not have it.
        """
        catalogue = self.entry_state.catalogue
        return catalogue.objectives_s.get(call.service, 0) if catalogue else 0

    def replicas(self, call: Call, now: float) -> tuple[Replica, ...]:
        """Return the replicas to which a request may be sent.

        :param call: the request.
        :param now: seconds.
        :return: replicas; ejected ones only if there is no other.
        """
        known = [
            replica
            for replica in self.entry_state.replicas.usable(call.service)
            if self.availability.may_send(replica.key, now)
        ]
        usable = [replica for replica in known if replica.key not in call.avoided_replicas]
        if not usable and call.may_reuse_replica:
            usable = known
        sound = tuple(replica for replica in usable if self.is_healthy(replica, now))
        invited = tuple(
            replica for replica in sound if self.availability.passes_ramp_up(replica.key, now)
        )
        return invited or sound or tuple(usable)

    def available_in_s(self, call: Call, now: float) -> float | None:
        """Return after which time the first replica that pauses takes requests again.

        :param call: a request for the service.
        :param now: seconds.
        :return: seconds, nothing if none pauses or one does not.
        """
        known = self.entry_state.replicas.usable(call.service)
        return self.availability.available_in_s((replica.key for replica in known), now) or None

    def is_in_own_region(self, replica: Replica) -> bool:
        """Tell whether a replica is in the own region.

        :param replica: the replica.
        :return: whether it is.
        """
        return self.entry_state.is_in_own_region(replica.failure_domain)

    def is_healthy(self, replica: Replica, now: float) -> bool:
        """Tell whether a replica is not ejected for its failures.

        :param replica: the replica.
        :param now: seconds.
        :return: whether it may get requests.
        """
        return self.ejection(replica).allows(replica.key, 0, now)


__all__ = ('CandidateFilter',)
