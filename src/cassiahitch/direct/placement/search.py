"""Search for the replica of a request among the replicas of its service.

Agents are queried for the load of their engines, in rounds, until one of them can start the
request soon.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.direct.placement.assignments import (
    Assignment,
    Candidate,
    NoCapacity,
    PlacementRequest,
    Reservation,
)
from cassiahitch.direct.placement.coldengines import UngrantedSends
from cassiahitch.direct.placement.enginegroups import EngineGrouping, EngineGroups
from cassiahitch.direct.placement.isolation import isolate
from cassiahitch.direct.placement.overload import OverloadControl
from cassiahitch.direct.placement.placement import Placement
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call
    from cassiahitch.direct.placement.candidates import CandidateFilter
    from cassiahitch.direct.placement.plainsearch import PlainSearch
    from cassiahitch.direct.placement.reservation import ReservationClient
    from cassiahitch.direct.state.catalogue import Engine
    from cassiahitch.direct.state.ratelimits import RateLimitRegistry
    from cassiahitch.direct.state.replicas import Replica

#: Numbers of engines of the own region and of other regions that are queried in each round.
ROUNDS = ((2, 0), (3, 2))
#: Number of rounds in which limited engines are queried, and of queries in each of them.
LIMITED_ROUNDS = 3
LIMITED_QUERIES = 2
#: Engines whose loaded version is queried if no engine is known to have allowed weights.
MAX_VERSION_QUERIES = 3
#: Shortest and longest retry time in seconds if no replica is available.
RETRY_AFTER_RANGE_S = (1.0, 2.0)
#: Maximum delay of the retry time after the end of the first pause of a replica, in seconds.
PAUSE_SPREAD_S = 1.0


@dataclass(slots=True)
class SearchState:
    """State of the search for one request.

    ``replied`` holds the usable engines whose agents replied, and ``reservations`` the reserved
    slots by replica key. ``result`` is the best decision so far.
    """

    engine: Engine
    request: PlacementRequest
    groups: EngineGroups
    replied: list[Candidate] = field(default_factory=list)
    reservations: dict[str, Reservation] = field(default_factory=dict)
    result: Assignment | NoCapacity | None = None

    @property
    def is_complete(self) -> bool:
        """Whether a replica was found that can start the request soon."""
        return isinstance(self.result, Assignment) and not self.result.near_capacity


@dataclass(slots=True)
class PlacementSearch:
    """Assigns requests to replicas after queries to the agents of their engines.

    Plain replicas have no agents and are assigned without queries.
    """

    candidates: CandidateFilter
    placement: Placement
    reservations: ReservationClient
    plain: PlainSearch
    rng: random.Random
    overload: OverloadControl = field(init=False)
    grouping: EngineGrouping = field(init=False)
    ungranted: UngrantedSends = field(init=False)

    def __post_init__(self) -> None:
        """Create the grouping of engines, the limit without permits, and the overload control."""
        self.grouping = EngineGrouping(self.candidates, self.placement, self.rate_limits, self.rng)
        self.ungranted = UngrantedSends(self.placement, self.reservations)
        self.overload = OverloadControl(self.rng)

    @property
    def rate_limits(self) -> RateLimitRegistry:
        """The rate limits that replicas named."""
        return self.reservations.rate_limits

    async def find(self, call: Call, request: PlacementRequest) -> Assignment | NoCapacity:
        """Assign a request to a replica.

        :param call: the request.
        :param request: its requirements.
        :return: the assignment, or the refusal if no replica can start the request in time.
        :raises RequestError: ``no_replica``, or ``overloaded`` if all replicas are paused.
        """
        now = asyncio.get_running_loop().time()
        service = self.candidates.service(call)
        replicas = self.candidates.replicas(call, now)
        if service is None or not replicas:
            raise self.no_replica_error(call)
        if service.engine is None:
            plain = tuple(
                Candidate(
                    replica,
                    self.candidates.is_in_own_region(replica),
                    in_own_domain=self.candidates.is_in_own_domain(replica),
                )
                for replica in replicas
            )
            return await self.plain.find(request, plain)
        replicas = self.isolate_suspect(call, replicas, service.engine, now)
        adjusted = replace(
            request,
            mean_objective_s=self.candidates.mean_objective_s(call),
            output_tokens=self.placement.costs.output_tokens(
                request.route.name, call.request.generation, service.engine, now
            ),
        )
        adjusted = self.overload.adjust(call.service, adjusted, now)
        search = SearchState(
            service.engine, adjusted, self.grouping.group(replicas, service.engine, adjusted, now)
        )
        await self.search(search)
        result = self.with_permit_wait(search, replicas)
        if result is None:
            raise self.no_replica_error(call)
        return result

    def isolate_suspect(
        self, call: Call, replicas: tuple[Replica, ...], engine: Engine, now: float
    ) -> tuple[Replica, ...]:
        """Return the engines to which a request may be sent, given the segments of its prompt.

        :param call: the request.
        :param replicas: the engines that accept requests.
        :param engine: speed of the engines.
        :param now: current time in seconds.
        :return: one engine if a segment is suspect.
        """
        guard = self.candidates.entry_state.segments
        return isolate(
            guard,
            guard.verdict(call),
            replicas,
            lambda replica: self.grouping.usable(replica, engine, now) is not None,
        )

    def with_permit_wait(
        self, search: SearchState, replicas: tuple[Replica, ...]
    ) -> Assignment | NoCapacity | None:
        """Return the result of a search, with the time of the next permit in a refusal.

        :param search: state of the completed search.
        :param replicas: the replicas of the service.
        :return: the result; a refusal if there is none and some replicas are limited or cold.
        """
        if isinstance(search.result, Assignment):
            return search.result
        is_unplaced = search.result is None
        waits_s = self.ungranted.permit_waits_s(replicas, with_silent=is_unplaced)
        if not waits_s:
            return search.result
        if search.result is None:
            return self.placement.no_permit(search.request, min(waits_s), len(waits_s))
        available_in_s = min(*waits_s, search.result.available_in_s)
        return replace(search.result, available_in_s=available_in_s, limited=len(waits_s))

    def no_replica_error(self, call: Call) -> RequestError:
        """Return the error for a request that no replica accepts.

        :param call: the request.
        :return: the error.
        """
        if self.candidates.is_excluded_by_region(call):
            detail = f'no replica of {call.service} is in a region that the request allows'
            return RequestError(
                Code.region_unavailable, detail, call.ran, self.rng.uniform(*RETRY_AFTER_RANGE_S)
            )
        if self.candidates.is_evacuated(call):
            detail = f'all replicas of {call.service} are in evacuated failure domains'
            return RequestError(
                Code.no_replica, detail, call.ran, self.rng.uniform(*RETRY_AFTER_RANGE_S)
            )
        available_in_s = self.candidates.available_in_s(call, asyncio.get_running_loop().time())
        if available_in_s is not None:
            detail = f'all replicas of {call.service} are paused at their own request'
            retry_after_s = available_in_s + self.rng.uniform(0, PAUSE_SPREAD_S)
            return RequestError(Code.overloaded, detail, call.ran, retry_after_s)
        detail = f'no replica of {call.service} accepts the request'
        return RequestError(
            Code.no_replica, detail, call.ran, self.rng.uniform(*RETRY_AFTER_RANGE_S)
        )

    async def search(self, search: SearchState) -> None:
        """Search for a replica, and release the reservations at all others.

        :param search: state of the search, whose result is set.
        """
        try:
            await self.query_rounds(search)
        except asyncio.CancelledError:
            search.result = None
            raise
        finally:
            self.release_unused(search)
        if isinstance(search.result, Assignment):
            key = search.result.candidate.replica.key
            assignment = replace(
                search.result,
                reservation=search.reservations.get(key),
                output_tokens=search.request.output_tokens,
            )
            search.result = self.ungranted.granted(search.request, assignment)

    async def query_rounds(self, search: SearchState) -> None:
        """Query engines in rounds until one can start the request soon.

        If no agent replied, engines with unknown versions are queried. Full engines, and then
        unresponsive ones, are considered only if there is no other result.

        :param search: state of the search, whose result is set.
        """
        groups = search.groups
        for local, remote in ROUNDS:
            await self.query(search, groups.draw(local, remote, self.rng))
            if search.is_complete:
                break
        await self.query_limited(search)
        if not search.replied and not groups.full:
            await self.query(search, groups.version_unknown[:MAX_VERSION_QUERIES])
        if search.result is None and groups.full:
            self.decide(search, tuple(groups.full))
        if search.result is None and groups.unresponsive:
            self.decide(search, self.ungranted.sendable(groups.unresponsive))

    async def query_limited(self, search: SearchState) -> None:
        """Query limited engines if no other engine can start the request soon.

        :param search: state of the search, whose result is set.
        """
        limited = search.groups.limited
        for first in range(0, LIMITED_ROUNDS * LIMITED_QUERIES, LIMITED_QUERIES):
            if search.is_complete:
                return
            await self.query(search, limited[first : first + LIMITED_QUERIES])

    async def query(self, search: SearchState, queried: list[Candidate]) -> None:
        """Query some engines, and choose among all engines that have replied so far.

        :param search: state of the search.
        :param queried: engines to query.
        """
        if not queried:
            return
        request = search.request
        queries = await self.reservations.reserve(
            (engine.replica for engine in queried), request.prompt_tokens, request.output_tokens
        )
        search.reservations |= queries.reservations
        now = asyncio.get_running_loop().time()
        for candidate in queried:
            key = candidate.replica.key
            usable = self.grouping.usable(candidate.replica, search.engine, now)
            if usable is None or key in queries.refused:
                continue
            if key in queries.reservations:
                search.replied.append(usable)
            elif not self.rate_limits.is_limited(key):
                search.groups.unresponsive.append(usable)
        if search.replied:
            self.decide(search, tuple(search.replied))

    def decide(self, search: SearchState, candidates: tuple[Candidate, ...]) -> None:
        """Assign or refuse the request by the tracked load, unless none could begin it in time.

        :param search: state of the search, whose result is set.
        :param candidates: engines to choose from, at least one.
        """
        now = asyncio.get_running_loop().time()
        entries = 1 + len(self.candidates.entry_state.members.registry.live_members())
        candidates = tuple(
            candidate
            for candidate in candidates
            if self.begins_in_time(search, candidate, entries, now)
        )
        if not candidates:
            return
        search.result = self.placement.place_engine(
            search.engine, search.request, candidates, entries, now
        )

    def begins_in_time(
        self, search: SearchState, candidate: Candidate, entries: int, now: float
    ) -> bool:
        """Return whether a request is expected to begin while its version may be used.

        :param search: state of the search.
        :param candidate: the engine with its loaded version.
        :param entries: number of entries that send to it.
        :param now: current time in seconds.
        :return: whether it need not be withdrawn from there.
        """
        versions = self.candidates.entry_state.versions
        if candidate.version >= versions.newest(candidate.model):
            return True
        estimate = self.placement.estimate(search.engine, search.request, candidate, entries, now)
        begins_at = boot_time() + estimate.expected_s
        return versions.may_begin(candidate.model, candidate.version, begins_at)

    def release(self, assignment: Assignment) -> None:
        """Release the reservation of a request that is not sent.

        :param assignment: the assignment of the request.
        """
        if assignment.reservation is not None:
            self.reservations.release(assignment.reservation)

    def release_unused(self, search: SearchState) -> None:
        """Release the reservations that the request does not use.

        :param search: state of the completed search.
        """
        assigned_key = (
            search.result.candidate.replica.key if isinstance(search.result, Assignment) else ''
        )
        for key, reservation in search.reservations.items():
            if key != assigned_key:
                self.reservations.release(reservation)


__all__ = (
    'PlacementSearch',
    'SearchState',
)
