"""Search for the replica of a request to a plain service.

Load pattern: a replica that names a rate limit, or is cold, has the shortest queue, since it gets
few requests. By its expected response time alone, it would be chosen for nearly all of them.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.assignments import (
    Assignment,
    Candidate,
    NoCapacity,
    PlacementRequest,
)
from cassiahitch.direct.placement.placement import Placement
from cassiahitch.direct.placement.timelimits import ADMISSION_FRACTION

if TYPE_CHECKING:
    from cassiahitch.direct.placement.permits import PermitClient
    from cassiahitch.direct.state.ratelimits import RateLimitRegistry

#: Limited replicas for which a request asks for a permit.
MAX_PERMIT_QUERIES = 3


@dataclass(slots=True)
class PlainSearch:
    """Assigns requests to plain replicas.

    Limited replicas are used if the others are too slow, and to check whether a limit has ended.
    """

    placement: Placement
    rate_limits: RateLimitRegistry
    permits: PermitClient
    rng: random.Random

    async def find(
        self, request: PlacementRequest, candidates: tuple[Candidate, ...]
    ) -> Assignment | NoCapacity:
        """Assign a request to a replica.

        :param request: the request.
        :param candidates: replicas to choose from, at least one.
        :return: the assignment, or the refusal if all replicas are limited and no permit is left.
        """
        now = asyncio.get_running_loop().time()
        limited = [
            candidate
            for candidate in candidates
            if self.rate_limits.needs_permit(candidate.replica.key, now)
        ]
        unchecked = [
            candidate
            for candidate in limited
            if self.rate_limits.needs_check(candidate.replica.key, now)
        ]
        permitted = await self.find_permit(request, unchecked)
        if permitted is not None:
            return permitted
        others = tuple(candidate for candidate in candidates if candidate not in limited)
        assignment = self.placement.place_plain(request, others, now) if others else None
        if assignment is not None and (not limited or _is_in_time(request, assignment)):
            return assignment
        permitted = await self.find_permit(request, limited)
        return permitted or assignment or self.no_permit(request, limited)

    async def find_permit(
        self, request: PlacementRequest, limited: list[Candidate]
    ) -> Assignment | None:
        """Request a permit for some limited replicas, one after the other.

        :param request: the request.
        :param limited: the limited replicas.
        :return: the assignment, or None if no permit is granted.
        """
        now = asyncio.get_running_loop().time()
        available = [
            candidate
            for candidate in limited
            if not self.rate_limits.permit_wait_s(candidate.replica.key, now)
        ]
        chosen = self.rng.sample(available, min(MAX_PERMIT_QUERIES, len(available)))
        for candidate in chosen:
            permit = await self.permits.request(candidate.replica)
            if permit is not None:
                assignment = self.placement.place_plain(request, (candidate,), now)
                return replace(assignment, reservation=permit)
        return None

    def no_permit(self, request: PlacementRequest, limited: list[Candidate]) -> NoCapacity:
        """Return the refusal of a request for which no permit is available.

        :param request: the request.
        :param limited: the limited replicas, at least one.
        :return: the refusal, with the time of the next permit.
        """
        now = asyncio.get_running_loop().time()
        keys = [candidate.replica.key for candidate in limited]
        wait_s = min(self.rate_limits.permit_wait_s(key, now) for key in keys)
        return self.placement.no_permit(request, wait_s, len(keys))


def _is_in_time(request: PlacementRequest, assignment: Assignment) -> bool:
    limit_s = request.route.objective_s * ADMISSION_FRACTION - request.elapsed_s
    return assignment.expected_s <= limit_s


__all__ = ('PlainSearch',)
