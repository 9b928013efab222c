"""The plan of a run: faults as typed events, drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from cassiahitch.soak.events import (
    Area,
    BackendFailure,
    CrashByPrompts,
    Declaration,
    Declare,
    Event,
    FailBackend,
    FailStore,
    HarmLink,
    Kill,
    Overload,
    Pause,
    Reload,
    RollOutLate,
    StoreFailure,
    Terminate,
)
from cassiahitch.soak.proxy import LinkFault
from cassiahitch.soak.records import Bounds
from cassiahitch.soak.weightplan import draw_weights
from cassiahitch.standins.configurations import CHUNK_BYTES, CHUNK_COUNT


@dataclass(frozen=True, slots=True)
class Size:
    """Size of a run; ``seconds`` is the duration of its load, ``plain`` counts plain backends.

    ``chunks`` and ``chunk_bytes`` are the number of chunks of each version and their size.
    """

    seconds: float = 20
    entries: int = 3
    agents: int = 2
    plain: int = 2
    areas: tuple[Area, ...] = tuple(Area)
    chunks: int = CHUNK_COUNT
    chunk_bytes: int = CHUNK_BYTES

    def processes(self) -> list[str]:
        """Return the names of the entries and agents.

        :return: process names.
        """
        entries = [f'entry-{number}' for number in range(self.entries)]
        return entries + [f'agent-{number}' for number in range(self.agents)]

    def backends(self) -> list[str]:
        """Return the names of the model engines and of the plain backend servers.

        :return: names of the backend servers.
        """
        return self.engines() + [f'p-{number}' for number in range(self.plain)]

    def engines(self) -> list[str]:
        """Return the names of the model engines.

        :return: names of the engines.
        """
        return [f'm-{number}' for number in range(self.agents)]


#: Earliest fault of a run, in seconds after the start of the load.
FIRST_FAULT_S = 1.0
#: Fraction of the load in which faults begin.
FAULT_FRACTION = 0.5
#: Mean number of faults per second.
FAULTS_PER_S = 0.8
#: Shortest and longest duration of a fault, in seconds.
MIN_FAULT_S = 0.5
MAX_FAULT_S = 3.0
#: Mean number of rate limits per second.
LIMITS_PER_S = 0.1
#: Earliest and latest start of prompts that crash engines, and their longest duration, in seconds.
MIN_PROMPTS_START_S = 5.0
MAX_PROMPTS_START_S = 6.0
MAX_PROMPTS_S = 14.0
#: Latest start of a rollout whose weights can be loaded only after the bound, in seconds.
MAX_ROLLOUT_START_S = 2.0
#: Seconds by which such weights miss the bound.
ROLLOUT_DELAY_S = 1.5
#: Shortest and longest silence of a backend server, in seconds.
MIN_SILENCE_S = 0.8
MAX_SILENCE_S = 1.5
#: Smallest part of a silence around the bound of a rollout that lies before the bound.
MIN_SILENCE_LEAD = 0.5
#: Mean number of faulty or unusual ends of responses per second.
ENDINGS_PER_S = 0.3
#: Mean number of times per second that all engines break streams off.
BROKEN_ENDS_PER_S = 0.2
#: Faults of the area ``endings`` for any backend server, and those for streams.
ANY_ENDINGS = (BackendFailure.unframed, BackendFailure.repeat_refusal)
STREAM_ENDINGS = (BackendFailure.half_event, BackendFailure.fail_resumed)
#: Duration of an overload, as a fraction of the load for each second of the drawn duration.
OVERLOAD_FRACTION = 0.13
#: Faults of links from which a plan is drawn.
LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.none)


def make_plan(seed: int, size: Size) -> tuple[Event, ...]:
    """Draw the faults of a run; the same seed and size always give the same faults.

    :param seed: seed of the random choices.
    :param size: size of the run.
    :return: events in the order of their times.
    """
    rng = random.Random(f'plan {seed}')
    latest_s = FIRST_FAULT_S + size.seconds * FAULT_FRACTION
    count = max(1, round((latest_s - FIRST_FAULT_S) * FAULTS_PER_S))
    times = sorted(round(rng.uniform(FIRST_FAULT_S, latest_s), 3) for _ in range(count))
    areas = tuple(area for area in size.areas if area not in SEPARATE_AREAS)
    faults = [_draw(rng, size, areas, at) for at in times] if areas else []
    for area, draw in SEPARATE_AREAS.items():
        if area in size.areas:
            faults.extend(draw(random.Random(f'{area} {seed}'), size))
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _draw_limits(rng: random.Random, size: Size) -> list[Event]:
    count = max(1, round(size.seconds * LIMITS_PER_S))
    return [
        FailBackend(
            round(rng.uniform(FIRST_FAULT_S, FIRST_FAULT_S + size.seconds * FAULT_FRACTION), 3),
            rng.choice(size.backends()),
            BackendFailure.limit,
            round(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), 3),
        )
        for _ in range(count)
    ]


def _draw_prompts(rng: random.Random, size: Size) -> list[Event]:
    at = round(rng.uniform(MIN_PROMPTS_START_S, MAX_PROMPTS_START_S), 3)
    at = min(at, FIRST_FAULT_S + size.seconds * FAULT_FRACTION)
    return [CrashByPrompts(at, min(MAX_PROMPTS_S, max(0, size.seconds - at)))]


def _draw_silences(rng: random.Random, size: Size) -> list[Event]:
    at = rng.uniform(FIRST_FAULT_S, FIRST_FAULT_S + size.seconds * FAULT_FRACTION)
    faults: list[Event] = [
        _silence(at, rng.choice(size.backends()), rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S))
    ]
    rollout_at = round(rng.uniform(FIRST_FAULT_S, MAX_ROLLOUT_START_S), 3)
    bound_s = Bounds().weights_s
    if rollout_at + bound_s + MAX_SILENCE_S > size.seconds:
        return faults
    faults.append(RollOutLate(rollout_at, bound_s + ROLLOUT_DELAY_S))
    for engine in size.engines():
        seconds = rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
        lead_s = seconds * rng.uniform(MIN_SILENCE_LEAD, 1)
        faults.append(_silence(rollout_at + bound_s - lead_s, engine, seconds))
    return faults


def _silence(at: float, backend: str, seconds: float) -> FailBackend:
    return FailBackend(round(at, 3), backend, BackendFailure.silent, round(seconds, 3))


def _draw_weights(rng: random.Random, size: Size) -> list[Event]:
    return draw_weights(
        rng, FIRST_FAULT_S, FIRST_FAULT_S + size.seconds * FAULT_FRACTION, size.agents, size.chunks
    )


def _draw_endings(rng: random.Random, size: Size) -> list[Event]:
    count = max(1, round(size.seconds * ENDINGS_PER_S))
    return [fault for _ in range(count) for fault in _draw_ending(rng, size)]


def _draw_ending(rng: random.Random, size: Size) -> list[Event]:
    at = round(rng.uniform(FIRST_FAULT_S, FIRST_FAULT_S + size.seconds * FAULT_FRACTION), 3)
    seconds = round(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), 3)
    failure = rng.choice((*ANY_ENDINGS, *STREAM_ENDINGS))
    if failure is BackendFailure.fail_resumed:
        return [FailBackend(at, engine, failure, seconds) for engine in size.engines()]
    backends = size.engines() if failure in STREAM_ENDINGS else size.backends()
    return [FailBackend(at, rng.choice(backends), failure, seconds)]


def _draw_broken_ends(rng: random.Random, size: Size) -> list[Event]:
    count = max(1, round(size.seconds * BROKEN_ENDS_PER_S))
    latest_s = FIRST_FAULT_S + size.seconds * FAULT_FRACTION
    faults: list[Event] = []
    for _ in range(count):
        at = round(rng.uniform(FIRST_FAULT_S, latest_s), 3)
        seconds = round(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), 3)
        faults += [
            FailBackend(at, engine, BackendFailure.break_off, seconds) for engine in size.engines()
        ]
    return faults


_DrawFaults = Callable[[random.Random, Size], list[Event]]

#: Faults of backend servers that belong to such areas.
SEPARATE_FAILURES = frozenset(
    (
        BackendFailure.limit,
        BackendFailure.silent,
        BackendFailure.break_off,
        *ANY_ENDINGS,
        *STREAM_ENDINGS,
    )
)
#: Areas whose faults are drawn on their own, so that the other faults of a seed do not depend on
#: them.
SEPARATE_AREAS: Mapping[Area, _DrawFaults] = MappingProxyType(
    {
        Area.limits: _draw_limits,
        Area.prompts: _draw_prompts,
        Area.silences: _draw_silences,
        Area.endings: _draw_endings,
        Area.weights: _draw_weights,
        Area.broken_ends: _draw_broken_ends,
    }
)


def _draw(rng: random.Random, size: Size, areas: tuple[Area, ...], at: float) -> Event:
    seconds = round(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), 3)
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
        Area.links: tuple(HarmLink(at, link, fault, seconds) for fault in LINK_FAULTS),
        Area.backends: tuple(
            FailBackend(at, backend, failure, seconds)
            for failure in BackendFailure
            if failure not in SEPARATE_FAILURES
        ),
        Area.store: tuple(FailStore(at, failure, seconds) for failure in StoreFailure),
        Area.changes: (declaration,),
        Area.overload: (Overload(at, round(size.seconds * OVERLOAD_FRACTION * seconds, 3)),),
    }
    return rng.choice(choices[rng.choice(areas)])


__all__ = (
    'SEPARATE_AREAS',
    'Size',
    'make_plan',
)
