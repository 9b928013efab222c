"""Finds the place of a request among the replicas of its service."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.direct.placement.placement import (
    Assignment,
    Candidate,
    NoCapacity,
    Placement,
    PlacementRequest,
)
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call
    from cassiahitch.direct.placement.candidates import CandidateFilter
    from cassiahitch.direct.placement.reservation import ReservationClient
    from cassiahitch.direct.state.catalogue import Engine
    from cassiahitch.direct.state.replicas import Replica

#: Engines of the own region, and of others, that are asked one round after the other, until one
#: can begin the request soon.
ROUNDS = ((2, 0), (3, 2))
#: Engines that are asked whether their weights may be used by now, if no other engine is known.
UNCERTAIN = 3
#: Shortest and longest time after which a caller may come back when no replica lives, in seconds.
RETRY_AFTER_RANGE_S = (1.0, 2.0)
#: Longest time by which callers come back later than the first replica that pauses, in seconds.
PAUSE_SPREAD_S = 1.0


@dataclass(slots=True)
class EngineGroups:
    """Engines by what is known of them.

    Those of ``likely`` may have a place, those of ``full`` have none, and the agents of ``silent``
    did not answer a moment ago. Of ``uncertain`` it is not known whether their weights may be used.
    """

    likely: list[Candidate] = field(default_factory=list)
    full: list[Candidate] = field(default_factory=list)
    silent: list[Candidate] = field(default_factory=list)
    uncertain: list[Candidate] = field(default_factory=list)

    def draw(self, near: int, far: int, rng: random.Random) -> list[Candidate]:
        """Draw engines that are asked next, and take them out.

        :param near: how many of the own region.
        :param far: how many of others, and further ones where the own region has too few.
        :param rng: source of the choice.
        :return: the engines.
        """
        own = [one for one in self.likely if one.in_own_region]
        others = [one for one in self.likely if not one.in_own_region]
        chosen = rng.sample(own, min(near, len(own)))
        far += near - len(chosen)
        chosen += rng.sample(others, min(far, len(others)))
        self.likely = [one for one in self.likely if one not in chosen]
        return chosen


@dataclass(slots=True)
class SearchState:
    """The search for the place of one request; ``held`` are the places that agents hold for it."""

    engine: Engine
    demand: PlacementRequest
    options: EngineGroups
    answered: list[Candidate] = field(default_factory=list)
    held: list[tuple[Replica, int]] = field(default_factory=list)
    found: Assignment | NoCapacity | None = None

    @property
    def is_over(self) -> bool:
        """Whether a place was found that is good enough."""
        return isinstance(self.found, Assignment) and not self.found.near_capacity


@dataclass(slots=True)
class PlacementSearch:
    """Asks agents and decides by their answers; plain replicas need no question."""

    candidates: CandidateFilter
    placement: Placement
    reservations: ReservationClient
    rng: random.Random

    async def find(self, call: Call, demand: PlacementRequest) -> Assignment | NoCapacity:
        """Choose a replica for a request.

        :param call: the request.
        :param demand: what is to be placed.
        :return: the choice.
        :raises RequestError: ``no_replica``.
        """
        now = asyncio.get_running_loop().time()
        service = self.candidates.service(call)
        replicas = self.candidates.replicas(call, now)
        if service is None or not replicas:
            raise self.nothing(call)
        if service.engine is None:
            plain = tuple(Candidate(one, self.candidates.is_in_own_region(one)) for one in replicas)
            return self.placement.place_plain(plain, now)
        usual_s = self.candidates.mean_objective_s(call)
        usual = replace(demand, mean_objective_s=usual_s)
        search = SearchState(
            service.engine, usual, self.engine_groups(replicas, service.engine, usual, now)
        )
        await self.search(search)
        if search.found is None:
            raise self.nothing(call)
        return search.found

    def nothing(self, call: Call) -> RequestError:
        """Return the refusal of a request that no replica can take.

        :param call: the request.
        :return: the error.
        """
        available_in_s = self.candidates.available_in_s(call, asyncio.get_running_loop().time())
        if available_in_s is not None:
            detail = f'all replicas of {call.service} have asked for a pause'
            return_s = available_in_s + self.rng.uniform(0, PAUSE_SPREAD_S)
            return RequestError(Code.overloaded, detail, call.ran, return_s)
        detail = f'no replica of {call.service} can take the request'
        return RequestError(
            Code.no_replica, detail, call.ran, self.rng.uniform(*RETRY_AFTER_RANGE_S)
        )

    async def search(self, search: SearchState) -> None:
        """Look for the place of a request at engines, and keep no other one.

        :param search: what is looked for; gets what is found.
        """
        try:
            await self.look(search)
        except asyncio.CancelledError:
            search.found = None
            raise
        finally:
            self.give_back(search)

    async def look(self, search: SearchState) -> None:
        """Ask engines until one can begin the request soon.

        :param search: what is looked for; gets what is found.
        """
        options = search.options
        for near, far in ROUNDS:
            await self.ask(search, options.draw(near, far, self.rng))
            if search.is_over:
                break
        if not search.answered and not options.full:
            await self.ask(search, options.uncertain[:UNCERTAIN])
        if search.found is None and options.full:
            self.decide(search, tuple(options.full))
        if search.found is None and options.silent:
            self.decide(search, tuple(options.silent))

    async def ask(self, search: SearchState, few: list[Candidate]) -> None:
        """Ask some engines, and decide among all that have answered.

        :param search: what is looked for.
        :param few: the engines.
        """
        if not few:
            return
        tokens = search.demand.prompt_tokens
        numbers = await self.reservations.reserve((one.replica for one in few), tokens)
        search.held += [
            (one.replica, numbers[one.replica.key]) for one in few if one.replica.key in numbers
        ]
        now = asyncio.get_running_loop().time()
        for candidate in few:
            known = self.usable(candidate.replica, search.engine, now)
            if known is not None:
                answered = candidate.replica.key in numbers
                (search.answered if answered else search.options.silent).append(known)
        if search.answered:
            self.decide(search, tuple(search.answered))

    def decide(self, search: SearchState, among: tuple[Candidate, ...]) -> None:
        """Decide by what is known.

        :param search: what is looked for.
        :param among: the engines to choose from, at least one.
        """
        now = asyncio.get_running_loop().time()
        entries = 1 + len(self.candidates.entry_state.members.registry.live_members())
        search.found = self.placement.place_engine(
            search.engine, search.demand, among, entries, now
        )

    def give_back(self, search: SearchState) -> None:
        """Give the places back that the request does not take.

        :param search: the search, which is over.
        """
        taken = search.found.candidate.replica.key if isinstance(search.found, Assignment) else ''
        for replica, number in search.held:
            if replica.key != taken:
                self.reservations.release(replica, number)

    def engine_groups(
        self, replicas: tuple[Replica, ...], engine: Engine, demand: PlacementRequest, now: float
    ) -> EngineGroups:
        """Sort engines by what is known of them.

        :param replicas: the replicas of the service.
        :param engine: their engine.
        :param demand: what is to be placed.
        :param now: seconds.
        :return: the engines; those that load or have weights that are too old are left out.
        """
        options = EngineGroups()
        for replica in replicas:
            candidate = self.usable(replica, engine, now)
            if candidate is not None:
                self.sort(candidate, options, engine, demand)
            elif self.is_uncertain(replica, now):
                options.uncertain.append(
                    Candidate(replica, self.candidates.is_in_own_region(replica))
                )
        self.rng.shuffle(options.uncertain)
        return options

    def sort(
        self, candidate: Candidate, options: EngineGroups, engine: Engine, demand: PlacementRequest
    ) -> None:
        """Sort an engine whose weights may be used.

        :param candidate: the engine.
        :param options: where it goes.
        :param engine: its speed.
        :param demand: what is to be placed.
        """
        now = asyncio.get_running_loop().time()
        if self.placement.engine_load(candidate.replica.key).is_unresponsive(now):
            options.silent.append(candidate)
        elif self.placement.is_full(engine, demand, candidate, now):
            options.full.append(candidate)
        else:
            options.likely.append(candidate)

    def is_uncertain(self, replica: Replica, now: float) -> bool:
        """Tell whether an engine may have other weights by now than is known.

        :param replica: the engine.
        :param now: seconds.
        :return: whether its agent did not tell of it a moment ago.
        """
        load = self.placement.engine_load(replica.key)
        return not load.has_current_report(now) and not load.is_unresponsive(now)

    def usable(self, replica: Replica, engine: Engine, now: float) -> Candidate | None:
        """Return an engine as a candidate if its weights may be used, as far as is known.

        :param replica: the replica.
        :param engine: its engine.
        :param now: seconds.
        :return: the candidate.
        """
        if not self.candidates.availability.may_send(replica.key, now):
            return None
        load = self.placement.engine_load(replica.key)
        version = replica.version(engine.model)
        if load.has_current_report(now) and load.report is not None:
            version = load.report.version
            if load.report.loading:
                return None
        oldest = self.candidates.entry_state.versions.oldest_allowed(engine.model, now)
        if not version or version < oldest:
            return None
        return Candidate(replica, self.candidates.is_in_own_region(replica), version)


__all__ = (
    'EngineGroups',
    'PlacementSearch',
    'SearchState',
)
