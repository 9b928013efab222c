"""Groups the engines of a service by their last reports, before their agents are queried."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.assignments import Candidate, PlacementRequest
from cassiahitch.direct.placement.placement import Placement
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.layers import are_all_layers

if TYPE_CHECKING:
    from cassiahitch.direct.placement.candidates import CandidateFilter
    from cassiahitch.direct.state.catalogue import Engine
    from cassiahitch.direct.state.ratelimits import RateLimitRegistry
    from cassiahitch.direct.state.replicas import Replica


@dataclass(slots=True)
class EngineGroups:
    """Engines grouped by their last reports.

    Engines of ``available`` may have a free slot, or have listed weights of which only their agents
    can tell whether they may serve; those of ``full`` have none. The agents of
    ``unresponsive`` recently did not reply. Engines of ``limited`` name a rate limit or are cold,
    and their agents may have a permit left; those whose limit may have ended are in ``available``.
    The cached versions of ``version_unknown`` are not allowed, but the engines may have loaded
    newer weights since.
    """

    available: list[Candidate] = field(default_factory=list)
    full: list[Candidate] = field(default_factory=list)
    unresponsive: list[Candidate] = field(default_factory=list)
    limited: list[Candidate] = field(default_factory=list)
    version_unknown: list[Candidate] = field(default_factory=list)

    def draw(self, local: int, remote: int, rng: random.Random) -> list[Candidate]:
        """Remove and return randomly drawn available engines.

        :param local: number of engines of the own region.
        :param remote: number of engines of other regions; they also replace missing ones of the
            own region.
        :param rng: random number generator.
        :return: the engines.
        """
        own = [engine for engine in self.available if engine.in_own_region]
        others = [engine for engine in self.available if not engine.in_own_region]
        chosen = rng.sample(own, min(local, len(own)))
        remote += local - len(chosen)
        chosen += rng.sample(others, min(remote, len(others)))
        self.available = [engine for engine in self.available if engine not in chosen]
        return chosen


@dataclass(slots=True)
class EngineGrouping:
    """Groups engines by the tracked load and the weights that are allowed."""

    candidates: CandidateFilter
    placement: Placement
    rate_limits: RateLimitRegistry
    rng: random.Random

    def group(
        self, replicas: tuple[Replica, ...], engine: Engine, request: PlacementRequest, now: float
    ) -> EngineGroups:
        """Group engines by their last reports.

        :param replicas: the replicas of the service.
        :param engine: speed of the engines.
        :param request: the request.
        :param now: current time in seconds.
        :return: the groups, without engines that are loading or reported weights that are not
            allowed any more.
        """
        groups = EngineGroups()
        for replica in replicas:
            candidate = self.usable(replica, engine, now)
            if candidate is not None:
                self.add(candidate, groups, engine, request)
            elif self.may_have_newer_weights(replica, now):
                self.add_unproven(replica, groups, engine, now)
        self.rng.shuffle(groups.version_unknown)
        self.rng.shuffle(groups.limited)
        groups.limited.sort(key=lambda candidate: not candidate.in_own_region)
        return groups

    def add_unproven(
        self, replica: Replica, groups: EngineGroups, engine: Engine, now: float
    ) -> None:
        """Add an engine whose agent has to be queried before a request can be sent.

        :param replica: the replica of the engine.
        :param groups: the groups.
        :param engine: speed of the engine.
        :param now: current time in seconds.
        """
        candidate = Candidate(
            replica,
            self.candidates.is_in_own_region(replica),
            replica.version(engine.model),
            engine.model,
        )
        may_query = self.candidates.availability.may_send(replica.key, now)
        is_limited = self.rate_limits.is_limited(replica.key)
        is_allowed = may_query and not is_limited and self.is_allowed(replica, engine)
        if is_allowed and self.rate_limits.cold.is_cold(replica.key, now):
            self.add_limited(candidate, groups, now)
        elif is_allowed:
            groups.available.append(candidate)
        else:
            groups.version_unknown.append(candidate)

    def is_allowed(self, replica: Replica, engine: Engine) -> bool:
        """Return whether the listed weights of an engine are complete and may serve.

        :param replica: the replica of the engine.
        :param engine: its model and layers.
        :return: whether requests may begin on them.
        """
        version = replica.version(engine.model)
        oldest = self.candidates.entry_state.versions.oldest_allowed(engine.model, boot_time())
        return version >= max(oldest, 1) and are_all_layers(replica.layers, engine.layers)

    def add(
        self, candidate: Candidate, groups: EngineGroups, engine: Engine, request: PlacementRequest
    ) -> None:
        """Add an engine whose weights are allowed to its group.

        :param candidate: the engine.
        :param groups: the groups.
        :param engine: its speed.
        :param request: the request.
        """
        now = asyncio.get_running_loop().time()
        key = candidate.replica.key
        is_unresponsive = self.placement.engine_load(key).is_unresponsive(now)
        if is_unresponsive:
            if not self.rate_limits.is_limited(key):
                groups.unresponsive.append(candidate)
        elif self.rate_limits.needs_permit(key, now):
            self.add_limited(candidate, groups, now)
        elif self.placement.is_full(engine, request, candidate, now):
            groups.full.append(candidate)
        else:
            groups.available.append(candidate)

    def add_limited(self, candidate: Candidate, groups: EngineGroups, now: float) -> None:
        """Add an engine that names a rate limit or is cold, unless no permit is left.

        :param candidate: the engine.
        :param groups: the groups.
        :param now: current time in seconds.
        """
        key = candidate.replica.key
        if self.rate_limits.permit_wait_s(key, now):
            return
        if self.rate_limits.needs_check(key, now):
            groups.available.append(candidate)
        else:
            groups.limited.append(candidate)

    def may_have_newer_weights(self, replica: Replica, now: float) -> bool:
        """Return whether an engine may have loaded newer weights than the list contains.

        :param replica: the replica of the engine.
        :param now: current time in seconds.
        :return: whether there is no current report, and its agent may be queried.
        """
        load = self.placement.engine_load(replica.key)
        return not load.has_current_report(now) and not load.is_unresponsive(now)

    def usable(self, replica: Replica, engine: Engine, now: float) -> Candidate | None:
        """Return an engine as a candidate if it accepts requests and its weights are allowed.

        Load pattern: an agent is killed before it has proven a load that its engine completes. The
        list names the version all the same, but no agent has let it serve.

        :param replica: the replica of the engine.
        :param engine: speed of the engine.
        :param now: current time in seconds.
        :return: the candidate with its loaded version, or None.
        """
        if not self.candidates.availability.may_send(replica.key, now):
            return None
        load = self.placement.engine_load(replica.key)
        if self.candidates.entry_state.replicas.take_reloading(replica.key):
            load.proven_version = 0
        version = load.proven_version
        is_whole = are_all_layers(replica.layers, engine.layers)
        if replica.version(engine.model) != version or not is_whole:
            version = 0
        if load.has_current_report(now) and load.report is not None:
            version = load.report.version
            if load.report.loading:
                return None
        oldest = self.candidates.entry_state.versions.oldest_allowed(engine.model, boot_time())
        if not version or version < oldest:
            return None
        in_own_region = self.candidates.is_in_own_region(replica)
        return Candidate(replica, in_own_region, version, engine.model)


__all__ = (
    'EngineGrouping',
    'EngineGroups',
)
