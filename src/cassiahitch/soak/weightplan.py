"""The faults of the area ``weights``: they disturb loads of the engines in all their steps."""

from __future__ import annotations

import random
from collections.abc import Iterator
from itertools import repeat

from cassiahitch.soak.events import (
    AgentCall,
    BackendFailure,
    CorruptChunks,
    Declaration,
    Declare,
    Event,
    ExecuteLate,
    FailBackend,
    KillAtCall,
    Pause,
    SpoilManifests,
)
from cassiahitch.standins.weightservice import ManifestFault

#: Shortest and longest time between two versions, in seconds.
MIN_VERSION_INTERVAL_S = 2.0
MAX_VERSION_INTERVAL_S = 12.0
#: Time between two versions in quick succession, in seconds, and the share of such pairs.
SHORT_VERSION_INTERVAL_S = 0.5
SHORT_INTERVAL_SHARE = 0.4
#: Mean seconds between two faults of one kind, for each agent or its engine.
KILL_INTERVAL_S = 5.0
PAUSE_INTERVAL_S = 15.0
SILENCE_INTERVAL_S = 12.0
CORRUPTION_INTERVAL_S = 5.0
#: Calls at which agents are killed, most often orders.
KILLING_CALLS = (AgentCall.order, AgentCall.order, AgentCall.order, AgentCall.upload)
#: Most kills in a row.
MAX_KILLS = 3
#: Longest time between a call and the kill, and between a start and the next kill, in seconds.
MAX_FIRST_KILL_DELAY_S = 0.1
MAX_NEXT_KILL_DELAY_S = 1.5
#: Seconds for which an event waits for the call at which an agent is killed.
CALL_TIMEOUT_S = 5.0
#: Shortest and longest pause of an agent, in seconds.
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 2.5
#: Shortest and longest silence of an engine, in seconds.
MIN_SILENCE_S = 0.2
MAX_SILENCE_S = 1.0
#: Most chunks that turn corrupt at a time.
MAX_CORRUPT_CHUNKS = 3
#: Mean seconds between two series of faulty manifests, and the most manifests of a series.
SPOILT_INTERVAL_S = 6.0
MAX_SPOILT_MANIFESTS = 6


def draw_weights(
    rng: random.Random, first_s: float, latest_s: float, agents: int, chunks: int
) -> list[Event]:
    """Draw versions of the weights in succession, and faults of agents and engines meanwhile.

    :param rng: random choices.
    :param first_s: earliest fault, in seconds after the start of the load.
    :param latest_s: latest fault, in seconds after the start of the load.
    :param agents: number of agents.
    :param chunks: number of chunks of each version.
    :return: events.
    """
    events: list[Event] = [
        ExecuteLate(first_s, round(latest_s - first_s, 3), rng.randrange(2**32)),
        *(Declare(at, Declaration.weights, 0) for at in _version_times(rng, first_s, latest_s)),
    ]
    for number in range(agents):
        events.extend(_draw_kills(rng, first_s, latest_s, number))
        events.extend(_draw_stalls(rng, first_s, latest_s, number))
        for at in _times(rng, CORRUPTION_INTERVAL_S, first_s, latest_s):
            count = rng.randint(1, min(MAX_CORRUPT_CHUNKS, chunks))
            positions = tuple(sorted(rng.sample(range(chunks), count)))
            events.append(CorruptChunks(at, f'm-{number}', positions))
    events.extend(_draw_spoilt_manifests(rng, first_s, latest_s))
    return events


def _draw_spoilt_manifests(rng: random.Random, first_s: float, latest_s: float) -> Iterator[Event]:
    # Drawn from a copy, so that the other events of a seed stay as they were without these.
    copy = random.Random()
    copy.setstate(rng.getstate())
    for at in _times(copy, SPOILT_INTERVAL_S, first_s, latest_s):
        count = copy.randint(1, MAX_SPOILT_MANIFESTS)
        yield SpoilManifests(at, count, copy.choice(tuple(ManifestFault)))


def _draw_kills(
    rng: random.Random, first_s: float, latest_s: float, number: int
) -> Iterator[Event]:
    # The event waits for the call, and the faults are to end soon after the latest one.
    for at in _times(rng, KILL_INTERVAL_S, first_s, max(first_s, latest_s - CALL_TIMEOUT_S)):
        call = rng.choice(KILLING_CALLS)
        further = rng.randrange(MAX_KILLS)
        delays_s = (
            _seconds(rng, 0, MAX_FIRST_KILL_DELAY_S),
            *(_seconds(rng, 0, MAX_NEXT_KILL_DELAY_S) for _ in repeat(None, further)),
        )
        yield KillAtCall(at, f'agent-{number}', f'm-{number}', call, delays_s)


def _draw_stalls(
    rng: random.Random, first_s: float, latest_s: float, number: int
) -> Iterator[Event]:
    for at in _times(rng, PAUSE_INTERVAL_S, first_s, latest_s):
        yield Pause(at, f'agent-{number}', _seconds(rng, MIN_PAUSE_S, MAX_PAUSE_S))
    for at in _times(rng, SILENCE_INTERVAL_S, first_s, latest_s):
        seconds = _seconds(rng, MIN_SILENCE_S, MAX_SILENCE_S)
        yield FailBackend(at, f'm-{number}', BackendFailure.silent, seconds)


def _version_times(rng: random.Random, first_s: float, latest_s: float) -> Iterator[float]:
    at = first_s
    while at <= latest_s:
        yield round(at, 3)
        is_short = rng.random() < SHORT_INTERVAL_SHARE
        interval_s = _seconds(rng, MIN_VERSION_INTERVAL_S, MAX_VERSION_INTERVAL_S)
        at += SHORT_VERSION_INTERVAL_S if is_short else interval_s


def _times(rng: random.Random, interval_s: float, first_s: float, latest_s: float) -> list[float]:
    count = max(1, round((latest_s - first_s) / interval_s))
    return [_seconds(rng, first_s, latest_s) for _ in repeat(None, count)]


def _seconds(rng: random.Random, shortest: float, longest: float) -> float:
    return round(rng.uniform(shortest, longest), 3)


__all__ = (
    'CALL_TIMEOUT_S',
    'draw_weights',
)
