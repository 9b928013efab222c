"""Records of a run: what callers, backend servers and the operator observed.

All times are monotonic seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

#: The store, as the target of a disturbance.
STORE = 'store'
#: The soak's own process, which runs all stand-ins and callers, as the target of a disturbance.
SOAK = 'soak'


def stop_target(process: str) -> str:
    """Return the target that stands for a process between its SIGTERM and its next start.

    :param process: name of the process.
    :return: target of a disturbance.
    """
    return f'stop of {process}'


class RequestKind(StrEnum):
    """Kinds of request, by the first segment of their path.

    A ``lookup`` is idempotent, an ``order`` may run only once, and a ``draft`` is a stream of
    events from a model.
    """

    lookup = 'lookup'
    order = 'order'
    draft = 'draft'


class Promise(StrEnum):
    """Promises of the system that a run checks.

    - ``own_answer``: a response is that of a backend server to the caller's own request
    - ``unchanged``: a backend server receives what the caller sent, without its key
    - ``once``: an order runs at most once
    - ``not_run``: a status that promises that a request has not run is true
    - ``answered``: undisturbed hosts do not close connections without a response
    - ``whole_at_stop``: a process that stops loses no request that it has read
    - ``graceful_end``: processes end only after SIGTERM, in time and with status 0
    - ``revoked_key``: a revoked key is soon rejected
    - ``drained``: a draining replica soon receives no requests
    - ``new_weights``: requests soon run on new weights
    - ``recovered``: requests succeed again after the last fault
    - ``sizes``: overload does not starve large requests
    - ``gone``: abandoned requests are cancelled
    - ``leaving``: a replica that has announced its shutdown soon receives no requests
    - ``paused``: a replica that has requested a pause receives no requests
    - ``limited``: a replica that names a rate limit receives no more from all entries together
    - ``crash_suspects``: prompts that crash engines soon reach no engine
    - ``sound_prompts``: requests beside such prompts begin about as often as before them
    - ``whole_weights``: no request begins on weights with a part of another version, or corrupt
    - ``serving``: each engine serves requests again after the last fault
    """

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
    limited = 'limited'
    crash_suspects = 'crash_suspects'
    sound_prompts = 'sound_prompts'
    whole_weights = 'whole_weights'
    serving = 'serving'


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits of the promises, in seconds.

    ``stable_s`` is how long a host must have been undisturbed before a promise holds for it, and
    ``loss_slack_s`` the time after sending in which a close may cross a request.
    """

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
    """One attempt of a caller at a request.

    ``request`` is the number that all attempts at a request share, and ``entry`` the name of the
    entry's process. ``size`` counts tokens of the prompt or bytes of the body. ``sent`` is when
    the request was sent completely. ``whole`` is set once the response is complete; ``received``
    counts the bytes of its body. ``wrong`` describes the error in the response, if there is one.
    ``left`` is set if the caller disconnected before the response was complete. ``prompt`` is the
    header that names the prompt's segments.
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
    prompt: str = ''

    @property
    def served(self) -> bool:
        """Whether the caller received a complete and correct response with a status of success."""
        return self.whole and self.status // 100 == 2 and not self.wrong


@dataclass(slots=True)
class Execution:
    """An attempt as a backend server received it.

    ``host`` names the host, which stays the same when the replica restarts under a new id.
    ``refused`` is set if the backend server did not run it, ``broke_off`` if it did not complete
    the response, and ``endless`` if it sent endless invalid bytes instead. ``dropped`` is when the
    connection closed during the execution. ``said_leaving`` is set if the response announced the
    replica's shutdown, and ``paused_until`` is the end of the pause that it requested.
    ``limit_per_s`` is the rate limit that the backend server named since ``limited_since``.
    ``prompt`` is the header that names the prompt's segments, and ``crashed`` is set if it crashed
    the backend server. ``weight_faults`` describes what is wrong with the weights on which it
    began.
    """

    id: str
    backend: str
    host: str
    target: str
    digest: str
    organisation: str
    arrived: float
    key_passed: bool = False
    prompt: str = ''
    crashed: bool = False
    refused: bool = False
    broke_off: bool = False
    endless: bool = False
    said_leaving: bool = False
    paused_until: float | None = None
    limit_per_s: float | None = None
    limited_since: float = 0
    version: int = 0
    weight_faults: tuple[str, ...] = ()
    began: float | None = None
    ended: float | None = None
    dropped: float | None = None


@dataclass(slots=True)
class ProcessEnd:
    """The end of a process; ``asked`` is when it received SIGTERM, ``None`` if it received none."""

    process: str
    asked: float | None
    ended: float
    status: int


@dataclass(frozen=True, slots=True)
class Disturbance:
    """An interval in which a process, a backend server, a link or the store was disturbed."""

    target: str
    began: float
    ended: float


@dataclass(frozen=True, slots=True)
class KeyRevoked:
    """The store accepted a configuration that no longer holds a key."""

    at: float
    key: str


@dataclass(frozen=True, slots=True)
class ReplicaLeft:
    """The store accepted that a replica is marked as draining."""

    at: float
    backend: str


@dataclass(frozen=True, slots=True)
class WeightsNamed:
    """The store accepted a new version of the weights."""

    at: float
    version: int


@dataclass(frozen=True, slots=True)
class TakenLoad:
    """An engine accepted an order; ``faults`` describes the bad chunks among those that it has."""

    at: float
    host: str
    version: int
    faults: tuple[str, ...]


Change = KeyRevoked | ReplicaLeft | WeightsNamed


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise: when, by which attempt or process, and how."""

    promise: Promise
    at: float
    id: str
    detail: str


@dataclass(slots=True)
class Record:
    """All observations of a run.

    ``overload`` is its longest overload, and ``crashing`` the interval in which prompts came that
    crash engines, if it had one; ``crashes`` are the times in which they were down for that, and
    ``events`` those of all other events of the plan. ``slow_downs`` are intervals in which
    processes waited for a processor, and ``longest_lag_s`` is the largest delay of the soak's own
    event loop. ``organisations`` maps keys to organisations, ``engines`` are the hosts of all
    engines, and ``loads`` the loads that they have begun.
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
    crashes: list[Disturbance] = field(default_factory=list)
    loads: list[TakenLoad] = field(default_factory=list)
    engines: list[str] = field(default_factory=list)
    events: list[Disturbance] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    organisations: dict[str, str] = field(default_factory=dict)
    overload: Disturbance | None = None
    crashing: Disturbance | None = None
    longest_lag_s: float = 0

    def was_disturbed(self, target: str, since: float, until: float) -> bool:
        """Return whether a target was disturbed or slowed down in an interval.

        :param target: a process, a backend server or the store.
        :param since: start of the interval.
        :param until: end of the interval.
        :return: whether any disturbance of the target overlaps the interval.
        """
        return any(
            disturbance.target == target
            and disturbance.began <= until
            and disturbance.ended >= since
            for disturbance in (*self.disturbances, *self.slow_downs, *self.crashes)
        )

    def runs_by_attempt(self) -> dict[str, list[Execution]]:
        """Return the executions that were not refused, by the ids of their attempts.

        :return: executions in the order of their arrival.
        """
        runs: dict[str, list[Execution]] = {}
        for execution in self.executions:
            if execution.id in self.attempts and not execution.refused:
                runs.setdefault(execution.id, []).append(execution)
        return runs

    def was_undisturbed(self, targets: Iterable[str], since: float, until: float) -> bool:
        """Return whether targets were undisturbed in an interval and for ``stable_s`` before it.

        :param targets: processes, backend servers or the store.
        :param since: start of the interval.
        :param until: end of the interval.
        :return: whether nothing disturbed any of the targets.
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
    'TakenLoad',
    'Violation',
    'WeightsNamed',
    'stop_target',
)
