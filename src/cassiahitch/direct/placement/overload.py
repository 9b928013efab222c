"""What an entry knows about the overload of each service, and its decisions under pressure.

The state is that of this entry only, it is kept in memory, and it decays within seconds. Without
recent requests, all decisions are those of a service that is not overloaded. So are they for all
services to which the control does not apply.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from cassiahitch.direct.placement.admission import admission_terms
from cassiahitch.direct.placement.assignments import NoCapacity, PlacementRequest
from cassiahitch.direct.placement.pressure import (
    DecayingCount,
    RequestClass,
    ServicePressure,
)
from cassiahitch.direct.placement.returns import RefusalInputs, ReturnSchedule, ReturnTime
from cassiahitch.direct.placement.shares import FairShares
from cassiahitch.direct.placement.timelimits import ADMISSION_FRACTION
from cassiahitch.direct.placement.waiting import may_still_be_served

#: Services whose requests are counted; others are treated as not overloaded.
MAX_SERVICES = 64
#: Share of the recently begun requests up to which returning callers come before new ones.
RETURN_SHARE = 0.03


@dataclass(slots=True)
class ServiceState:
    """Recent outcomes of the requests of a service, and the slots of its refused callers."""

    pressure: ServicePressure = field(default_factory=ServicePressure)
    returns: ReturnSchedule = field(default_factory=ReturnSchedule)
    returned: DecayingCount = field(default_factory=DecayingCount)
    shares: FairShares = field(default_factory=FairShares)

    def prefers_returns(self, now: float) -> bool:
        """Return whether returning callers come before new ones.

        :param now: current time in seconds.
        :return: whether there is pressure, and few of the begun requests came from them.
        """
        is_pressed = self.pressure.refused_share(now) > 0
        return is_pressed and self.returned_share(now) < RETURN_SHARE

    def returned_share(self, now: float) -> float:
        """Return the share of returning callers among the recently begun requests.

        :param now: current time in seconds.
        :return: 0 to 1.
        """
        begun = self.pressure.all_classes.begun.at(now)
        return self.returned.at(now) / begun if begun else 0


def _applies_to_all(_: str) -> bool:
    """Return that the requests of a service are controlled; the default."""
    return True


@dataclass(slots=True)
class OverloadControl:
    """Decisions for the requests of each service, by what it experienced recently.

    ``applies_to`` returns whether the requests of a service are controlled.
    """

    rng: random.Random = field(default_factory=random.Random)
    services: dict[str, ServiceState] = field(default_factory=dict)
    applies_to: Callable[[str], bool] = _applies_to_all

    def adjust(self, service: str, request: PlacementRequest, now: float) -> PlacementRequest:
        """Return a request with the terms on which it is admitted.

        :param service: service of the request.
        :param request: the request.
        :param now: current time in seconds.
        :return: the request; unchanged if all requests of the service are admitted alike.
        """
        state = self.services.get(service)
        if state is None:
            return request
        terms = admission_terms(request.route, request.priority, state.pressure, now)
        is_restricted = self.exceeds_share(state, request, now)
        is_preferred = request.is_return and not is_restricted and state.prefers_returns(now)
        return replace(request, terms=terms, is_preferred=is_preferred, is_restricted=is_restricted)

    def exceeds_share(self, state: ServiceState, request: PlacementRequest, now: float) -> bool:
        """Return whether a request is restricted since its organisation is above its share.

        :param state: state of the service of the request.
        :param request: the request.
        :param now: current time in seconds.
        :return: whether it is restricted; never without pressure.
        """
        if not state.pressure.refused_share(now):
            return False
        restricted_share = state.shares.restricted_share(request.organisation, now)
        return restricted_share > 0 and self.rng.random() < restricted_share

    def record(self, service: str, request: PlacementRequest, now: float, *, begun: bool) -> None:
        """Record the outcome of the placement of a request.

        :param service: service of the request.
        :param request: the request.
        :param now: current time in seconds.
        :param begun: whether it found capacity.
        """
        if not self.applies_to(service):
            self.services.pop(service, None)
            return
        if service not in self.services and not self.has_room(now):
            return
        state = self.services.setdefault(service, ServiceState())
        route = request.route
        request_class = RequestClass(route.name, request.priority, route.objective_s)
        state.pressure.record(request_class, now, begun=begun)
        state.shares.record(request.organisation, request.prompt_tokens, now, begun=begun)
        if begun and request.is_return:
            state.returned.add(1, now)

    def has_room(self, now: float) -> bool:
        """Return whether a further service can be counted, after those without demand are dropped.

        :param now: current time in seconds.
        :return: whether there are fewer than ``MAX_SERVICES``.
        """
        if len(self.services) >= MAX_SERVICES:
            self.services = {
                name: state
                for name, state in self.services.items()
                if state.pressure.has_demand(now)
            }
        return len(self.services) < MAX_SERVICES

    def may_wait(self, request: PlacementRequest, refusal: NoCapacity) -> bool:
        """Return whether a request that found no capacity may wait for it in the entry.

        :param request: the request.
        :param refusal: the result of its last search.
        :return: whether it can still be served then.
        """
        return may_still_be_served(request, refusal)

    def scheduled(
        self, service: str, request: PlacementRequest, refusal: NoCapacity, now: float
    ) -> NoCapacity:
        """Return a refusal with the retry time of the schedule.

        :param service: service of the request.
        :param request: the request.
        :param refusal: the refusal.
        :param now: current time in seconds.
        :return: the refusal; unchanged if replicas are limited, which have a schedule of their own.
        """
        returns = None if refusal.limited else self.return_time(service, request, now)
        if returns is None:
            return refusal
        state = self.services[service]
        inputs = RefusalInputs(
            state.pressure.refused_share(now),
            state.returned_share(now),
            state.pressure.all_classes.begun.per_s(now),
            state.shares.excess(request.organisation, now),
            returns.has_slot,
        )
        return replace(refusal, retry_after_s=returns.after_s, inputs=inputs)

    def return_time(self, service: str, request: PlacementRequest, now: float) -> ReturnTime | None:
        """Return when a refused caller should return.

        :param service: service of the request.
        :param request: the request.
        :param now: current time in seconds.
        :return: the time, or None if no requests of the service began recently, or if the caller
            was refused before, since it does not retry again.
        """
        state = self.services.get(service)
        if request.is_return or state is None or not state.pressure.has_demand(now):
            return None
        begun_per_s = state.pressure.all_classes.begun.per_s(now)
        if not begun_per_s:
            return None
        in_time_s = request.route.objective_s - request.elapsed_s
        in_time_s -= ADMISSION_FRACTION * request.queue_objective_s
        return state.returns.return_time(request.remaining_s, in_time_s, begun_per_s, now, self.rng)


__all__ = ('OverloadControl',)
