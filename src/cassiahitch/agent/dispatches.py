"""Dispatches on their way through an agent: what waits, what is queued and how it ended."""

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
#: Seconds for which the outcome of a request without a caller's key is kept.
REQUEST_KEEP_S = 60
#: Seconds for which the outcome of a ticket is kept, longer than it holds and may be asked for.
TICKET_KEEP_S = 1800


@dataclass(slots=True)
class Waiter:
    """A request that waits for the outcome of its key."""

    request_id: str
    on_part: Callable[[bytes], None]
    ended: asyncio.Future[RequestAnswered | RequestRefused]


@dataclass(order=True, slots=True)
class QueuedRun:
    """A key that waits for a slot of the backend server."""

    priority: int
    serial: int
    key: str = field(compare=False)


@dataclass(frozen=True, slots=True)
class Ended:
    """End of a dispatch; ``crashed`` tells whether the backend server went down meanwhile."""

    outcome: Outcome
    crashed: bool
    replayed: bool


def ignore_part(_part: bytes) -> None:
    """Drop a part that nobody waits for."""


def ledger_message(dispatch: messages.Dispatch, wall: float) -> Dispatch | Claim:
    """Return the message that brings a request to the ledger or to the claims.

    :param dispatch: the request.
    :param wall: seconds since the Unix epoch.
    :return: a claim if its caller chose a key.
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
            REQUEST_KEEP_S if dispatch.ledger_key == request_id else TICKET_KEEP_S,
        )
    return Claim(
        request_id=request_id,
        key=dispatch.claim_key,
        organisation=dispatch.organisation,
        body_digest=body_digest,
        incarnation=dispatch.incarnation,
        not_after=not_after,
        deadline=dispatch.deadline_ms / MS_PER_S,
        created=wall,
    )


def ended_by(end: RequestAnswered | RequestRefused, *, crashed: bool) -> Ended:
    """Return how a dispatch ended.

    :param end: what the ledger told.
    :param crashed: whether the backend server went down meanwhile.
    :return: the end.
    """
    match end:
        case RequestRefused(code=code, ran=ran):
            return Ended(Failure(code, ran), crashed, replayed=False)
        case RequestAnswered(outcome=outcome, replayed=replayed):
            return Ended(outcome, crashed, replayed)


__all__ = (
    'MS_PER_S',
    'Ended',
    'QueuedRun',
    'Waiter',
    'ended_by',
    'ignore_part',
    'ledger_message',
)
