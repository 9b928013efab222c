"""Messages and actions of the request ledger."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from cassiahitch.codes import Code, HasRun

#: Seconds for which the outcome of a caller's key is kept.
RETENTION_S = 86_400


class State(StrEnum):
    """State of a key at an agent."""

    queued = 'queued'
    running = 'running'
    done = 'done'
    void = 'void'
    absent = 'absent'
    #: Known with another body than the one asked for, which never runs under the key.
    reused = 'reused'
    #: So old that the ledger may have forgotten it.
    forgotten = 'forgotten'


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer; ``digest`` is the hexadecimal SHA-256 of ``content``."""

    content: bytes
    digest: str
    metadata: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Failure:
    """An end without an answer."""

    code: Code
    ran: HasRun


Outcome = Answer | Failure


@dataclass(frozen=True, slots=True)
class Dispatch:
    """A request for this agent; ``not_after`` is in seconds of the agent's monotonic clock.

    Its outcome is kept for ``keep_s`` seconds beyond its end and its ``not_after``.
    """

    key: str
    request_id: str
    body_digest: str
    incarnation: int
    not_after: float
    keep_s: float = RETENTION_S


@dataclass(frozen=True, slots=True)
class Join:
    """Lets another request wait for the outcome of a key."""

    key: str
    request_id: str


@dataclass(frozen=True, slots=True)
class Start:
    """Asks whether a queued key may begin to run."""

    key: str


@dataclass(frozen=True, slots=True)
class Finish:
    """Reports the whole answer of a key."""

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
    """Asks that a request never runs; ``not_after`` is that of its dispatch.

    ``takeover`` states that another agent asks, to run the caller's key itself.
    """

    key: str
    body_digest: str
    not_after: float
    incarnation: int
    takeover: bool = False


@dataclass(frozen=True, slots=True)
class Status:
    """Asks for the state of a request; ``not_after`` is that of its dispatch."""

    key: str
    body_digest: str
    not_after: float
    incarnation: int


@dataclass(frozen=True, slots=True)
class Sweep:
    """Removes up to ``limit`` records whose retention has passed."""

    limit: int


Message = Dispatch | Join | Start | Finish | Fail | Void | Status | Sweep


@dataclass(frozen=True, slots=True)
class Run:
    """Queue the key for the backend server, then ask by ``Start`` before it runs."""

    key: str


@dataclass(frozen=True, slots=True)
class Begin:
    """Hand the key to the backend server now."""

    key: str


@dataclass(frozen=True, slots=True)
class Joined:
    """The request waits for a key that is queued or running."""

    key: str
    request_id: str


@dataclass(frozen=True, slots=True)
class Answered:
    """Send the outcome of a key to a request that waits for it."""

    key: str
    request_id: str
    outcome: Outcome
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse a request; ``ran`` speaks of this request."""

    request_id: str
    code: Code
    ran: HasRun


@dataclass(frozen=True, slots=True)
class StateReply:
    """The state of a key after a ``Void`` or ``Status``, with its outcome if done."""

    key: str
    state: State
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class Swept:
    """Counts the records that a sweep removed."""

    removed: int


Action = Run | Begin | Joined | Answered | Refused | StateReply | Swept


@dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Bounds of a ledger.

    :param entries: largest number of keys that are queued, running or done.
    :param voids: largest number of keys that are void.
    :param bytes_kept: largest number of answer bytes, those expected included.
    :param answer_bytes: largest answer that is kept for retries.
    :param waiters: largest number of requests that wait for one key.
    :param horizon_s: how far ahead a ``not_after`` may lie.
    :param void_s: how long a void key is kept; longer than any horizon or use of a ticket.
    :param settle_s: how long after its ``not_after`` any outcome is kept at least.
    """

    entries: int = 40_000
    voids: int = 20_000
    bytes_kept: int = 33_554_432
    answer_bytes: int = 65_536
    waiters: int = 32
    horizon_s: float = 900
    void_s: float = 1800
    settle_s: float = 60


__all__ = (
    'RETENTION_S',
    'Action',
    'Answer',
    'Answered',
    'Begin',
    'Dispatch',
    'Fail',
    'Failure',
    'Finish',
    'Join',
    'Joined',
    'LedgerLimits',
    'Message',
    'Outcome',
    'Refused',
    'Run',
    'Start',
    'State',
    'StateReply',
    'Status',
    'Sweep',
    'Swept',
    'Void',
)
