"""Requests to engines whose agents do not reply, in services with a cold rate.

Load pattern: the agents of a failure domain are silent while its engines restart. An entry whose
list of replicas is old does not know that they are cold. Without permits, it may therefore send no
more than its share of the cold rate to any engine of the service.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.assignments import (
    Assignment,
    Candidate,
    NoCapacity,
    PlacementRequest,
)
from cassiahitch.direct.placement.placement import Placement
from cassiahitch.direct.placement.reservation import ReservationClient, ungranted_permit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahitch.direct.state.ratelimits import RateLimitRegistry
    from cassiahitch.direct.state.replicas import Replica


@dataclass(frozen=True, slots=True)
class UngrantedSends:
    """Limits the requests that are sent to engines without a reply of their agents."""

    placement: Placement
    reservations: ReservationClient

    @property
    def rate_limits(self) -> RateLimitRegistry:
        """The rate limits of replicas and the shares of this entry."""
        return self.reservations.rate_limits

    def sendable(self, candidates: Iterable[Candidate]) -> tuple[Candidate, ...]:
        """Return the engines to which a request may be sent now without a permit.

        :param candidates: engines whose agents did not reply.
        :return: all of a service without a cold rate, otherwise those whose turn it is.
        """
        return tuple(candidate for candidate in candidates if not self.share_wait_s(candidate))

    def share_wait_s(self, candidate: Candidate) -> float:
        """Return the time until this entry may send a request to an engine without a permit.

        :param candidate: the engine.
        :return: seconds, 0 if it may send one now.
        """
        replica = candidate.replica
        per_s = self.rate_limits.cold.per_s(replica.service)
        if not per_s:
            return 0
        now = asyncio.get_running_loop().time()
        return self.rate_limits.shares.wait_s(replica.key, per_s, now)

    def granted(self, request: PlacementRequest, assignment: Assignment) -> Assignment | NoCapacity:
        """Return an assignment with a permit if it needs one, from the share of this entry.

        :param request: the request.
        :param assignment: its assignment.
        :return: the assignment, or the refusal until the next turn of this entry.
        """
        replica = assignment.candidate.replica
        per_s = self.rate_limits.cold.per_s(replica.service)
        if assignment.reservation is not None or not per_s:
            return assignment
        now = asyncio.get_running_loop().time()
        if not self.rate_limits.shares.take(replica.key, per_s, now):
            wait_s = self.rate_limits.shares.wait_s(replica.key, per_s, now)
            return self.placement.no_permit(request, wait_s, 1)
        agent = self.reservations.agent_endpoint(replica)
        return replace(assignment, reservation=ungranted_permit(agent))

    def permit_waits_s(self, replicas: Iterable[Replica], *, with_silent: bool) -> list[float]:
        """Return when the engines that need permits may accept a request again.

        :param replicas: the engines of a service.
        :param with_silent: whether engines are considered whose agents recently did not reply.
        :return: seconds for each engine that is limited or cold, or has a silent agent.
        """
        now = asyncio.get_running_loop().time()
        waits: list[float] = []
        for replica in replicas:
            per_s = self.rate_limits.cold.per_s(replica.service)
            if per_s and self.is_silent(replica, now):
                if with_silent:
                    waits.append(self.rate_limits.shares.wait_s(replica.key, per_s, now))
            elif self.rate_limits.needs_permit(replica.key, now):
                waits.append(self.rate_limits.permit_wait_s(replica.key, now))
        return waits

    def is_silent(self, replica: Replica, now: float) -> bool:
        """Return whether requests to an engine use the share of this entry.

        :param replica: the engine, in a service with a cold rate.
        :param now: current time in seconds.
        :return: whether its agent recently did not reply, and it names no rate limit.
        """
        is_limited = self.rate_limits.is_limited(replica.key)
        return not is_limited and self.placement.engine_load(replica.key).is_unresponsive(now)


__all__ = ('UngrantedSends',)
