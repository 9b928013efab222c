"""What an entry knows about the overload of each service, and its decisions under pressure.

The state is that of this entry only, it is kept in memory, and it decays within seconds. Without
recent requests, all decisions are those of a service that is not overloaded.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.admission import AdmissionTerms, admission_terms
from cassiahitch.direct.placement.pressure import RequestClass, ServicePressure

if TYPE_CHECKING:
    from cassiahitch.direct.placement.placement import PlacementRequest

#: Services whose requests are counted; others are treated as not overloaded.
MAX_SERVICES = 64


@dataclass(slots=True)
class OverloadControl:
    """Decisions for the requests of each service, by what it experienced recently."""

    pressures: dict[str, ServicePressure] = field(default_factory=dict)

    def terms(self, service: str, request: PlacementRequest, now: float) -> AdmissionTerms | None:
        """Return the terms on which a request is admitted.

        :param service: service of the request.
        :param request: the request.
        :param now: current time in seconds.
        :return: the terms, or None if all requests of the service are admitted alike.
        """
        pressure = self.pressures.get(service)
        return admission_terms(request.route, request.priority, pressure, now)

    def record(self, service: str, request: PlacementRequest, now: float, *, begun: bool) -> None:
        """Record the outcome of the placement of a request.

        :param service: service of the request.
        :param request: the request.
        :param now: current time in seconds.
        :param begun: whether it found capacity.
        """
        if service not in self.pressures and len(self.pressures) >= MAX_SERVICES:
            self.pressures = {
                name: pressure
                for name, pressure in self.pressures.items()
                if pressure.has_demand(now)
            }
            if len(self.pressures) >= MAX_SERVICES:
                return
        route = request.route
        request_class = RequestClass(route.name, request.priority, route.objective_s)
        pressure = self.pressures.setdefault(service, ServicePressure())
        pressure.record(request_class, now, begun=begun)


__all__ = ('OverloadControl',)
