"""Failure domains that the operator evacuates, so that their replicas receive no requests.

Load pattern: the operator evacuates a failure domain while all entries send to its replicas, and
ends the evacuation while the other failure domains serve everything. If all entries then sent an
equal share there at once, the replicas would get their full load within milliseconds, with empty
caches and perhaps cold. Therefore they receive an increasing share after their return.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

#: Seconds after an evacuation within which the replicas receive an increasing share of requests.
RETURN_RAMP_UP_S = 2.0


@dataclass(frozen=True, slots=True)
class Evacuation:
    """The declaration that a failure domain is evacuated, or, unless ``active``, in service."""

    failure_domain: str
    active: bool = True


@dataclass(slots=True)
class EvacuationRegistry:
    """Evacuated failure domains, and those that have returned to service; times in seconds.

    ``evacuated_at`` and ``returned_at`` hold when this process learned of it, by failure domain.
    """

    evacuated_at: dict[str, float] = field(default_factory=dict)
    returned_at: dict[str, float] = field(default_factory=dict)

    def apply(self, evacuation: Evacuation, now: float) -> bool:
        """Apply a declaration of the operator.

        :param evacuation: the declaration.
        :param now: current time in seconds.
        :return: whether it changed anything.
        """
        domain = evacuation.failure_domain
        if evacuation.active == self.is_evacuated(domain):
            return False
        if evacuation.active:
            self.evacuated_at[domain] = now
            self.returned_at.pop(domain, None)
        else:
            self.evacuated_at.pop(domain)
            self.returned_at[domain] = now
        return True

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether no request may be sent to the replicas of a failure domain.

        :param failure_domain: name of the failure domain.
        :return: whether it is evacuated.
        """
        return failure_domain in self.evacuated_at

    def passes_ramp_up(self, failure_domain: str, now: float, rng: random.Random) -> bool:
        """Return whether a replica is a candidate for a request if there are other replicas.

        :param failure_domain: failure domain of the replica.
        :param now: current time in seconds.
        :param rng: random number generator.
        :return: True at random after the end of an evacuation, with an increasing probability.
        """
        returned_at = self.returned_at.get(failure_domain)
        if returned_at is None:
            return True
        if now - returned_at >= RETURN_RAMP_UP_S:
            self.returned_at.pop(failure_domain)
            return True
        return now - returned_at >= RETURN_RAMP_UP_S * rng.random()


__all__ = (
    'RETURN_RAMP_UP_S',
    'Evacuation',
    'EvacuationRegistry',
)
