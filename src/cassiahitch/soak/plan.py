"""The faults of a run as typed events, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

from cassiahitch.soak.proxy import LinkFault


class Area(StrEnum):
    """Areas of faults that a run may be restricted to."""

    stops = 'stops'
    signals = 'signals'
    links = 'links'
    backends = 'backends'
    store = 'store'
    changes = 'changes'
    overload = 'overload'


class BackendFailure(StrEnum):
    """What happens to a backend server."""

    crash = 'crash'
    slow = 'slow'
    refuse = 'refuse'
    lose = 'lose'
    cut = 'cut'
    pause = 'pause'
    endless = 'endless'
    trickle = 'trickle'
    double = 'double'


class StoreFailure(StrEnum):
    """What happens to the store."""

    down = 'down'
    lost = 'lost'


class Declaration(StrEnum):
    """What the operator changes."""

    key = 'key'
    route = 'route'
    weights = 'weights'
    drain = 'drain'


@dataclass(frozen=True, slots=True)
class Terminate:
    """SIGTERM to a process, which is started again after its end."""

    at: float
    process: str


@dataclass(frozen=True, slots=True)
class Kill:
    """SIGKILL to a process, which is started again after some seconds."""

    at: float
    process: str
    seconds: float


@dataclass(frozen=True, slots=True)
class Pause:
    """SIGSTOP to a process, and SIGCONT after some seconds."""

    at: float
    process: str
    seconds: float


@dataclass(frozen=True, slots=True)
class Reload:
    """SIGHUP to a process whose settings have changed."""

    at: float
    process: str


@dataclass(frozen=True, slots=True)
class HarmLink:
    """LinkFault to the link of a process to the store, or of a backend server to all entries."""

    at: float
    link: str
    harm: LinkFault
    seconds: float


@dataclass(frozen=True, slots=True)
class FailBackend:
    """A fault of a backend server."""

    at: float
    backend: str
    failure: BackendFailure
    seconds: float


@dataclass(frozen=True, slots=True)
class FailStore:
    """A fault of the store."""

    at: float
    failure: StoreFailure
    seconds: float


@dataclass(frozen=True, slots=True)
class Declare:
    """A change by the operator; ``number`` says which one of a kind."""

    at: float
    declaration: Declaration
    number: int


@dataclass(frozen=True, slots=True)
class Overload:
    """Many more callers for some seconds."""

    at: float
    seconds: float


Event = Terminate | Kill | Pause | Reload | HarmLink | FailBackend | FailStore | Declare | Overload


@dataclass(frozen=True, slots=True)
class Size:
    """How large a run is; ``seconds`` is the time of its load."""

    seconds: float = 20
    entries: int = 3
    agents: int = 2
    plain: int = 2
    areas: tuple[Area, ...] = tuple(Area)

    def processes(self) -> list[str]:
        """Return the names of the processes.

        :return: names.
        """
        entries = [f'entry-{number}' for number in range(self.entries)]
        return entries + [f'agent-{number}' for number in range(self.agents)]

    def backends(self) -> list[str]:
        """Return the ids of the backend servers.

        :return: ids.
        """
        models = [f'm-{number}' for number in range(self.agents)]
        return models + [f'p-{number}' for number in range(self.plain)]


#: First fault of a run, in seconds after the load began.
FIRST_S = 1.0
#: Part of the load in which faults begin.
FAULT_PART = 0.5
#: Mean number of faults in a second.
FAULTS_PER_S = 0.8
#: Shortest and longest time that a fault lasts, in seconds.
SHORTEST_S = 0.5
LONGEST_S = 3.0
#: Part of the load that an overload lasts, for each second that another fault would last.
OVERLOAD_PART = 0.13
#: Harms of links that are drawn.
HARMS = tuple(harm for harm in LinkFault if harm is not LinkFault.none)


def make_plan(seed: int, size: Size) -> tuple[Event, ...]:
    """Draw the faults of a run; the same seed and size draw the same ones.

    :param seed: the seed.
    :param size: size of the run.
    :return: events in the order of their times.
    """
    rng = random.Random(f'plan {seed}')
    last_s = FIRST_S + size.seconds * FAULT_PART
    count = max(1, round((last_s - FIRST_S) * FAULTS_PER_S))
    times = sorted(round(rng.uniform(FIRST_S, last_s), 3) for _ in range(count))
    return tuple(_draw(rng, size, at) for at in times)


def _draw(rng: random.Random, size: Size, at: float) -> Event:
    seconds = round(rng.uniform(SHORTEST_S, LONGEST_S), 3)
    process = rng.choice(size.processes())
    backend = rng.choice(size.backends())
    link = rng.choice([*size.backends(), *size.processes()])
    declaration = Declare(at, rng.choice(list(Declaration)), rng.randrange(size.agents))
    choices: dict[Area, tuple[Event, ...]] = {
        Area.stops: (Terminate(at, process),),
        Area.signals: (
            Kill(at, process, seconds),
            Pause(at, process, seconds),
            Reload(at, process),
        ),
        Area.links: tuple(HarmLink(at, link, harm, seconds) for harm in HARMS),
        Area.backends: tuple(FailBackend(at, backend, one, seconds) for one in BackendFailure),
        Area.store: tuple(FailStore(at, one, seconds) for one in StoreFailure),
        Area.changes: (declaration,),
        Area.overload: (Overload(at, round(size.seconds * OVERLOAD_PART * seconds, 3)),),
    }
    return rng.choice(choices[rng.choice(size.areas)])


__all__ = (
    'Area',
    'BackendFailure',
    'Declaration',
    'Declare',
    'Event',
    'FailBackend',
    'FailStore',
    'HarmLink',
    'Kill',
    'Overload',
    'Pause',
    'Reload',
    'Size',
    'StoreFailure',
    'Terminate',
    'make_plan',
)
