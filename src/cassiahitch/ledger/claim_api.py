"""Messages, actions and limits of the claims of an agent.

The task that performs ``CommitBatch``, ``ReadRow`` and ``QueryOwner`` reports exactly one reply
to each of them, and reports a failure if there is no reply within a timeout.
"""

from __future__ import annotations

from dataclasses import dataclass

from cassiahitch.ledger.api import OUTCOME_RETENTION_S, KeyState, Outcome
from cassiahitch.ledger.api import Action as LedgerAction
from cassiahitch.ledger.api import Message as LedgerMessage
from cassiahitch.stores.api import Condition, Row, Write


@dataclass(frozen=True, slots=True)
class Claim:
    """A request with an idempotency key that its caller chose.

    ``request_id`` is the identifier of the claim and its key in the ledger; ``key`` is the key
    of its row. ``not_after`` and ``deadline`` are in seconds of the agent's monotonic clock,
    ``created`` in seconds since the Unix epoch.
    """

    request_id: str
    key: str
    organisation: str
    body_digest: str
    incarnation: int
    not_after: float
    deadline: float
    created: float


@dataclass(frozen=True, slots=True)
class BatchCommitted:
    """A batch was committed; ``versions`` are the new versions of its rows, in order."""

    batch: int
    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class BatchConflicted:
    """Conditions of a batch failed and nothing was written; ``rows`` are those that differ."""

    batch: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class BatchFailed:
    """The table service was unavailable and a batch wrote nothing."""

    batch: int


@dataclass(frozen=True, slots=True)
class BatchOutcomeUnknown:
    """The reply to a batch was lost; it may have been committed or may still be."""

    batch: int


@dataclass(frozen=True, slots=True)
class RowRead:
    """The row of a claim's key, or ``None`` if it does not exist."""

    claim_id: str
    row: Row | None


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The row of a claim's key could not be read."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class OwnerReplied:
    """The agent that owns the row replied with the state of its claim."""

    claim_id: str
    state: KeyState
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class OwnerUnreachable:
    """The agent that owns the row could not be reached in its incarnation."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Timer message, sent every few milliseconds while claims are pending."""


BatchReply = BatchCommitted | BatchConflicted | BatchFailed | BatchOutcomeUnknown
ReadReply = RowRead | ReadFailed
OwnerReply = OwnerReplied | OwnerUnreachable
ClaimMessage = Claim | BatchReply | ReadReply | OwnerReply | Tick | LedgerMessage


@dataclass(frozen=True, slots=True)
class CommitBatch:
    """Commit one transaction; its reply is a ``BatchReply`` with the same number."""

    batch: int
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the row of a claim's key; its reply is ``RowRead`` or ``ReadFailed``."""

    claim_id: str
    key: str


@dataclass(frozen=True, slots=True)
class QueryOwner:
    """Send ``Void`` with ``takeover`` to the agent that owns the row.

    Its reply is ``OwnerReplied``, or ``OwnerUnreachable`` if that agent could not be reached in
    that incarnation.
    """

    claim_id: str
    agent: str
    incarnation: int
    owner_claim_id: str
    body_digest: str
    not_after: float


ClaimAction = CommitBatch | ReadRow | QueryOwner | LedgerAction


@dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Limits and intervals of the claims of an agent.

    :param batch_size: largest number of rows in a transaction.
    :param interval_s: shortest time between the starts of two transactions.
    :param retry_s: shortest time before a failed step is retried; jitter at most doubles it.
    :param background_wait_s: time that outcomes and removals wait to share a claim's transaction.
    :param deadline_margin_s: time before its deadline at which a pending claim is refused.
    :param store_attempts: consecutive failed transactions after which waiting claims are refused.
    :param retention_s: time that the ledger keeps an outcome that its row does not hold.
    :param clean_attempts: reads after which the row of a void claim is left to the sweep.
    """

    batch_size: int = 64
    interval_s: float = 0.01
    retry_s: float = 0.2
    background_wait_s: float = 0.25
    deadline_margin_s: float = 0.05
    store_attempts: int = 3
    retention_s: float = OUTCOME_RETENTION_S
    clean_attempts: int = 5


__all__ = (
    'QueryOwner',
    'BatchCommitted',
    'BatchConflicted',
    'BatchFailed',
    'BatchReply',
    'BatchOutcomeUnknown',
    'Claim',
    'ClaimAction',
    'ClaimLimits',
    'ClaimMessage',
    'CommitBatch',
    'OwnerReplied',
    'OwnerReply',
    'OwnerUnreachable',
    'ReadFailed',
    'ReadReply',
    'ReadRow',
    'RowRead',
    'Tick',
)
