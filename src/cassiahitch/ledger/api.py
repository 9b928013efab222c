"""Messages, actions and limits of the request ledger."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from cassiahitch.codes import Code, HasRun

#: Seconds for which the outcome of a key that a caller chose is kept.
OUTCOME_RETENTION_S = 86_400


class KeyState(StrEnum):
    """State of a key at an agent."""

    #: Waits to run.
    queued = 'queued'
    #: Handed to the backend server.
    running = 'running'
    #: Ended with an outcome.
    done = 'done'
    #: Never runs at this agent.
    void = 'void'
    #: Has no record.
    absent = 'absent'
    #: The key belongs to a request with another body, so the queried body never runs under it.
    reused = 'reused'
    #: The key is so old, or of another incarnation, that its record may have been removed.
    forgotten = 'forgotten'


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer; ``digest`` is the hexadecimal SHA-256 of ``content``."""

    content: bytes
    digest: str
    metadata: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Failure:
    """The end of a request without an answer; ``ran`` says whether it ran."""

    code: Code
    ran: HasRun


Outcome = Answer | Failure


@dataclass(frozen=True, slots=True)
class Dispatch:
    """A request for this agent.

    ``not_after`` is the latest time at which it may be accepted, in seconds of the agent's
    monotonic clock. Its outcome is kept for ``retention_s`` seconds after its end or
    ``not_after``, whichever is later.
    """

    key: str
    request_id: str
    body_digest: str
    incarnation: int
    not_after: float
    retention_s: float = OUTCOME_RETENTION_S


@dataclass(frozen=True, slots=True)
class Join:
    """Makes another request wait for the outcome of a key."""

    key: str
    request_id: str


@dataclass(frozen=True, slots=True)
class TryStart:
    """Requests permission to run a queued key."""

    key: str


@dataclass(frozen=True, slots=True)
class Finish:
    """Reports the complete answer of a key."""

    key: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class Fail:
    """Reports that a key ended without an answer."""

    key: str
    code: Code
    ran: HasRun


@dataclass(frozen=True, slots=True)
class Void:
    """Requests that a key never runs here; ``not_after`` is that of its dispatch.

    ``takeover`` means that another agent sent the message to run the caller's key itself.
    """

    key: str
    body_digest: str
    not_after: float
    incarnation: int
    takeover: bool = False


@dataclass(frozen=True, slots=True)
class Status:
    """Queries the state of a key; ``not_after`` is that of its dispatch."""

    key: str
    body_digest: str
    not_after: float
    incarnation: int


@dataclass(frozen=True, slots=True)
class Sweep:
    """Removes records whose retention has passed; inspects at most ``limit`` of them."""

    limit: int


Message = Dispatch | Join | TryStart | Finish | Fail | Void | Status | Sweep


@dataclass(frozen=True, slots=True)
class Enqueue:
    """Queue the key for the backend server; send ``TryStart`` before it runs."""

    key: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Run the key at the backend server now."""

    key: str


@dataclass(frozen=True, slots=True)
class RequestJoined:
    """The request waits for the outcome of a key that is queued or running."""

    key: str
    request_id: str


@dataclass(frozen=True, slots=True)
class RequestAnswered:
    """Send the outcome of a key to a request; ``replayed`` if it was done before."""

    key: str
    request_id: str
    outcome: Outcome
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class RequestRefused:
    """Refuse a request; ``ran`` applies to this request, not to others of its key."""

    request_id: str
    code: Code
    ran: HasRun


@dataclass(frozen=True, slots=True)
class StateReply:
    """Reply to ``Void`` or ``Status``: the state of the key, and its outcome if done."""

    key: str
    state: KeyState
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class RecordsSwept:
    """The number of records that a sweep removed."""

    removed: int


Action = (
    Enqueue | Execute | RequestJoined | RequestAnswered | RequestRefused | StateReply | RecordsSwept
)


@dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Limits of a ledger.

    :param max_keys: largest number of keys and aliases that are queued, running or done.
    :param max_voids: largest number of keys that are void.
    :param max_kept_bytes: largest number of answer bytes, including the reserved ones.
    :param max_answer_bytes: size of the largest answer that is kept for retries.
    :param max_waiters: largest number of requests that wait for one key.
    :param horizon_s: longest time between a dispatch and its ``not_after``.
    :param void_retention_s: how long a void key is kept; longer than ``horizon_s`` and than a
        ticket is valid.
    :param min_retention_s: shortest time after ``not_after`` for which an outcome is kept.
    """

    max_keys: int = 40_000
    max_voids: int = 20_000
    max_kept_bytes: int = 33_554_432
    max_answer_bytes: int = 65_536
    max_waiters: int = 32
    horizon_s: float = 900
    void_retention_s: float = 1800
    min_retention_s: float = 60


__all__ = (
    'OUTCOME_RETENTION_S',
    'Action',
    'Answer',
    'RequestAnswered',
    'Execute',
    'Dispatch',
    'Fail',
    'Failure',
    'Finish',
    'Join',
    'RequestJoined',
    'LedgerLimits',
    'Message',
    'Outcome',
    'RequestRefused',
    'Enqueue',
    'TryStart',
    'KeyState',
    'StateReply',
    'Status',
    'Sweep',
    'RecordsSwept',
    'Void',
)
