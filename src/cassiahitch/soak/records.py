"""What callers, backend servers and the operator saw in a run; all times are monotonic seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Name of the store among the targets of disturbances.
STORE = 'store'
#: Name of the soak's own process, which runs all stand-ins and callers.
SOAK = 'soak'


def stop_target(process: str) -> str:
    """Return the target that is disturbed from an order to end until the next start.

    :param process: name of the process.
    :return: the target.
    """
    return f'stop of {process}'


class RequestKind(StrEnum):
    """Kinds of request by the first part of their path."""

    lookup = 'lookup'
    order = 'order'
    draft = 'draft'


class Promise(StrEnum):
    """What a violation breaks."""

    own_answer = 'own_answer'
    unchanged = 'unchanged'
    once = 'once'
    not_run = 'not_run'
    answered = 'answered'
    whole_at_stop = 'whole_at_stop'
    graceful_end = 'graceful_end'
    revoked_key = 'revoked_key'
    drained = 'drained'
    new_weights = 'new_weights'
    recovered = 'recovered'
    sizes = 'sizes'
    gone = 'gone'
    leaving = 'leaving'
    paused = 'paused'


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds in seconds; ``stable_s`` is the calm after which a host is in touch."""

    drain_s: float = 2
    configuration_s: float = 2
    revoked_key_s: float = 5
    weights_s: float = 8
    grace_s: float = 8
    recover_s: float = 12
    stable_s: float = 3
    loss_slack_s: float = 0.2


@dataclass(slots=True)
class Attempt:
    """One attempt of a caller; ``size`` counts tokens of the prompt or bytes of the body.

    ``request`` is the same for all attempts at a request, ``entry`` the name of the process.
    ``wrong`` says what is wrong with the answer, ``left`` that the caller gave up.
    """

    id: str
    request: int
    kind: RequestKind
    entry: str
    key: str
    target: str
    digest: str
    size: int
    began: float
    deadline: float
    sent: float | None = None
    ended: float | None = None
    status: int = 0
    whole: bool = False
    received: int = 0
    wrong: str = ''
    left: bool = False

    @property
    def served(self) -> bool:
        """Whether the caller has a right and whole answer."""
        return self.whole and self.status // 100 == 2 and not self.wrong


@dataclass(slots=True)
class Execution:
    """An attempt at a backend server; ``refused`` says that it was not run there.

    ``broke_off`` says that the backend server ended the answer itself before its end, ``endless``
    that it sent bytes that are no answer and have no end, ``dropped`` when its connection closed
    before its end,
    ``said_leaving`` that the answer said that it leaves, ``paused_until`` until when it wanted
    nothing.
    """

    id: str
    backend: str
    host: str
    target: str
    digest: str
    organisation: str
    arrived: float
    key_passed: bool = False
    refused: bool = False
    broke_off: bool = False
    endless: bool = False
    said_leaving: bool = False
    paused_until: float | None = None
    version: int = 0
    began: float | None = None
    ended: float | None = None
    dropped: float | None = None


@dataclass(slots=True)
class ProcessEnd:
    """The order to end that a process got, if it got one, and how it ended."""

    process: str
    asked: float | None
    ended: float
    status: int


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A time in which a process, a backend server or the store was disturbed."""

    target: str
    began: float
    ended: float


@dataclass(frozen=True, slots=True)
class KeyRevoked:
    """The store acknowledged a configuration without a key."""

    at: float
    key: str


@dataclass(frozen=True, slots=True)
class ReplicaLeft:
    """The store acknowledged that a replica drains."""

    at: float
    backend: str


@dataclass(frozen=True, slots=True)
class WeightsNamed:
    """The store acknowledged new weights."""

    at: float
    version: int


Change = KeyRevoked | ReplicaLeft | WeightsNamed


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise: when, at which attempt or process, and how."""

    promise: Promise
    at: float
    id: str
    detail: str


@dataclass(slots=True)
class Record:
    """All that was seen in a run; ``overload`` is its sustained overload, if there was one.

    ``slow_downs`` are times in which processes waited for a processor, ``longest_lag_s`` is how
    late the soak itself ran its tasks at most.
    """

    bounds: Bounds = field(default_factory=Bounds)
    began: float = 0
    faults_ended: float = 0
    ended: float = 0
    attempts: dict[str, Attempt] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    ends: list[ProcessEnd] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    slow_downs: list[Disturbance] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    organisations: dict[str, str] = field(default_factory=dict)
    overload: Disturbance | None = None
    longest_lag_s: float = 0

    def was_disturbed(self, target: str, since: float, until: float) -> bool:
        """Tell whether a target was disturbed in a time.

        :param target: a process, a backend server or the store.
        :param since: start of the time.
        :param until: its end.
        :return: whether any disturbance of it overlaps the time.
        """
        return any(
            one.target == target and one.began <= until and one.ended >= since
            for one in (*self.disturbances, *self.slow_downs)
        )

    def runs_by_attempt(self) -> dict[str, list[Execution]]:
        """Return what ran of each attempt, by its id.

        :return: executions that were not refused, in the order of their arrival.
        """
        found: dict[str, list[Execution]] = {}
        for one in self.executions:
            if one.id in self.attempts and not one.refused:
                found.setdefault(one.id, []).append(one)
        return found

    def was_undisturbed(self, targets: Iterable[str], since: float, until: float) -> bool:
        """Tell whether targets were in touch in a time.

        :param targets: processes, backend servers or the store.
        :param since: start of the time, before which the calm must have lasted.
        :param until: its end.
        :return: whether nothing disturbed any of them.
        """
        start = since - self.bounds.stable_s
        return not any(self.was_disturbed(target, start, until) for target in targets)


__all__ = (
    'SOAK',
    'STORE',
    'Attempt',
    'Bounds',
    'Change',
    'Disturbance',
    'Execution',
    'KeyRevoked',
    'RequestKind',
    'ProcessEnd',
    'Promise',
    'Record',
    'ReplicaLeft',
    'Violation',
    'WeightsNamed',
    'stop_target',
)
