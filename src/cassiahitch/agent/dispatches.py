"""Data of the dispatches in an agent: waiting requests, queued runs and results."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.ledger.api import Dispatch, Failure, Outcome, RequestAnswered, RequestRefused
from cassiahitch.ledger.claim_api import Claim

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from cassiahitch.wire import messages

MS_PER_S = 1000
#: Seconds for which the outcome of a request without a key chosen by the caller is retained.
REQUEST_RETENTION_S = 60
#: Seconds for which the outcome of a ticket is retained, longer than its validity and the time
#: in which its outcome may be queried.
TICKET_RETENTION_S = 1800


@dataclass(slots=True)
class Waiter:
    """A request that is waiting for the outcome of its ledger key."""

    request_id: str
    on_part: Callable[[bytes], None]
    outcome_future: asyncio.Future[RequestAnswered | RequestRefused]


@dataclass(order=True, slots=True)
class QueuedRun:
    """A ledger key that is queued for the backend server; the lowest priority number runs first."""

    priority: int
    serial: int
    key: str = field(compare=False)


@dataclass(frozen=True, slots=True)
class DispatchResult:
    """Result of a dispatch; ``crashed`` is whether the backend server crashed during the run."""

    outcome: Outcome
    crashed: bool
    replayed: bool


def discard_part(_part: bytes) -> None:
    """Discard a part of a response whose request has no waiter."""


def ledger_message(dispatch: messages.Dispatch, created_s: float) -> Dispatch | Claim:
    """Return the message that passes a request to the ledger or to the claims.

    :param dispatch: the request.
    :param created_s: wall-clock time in seconds since the Unix epoch.
    :return: a claim if the caller chose a key, else a dispatch for the ledger.
    """
    request_id = dispatch.request_id.hex()
    body_digest = dispatch.body_digest.hex()
    not_after = dispatch.not_after_ms / MS_PER_S
    if not dispatch.claim_key:
        return Dispatch(
            dispatch.ledger_key,
            request_id,
            body_digest,
            dispatch.incarnation,
            not_after,
            REQUEST_RETENTION_S if dispatch.ledger_key == request_id else TICKET_RETENTION_S,
        )
    return Claim(
        request_id=request_id,
        key=dispatch.claim_key,
        organisation=dispatch.organisation,
        body_digest=body_digest,
        incarnation=dispatch.incarnation,
        not_after=not_after,
        deadline=dispatch.deadline_ms / MS_PER_S,
        created=created_s,
    )


def dispatch_result(action: RequestAnswered | RequestRefused, *, crashed: bool) -> DispatchResult:
    """Return the result of a dispatch.

    :param action: the action by which the ledger ended the dispatch.
    :param crashed: whether the backend server crashed during the run.
    :return: the result.
    """
    match action:
        case RequestRefused(code=code, ran=ran):
            return DispatchResult(Failure(code, ran), crashed, replayed=False)
        case RequestAnswered(outcome=outcome, replayed=replayed):
            return DispatchResult(outcome, crashed, replayed)


__all__ = (
    'MS_PER_S',
    'DispatchResult',
    'QueuedRun',
    'Waiter',
    'dispatch_result',
    'discard_part',
    'ledger_message',
)
