"""Time limits on the queues of engines for the admission of a request, and its rank there."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.direct.placement.assignments import PlacementRequest
    from cassiahitch.direct.state.catalogue import Engine

#: Fraction of the objective within which the first event of a mean prompt has to be expected. The
#: rest is a reserve for the prefill of longer prompts and for prediction errors.
ADMISSION_FRACTION = 0.7
#: Fraction of the objective up to which only replicas of the own region are used, so that those of
#: other regions stay free for the callers there.
OWN_REGION_FRACTION = 0.5
#: Fraction of the objective within which an engine has to start a late request.
LATE_FRACTION = 0.5
#: Fraction of the objective within which an engine has to start a request of an organisation that
#: has more than its share. Engines with a free slot and few pending prefills are that fast.
RESTRICTED_FRACTION = 0.3
#: Rank of late requests in the queue of an engine, which processes low ranks first.
LATE_RANK = 8
#: Highest rank of other requests.
MAX_RANK_IN_TIME = 7
#: Ranks of each priority: requests with low slack, and all others.
RANKS_PER_PRIORITY = 2


@dataclass(frozen=True, slots=True)
class FirstEventEstimate:
    """Requests of an engine, and the predicted time to the first event of a further request.

    ``expected_s`` is the prediction for the request itself, ``mean_prompt_s`` for a request with a
    prompt of mean length.
    """

    requests: int
    expected_s: float
    mean_prompt_s: float


def time_limit_s(request: PlacementRequest, fraction: float = ADMISSION_FRACTION) -> float:
    """Return the maximum time to the first event of a mean prompt for admission.

    :param request: the request.
    :param fraction: fraction of the objective that may pass until then.
    :return: seconds.
    """
    if request.is_restricted:
        fraction = min(fraction, RESTRICTED_FRACTION)
    queue_limit_s = request.queue_objective_s * fraction
    if request.is_preferred:
        return queue_limit_s
    if request.is_late:
        return min(queue_limit_s, request.queue_objective_s * LATE_FRACTION)
    limit_s = min(queue_limit_s, request.admission_objective_s * fraction - request.elapsed_s)
    return limit_s * (1 + request.terms.advance) if request.terms else limit_s


def is_in_time(
    request: PlacementRequest, estimate: FirstEventEstimate, fraction: float = ADMISSION_FRACTION
) -> bool:
    """Return whether the first event of a mean prompt is expected within the time limit.

    :param request: the request.
    :param estimate: the estimate for an engine.
    :param fraction: fraction of the objective that may pass until then.
    :return: whether the request can be admitted there.
    """
    return estimate.mean_prompt_s <= time_limit_s(request, fraction)


def can_meet_objective(request: PlacementRequest, estimate: FirstEventEstimate) -> bool:
    """Return whether the first event of a mean prompt is expected within the objective.

    :param request: the request.
    :param estimate: the estimate for an engine.
    :return: whether it is; not for a late request, unless it is preferred.
    """
    return not (request.is_late and not request.is_preferred) and is_in_time(request, estimate, 1)


def queue_rank(engine: Engine, request: PlacementRequest) -> int:
    """Return the rank of a request in the queue of an engine, by priority and slack.

    :param engine: speed of the engines.
    :param request: the request, which can meet its objective.
    :return: the rank; engines process low ranks first.
    """
    rank = RANKS_PER_PRIORITY * max(0, request.priority)
    if not (request.is_preferred or request.has_low_slack(engine)):
        rank += 1
    return min(MAX_RANK_IN_TIME, rank)


__all__ = (
    'FirstEventEstimate',
    'can_meet_objective',
    'is_in_time',
    'queue_rank',
    'time_limit_s',
)
