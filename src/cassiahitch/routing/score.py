"""Score of a replica for a request: the expected seconds until its response."""

from __future__ import annotations

import math
from dataclasses import dataclass

from cassiahitch.routing.api import LocalityPenalties, Replica
from cassiahitch.routing.replicas import ReplicaState

#: Time constant, in service times, with which a report loses weight for the current load.
REPORT_DECAY_SERVICE_TIMES = 1.0
#: Fraction of the service time that a full batch adds to each of its requests.
BATCH_COST = 0.3


@dataclass(frozen=True, slots=True)
class Locality:
    """Region and failure domain of an entry, and the penalties for replicas outside of them."""

    region: str
    failure_domain: str
    penalties: LocalityPenalties = LocalityPenalties()

    def penalty_s(self, replica: Replica) -> float:
        """Return the penalty for the distance to a replica.

        :param replica: the replica.
        :return: seconds.
        """
        if replica.region != self.region:
            return self.penalties.region_s
        if replica.failure_domain != self.failure_domain:
            return self.penalties.failure_domain_s
        return 0


def estimated_load(state: ReplicaState, now: float) -> float:
    """Return the estimated number of requests at a replica.

    The requests of this entry are counted exactly. The reported number of requests of other entries
    decays to its mean with the age of the report, because most of the reported requests have ended
    after one service time.

    :param state: state of the replica.
    :param now: seconds.
    :return: the estimated number of requests.
    """
    if state.report is None:
        return state.in_flight
    age_s = max(0, now - state.report.measured_at)
    weight = math.exp(-age_s / (REPORT_DECAY_SERVICE_TIMES * state.service_s))
    return (
        state.in_flight
        + state.mean_other_requests
        + weight * (state.other_requests - state.mean_other_requests)
    )


def wait_s(state: ReplicaState, load: float, share: float) -> float:
    """Return the expected seconds that a request waits for a slot.

    :param state: state of the replica.
    :param load: estimated number of requests at the replica.
    :param share: fraction of its capacity that may be used, above 0 and up to 1.
    :return: seconds.
    """
    capacity = state.capacity * share
    return state.service_s * max(0, load + 1 - capacity) / capacity


def run_s(state: ReplicaState, load: float, share: float) -> float:
    """Return the expected seconds that a request runs in a batch.

    :param state: state of the replica.
    :param load: estimated number of requests at the replica.
    :param share: fraction of its capacity that may be used, above 0 and up to 1.
    :return: seconds.
    """
    fill = min(1, load / (state.capacity * share))
    return state.service_s * (1 + BATCH_COST * fill)


__all__ = (
    'Locality',
    'estimated_load',
    'run_s',
    'wait_s',
)
