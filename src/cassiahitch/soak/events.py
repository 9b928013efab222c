"""Events of a plan: the faults that a run injects, and the areas to which they belong."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.soak.proxy import LinkFault
    from cassiahitch.standins.weightservice import ManifestFault


class Area(StrEnum):
    """Areas of faults to which a run may be restricted."""

    stops = 'stops'
    signals = 'signals'
    links = 'links'
    backends = 'backends'
    store = 'store'
    changes = 'changes'
    overload = 'overload'
    limits = 'limits'
    prompts = 'prompts'
    silences = 'silences'
    endings = 'endings'
    weights = 'weights'
    broken_ends = 'broken_ends'


class BackendFailure(StrEnum):
    """Faults of a backend server.

    ``refuse`` rejects requests, ``lose`` resets the connection instead of sending a response,
    ``cut`` resets it in the middle of one, ``pause`` requests a pause, ``limit`` names a rate limit
    for a longer time, ``silent`` reads and writes nothing and then continues, ``endless`` sends
    endless invalid bytes, ``trickle`` nearly stops in the middle of a response, and ``double``
    sends it twice. ``unframed`` ends a response with its connection, ``half_event`` ends a stream
    inside an event, ``repeat_refusal`` writes a refusal once more before the next response, and
    ``fail_resumed`` breaks streams off and fails those that are resumed. ``break_off`` ends streams
    without a length after an event, inside one or when they are whole, also those that are resumed.
    """

    crash = 'crash'
    slow = 'slow'
    refuse = 'refuse'
    lose = 'lose'
    cut = 'cut'
    pause = 'pause'
    limit = 'limit'
    silent = 'silent'
    endless = 'endless'
    trickle = 'trickle'
    double = 'double'
    unframed = 'unframed'
    half_event = 'half_event'
    repeat_refusal = 'repeat_refusal'
    fail_resumed = 'fail_resumed'
    break_off = 'break_off'


class StoreFailure(StrEnum):
    """Faults of the store: ``down`` fails calls, ``lost`` applies writes without responding."""

    down = 'down'
    lost = 'lost'


class AgentCall(StrEnum):
    """Calls of an agent that change the weights of its engine: ``upload`` stores a chunk."""

    order = 'order'
    upload = 'upload'


class Declaration(StrEnum):
    """Changes by the operator.

    ``key`` revokes a key, ``route`` writes a new version of the configuration, ``weights``
    publishes new weights, and ``drain`` replaces a replica.
    """

    key = 'key'
    route = 'route'
    weights = 'weights'
    drain = 'drain'


@dataclass(frozen=True, slots=True)
class Terminate:
    """Send SIGTERM to a process, and start it again after its end."""

    at: float
    process: str


@dataclass(frozen=True, slots=True)
class Kill:
    """Send SIGKILL to a process, and start it again after ``seconds``."""

    at: float
    process: str
    seconds: float


@dataclass(frozen=True, slots=True)
class Pause:
    """Send SIGSTOP to a process, and SIGCONT after ``seconds``."""

    at: float
    process: str
    seconds: float


@dataclass(frozen=True, slots=True)
class Reload:
    """Change the settings of a process and send it SIGHUP."""

    at: float
    process: str


@dataclass(frozen=True, slots=True)
class HarmLink:
    """Apply a fault to the link from a process to the store, or from all entries to a backend."""

    at: float
    link: str
    harm: LinkFault
    seconds: float


@dataclass(frozen=True, slots=True)
class FailBackend:
    """Apply a fault to a backend server."""

    at: float
    backend: str
    failure: BackendFailure
    seconds: float


@dataclass(frozen=True, slots=True)
class FailStore:
    """Apply a fault to the store."""

    at: float
    failure: StoreFailure
    seconds: float


@dataclass(frozen=True, slots=True)
class Declare:
    """Make a change as the operator; ``number`` selects the replica to drain."""

    at: float
    declaration: Declaration
    number: int


@dataclass(frozen=True, slots=True)
class Overload:
    """Add many callers for ``seconds``."""

    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class CrashByPrompts:
    """Add callers for ``seconds`` whose prompts crash each engine that begins a response."""

    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class RollOutLate:
    """Publish new weights as the operator, whose origin serves nothing for ``seconds``."""

    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class KillAtCall:
    """Kill an agent right after its engine received a call, and start it again at once.

    ``delays_s`` has one item for each kill: seconds after the call, and then after each start.
    """

    at: float
    process: str
    engine: str
    call: AgentCall
    delays_s: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class CorruptChunks:
    """Let staged chunks of an engine turn corrupt."""

    at: float
    engine: str
    positions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SpoilManifests:
    """Let the next ``count`` manifests that the origin sends have a fault."""

    at: float
    count: int
    fault: ManifestFault


@dataclass(frozen=True, slots=True)
class ExecuteLate:
    """Let all engines execute some calls of their agents late; ``seed`` selects the calls."""

    at: float
    seconds: float
    seed: int


Event = (
    Terminate
    | Kill
    | Pause
    | Reload
    | HarmLink
    | FailBackend
    | FailStore
    | Declare
    | Overload
    | CrashByPrompts
    | RollOutLate
    | KillAtCall
    | CorruptChunks
    | ExecuteLate
    | SpoilManifests
)


__all__ = (
    'AgentCall',
    'Area',
    'BackendFailure',
    'CorruptChunks',
    'CrashByPrompts',
    'Declaration',
    'Declare',
    'Event',
    'ExecuteLate',
    'FailBackend',
    'FailStore',
    'HarmLink',
    'Kill',
    'KillAtCall',
    'Overload',
    'Pause',
    'Reload',
    'RollOutLate',
    'SpoilManifests',
    'StoreFailure',
    'Terminate',
)
