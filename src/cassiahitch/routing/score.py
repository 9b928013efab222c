"""Score of a replica for a request: expected seconds until its answer."""

from __future__ import annotations

import math
from dataclasses import dataclass

from cassiahitch.routing.api import Distances, Replica
from cassiahitch.routing.replicas import ReplicaState

#: Service times after which a report says little of the requests of others that run now.
AGE_SERVICE_TIMES = 1.0
#: Part of the service time that a full batch adds to each of its requests.
BATCH_COST = 0.3


@dataclass(frozen=True, slots=True)
class Place:
    """Where an entry stands, and what it costs to leave that place."""

    region: str
    failure_domain: str
    distances: Distances = Distances()

    def distance_s(self, replica: Replica) -> float:
        """Return the cost of the distance to a replica.

        :param replica: the replica.
        :return: seconds.
        """
        if replica.region != self.region:
            return self.distances.region_s
        if replica.failure_domain != self.failure_domain:
            return self.distances.failure_domain_s
        return 0


def estimated_load(state: ReplicaState, now: float) -> float:
    """Return the requests at a replica: own ones exactly, those of others by age.

    What a report shows beyond the mean has mostly ended after a service time.

    :param state: what is known of the replica.
    :param now: seconds.
    :return: the estimated number of requests.
    """
    if state.report is None:
        return state.in_flight
    age_s = max(0, now - state.report.at)
    trust = math.exp(-age_s / (AGE_SERVICE_TIMES * state.service_s))
    return state.in_flight + state.mean_others + trust * (state.others - state.mean_others)


def wait_s(state: ReplicaState, load: float, share: float) -> float:
    """Return the expected seconds that a request waits for a slot.

    :param state: what is known of the replica.
    :param load: requests at the replica.
    :param share: part of its capacity that may be used, above 0 up to 1.
    :return: seconds.
    """
    capacity = state.capacity * share
    return state.service_s * max(0, load + 1 - capacity) / capacity


def run_s(state: ReplicaState, load: float, share: float) -> float:
    """Return the expected seconds that a request runs in a batch.

    :param state: what is known of the replica.
    :param load: requests at the replica.
    :param share: part of its capacity that may be used, above 0 up to 1.
    :return: seconds.
    """
    fill = min(1, load / (state.capacity * share))
    return state.service_s * (1 + BATCH_COST * fill)


__all__ = (
    'Place',
    'estimated_load',
    'run_s',
    'wait_s',
)
