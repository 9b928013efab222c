"""A request that is to be placed, and its assignment to a replica or its refusal."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.costs import INITIAL_SERVICE_S
from cassiahitch.direct.placement.load import prefill_s

if TYPE_CHECKING:
    from cassiahitch.direct.placement.admission import AdmissionTerms
    from cassiahitch.direct.placement.returns import RefusalInputs
    from cassiahitch.direct.state.catalogue import Engine, Route
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.util.endpoints import Endpoint


@dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that may receive the request, and its loaded model and the version of that.

    ``in_own_domain`` is whether it is in the failure domain of this entry.
    """

    replica: Replica
    in_own_region: bool
    version: int = 0
    model: str = ''
    in_own_domain: bool = False


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that is to be placed.

    ``elapsed_s`` is the time since the caller first sent it, retries included, and ``remaining_s``
    the time until its deadline. ``mean_objective_s`` is the mean objective of the routes of the
    service, 0 if unknown. ``terms`` are None if all requests of the service are admitted alike.
    ``output_tokens`` is its expected output length, 0 if it is not placed by cost.
    ``is_return`` is set if the caller was refused before, and ``is_preferred`` if it therefore
    comes before new requests of the same priority. ``organisation`` is its name, empty if there is
    none, and ``is_restricted`` is set if it has more than its share.
    """

    route: Route
    elapsed_s: float
    prompt_tokens: int = 0
    priority: int = 0
    remaining_s: float = math.inf
    mean_objective_s: float = 0
    output_tokens: float = 0
    terms: AdmissionTerms | None = None
    is_return: bool = False
    is_preferred: bool = False
    organisation: str = ''
    is_restricted: bool = False

    @property
    def mean_or_own_objective_s(self) -> float:
        """The mean objective of the routes of the service, or its own if that is unknown."""
        return self.mean_objective_s or self.route.objective_s

    @property
    def admission_objective_s(self) -> float:
        """The objective that decides on admission, from the first attempt of the caller."""
        return self.terms.objective_s if self.terms else self.mean_or_own_objective_s

    @property
    def queue_objective_s(self) -> float:
        """The objective that bounds the queue of an engine, the same for all routes."""
        return self.terms.queue_objective_s if self.terms else self.mean_or_own_objective_s

    @property
    def is_late(self) -> bool:
        """Whether its objective has passed already, for example for a retried request."""
        return self.elapsed_s >= self.admission_objective_s

    def has_low_slack(self, engine: Engine) -> bool:
        """Return whether it can wait less long than a mean request of the service.

        :param engine: speed of the engines.
        :return: whether the prefill takes more additional time than its objective allows.
        """
        additional_objective_s = self.route.objective_s - self.mean_or_own_objective_s
        additional_prefill_s = prefill_s(engine, self.prompt_tokens, 1) - prefill_s(
            engine, engine.mean_prompt_tokens, 1
        )
        return additional_prefill_s > additional_objective_s


@dataclass(frozen=True, slots=True)
class Reservation:
    """A slot of an engine, or a permit for a limited replica, that an agent reserved.

    ``number`` is that of the query to ``agent``. ``permit_until`` is when the permit ends, in
    seconds of the boot clock; minus infinity if the replica names no rate limit.
    """

    number: int
    agent: Endpoint
    permit_until: float = -math.inf


@dataclass(frozen=True, slots=True)
class Assignment:
    """The assignment of a request to a replica.

    ``expected_s`` is the predicted time to its first byte, and ``rank`` its rank in the queue of
    the engine. ``near_capacity`` is set if another replica may start it considerably earlier.
    ``reservation`` is None if no agent was queried or none replied. ``output_tokens`` is the
    expected output length, 0 if unknown, and ``cost_s`` the expected service time of a plain
    request.
    """

    candidate: Candidate
    expected_s: float
    rank: int | None = None
    near_capacity: bool = True
    reservation: Reservation | None = None
    output_tokens: float = 0
    cost_s: float = INITIAL_SERVICE_S


@dataclass(frozen=True, slots=True)
class NoCapacity:
    """The refusal of a request that no replica can start in time.

    ``best_expected_s`` is the predicted time to the first event at the best replica, and
    ``available_in_s`` the time after which that replica may be able to admit the request.
    ``limited`` is the number of replicas that name a rate limit and have no permit left, and
    ``inputs`` what decided under pressure.
    """

    retry_after_s: float
    best_expected_s: float
    available_in_s: float
    limited: int = 0
    inputs: RefusalInputs | None = None


__all__ = (
    'Assignment',
    'Candidate',
    'NoCapacity',
    'PlacementRequest',
    'Reservation',
)
