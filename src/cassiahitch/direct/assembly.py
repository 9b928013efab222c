"""Wires the parts of an entry that reaches backend servers directly."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from cassiahitch.direct.backends.attempt import Attempts
from cassiahitch.direct.backends.hearing import Hearing
from cassiahitch.direct.backends.holding import Holding
from cassiahitch.direct.backends.passing import Passing
from cassiahitch.direct.backends.pool import ConnectionPool
from cassiahitch.direct.entrystate import EntryState, make_entry_state
from cassiahitch.direct.members.beating import EntryBeats
from cassiahitch.direct.placement.asking import PlaceAsker
from cassiahitch.direct.placement.candidates import Candidates
from cassiahitch.direct.placement.crashwatch import CrashWatch
from cassiahitch.direct.placement.holdoff import HoldOff
from cassiahitch.direct.placement.placement import Placement
from cassiahitch.direct.placement.places import Places
from cassiahitch.direct.requests.budget import RetryBudget
from cassiahitch.direct.requests.filters import RequestFilters
from cassiahitch.direct.requests.runner import Runner
from cassiahitch.direct.telemetry import Telemetry
from cassiahitch.metrics.registry import Metrics

if TYPE_CHECKING:
    from cassiahitch.direct.platformapi import EntryPlatform
    from cassiahitch.settings.direct import DirectEntrySettings


@dataclass(frozen=True, slots=True)
class EntryParts:
    """The parts of an entry."""

    entry_state: EntryState
    telemetry: Telemetry
    candidates: Candidates
    runner: Runner
    beats: EntryBeats


def make_parts(
    settings: DirectEntrySettings,
    platform: EntryPlatform,
    incarnation: int,
    rng: random.Random,
) -> EntryParts:
    """Create the parts of an entry; nothing runs yet.

    :param settings: its settings.
    :param platform: the platform.
    :param incarnation: number of this start.
    :param rng: source of random choices.
    :return: the parts.
    """
    entry_state = make_entry_state(settings, incarnation, rng)
    telemetry = Telemetry(entry_state, Metrics(settings.name))
    hearing = Hearing(HoldOff(rng), ConnectionPool(), telemetry, settings.longest_pause_s)
    candidates = Candidates(entry_state, Placement(rng), hearing.holdoff)
    asker = PlaceAsker(candidates.placement, settings.peer_port)
    asker.leaves = partial(hearing.leaves, source='agent')
    runner = make_runner(platform, candidates, hearing, asker)
    beats = EntryBeats(entry_state, asker, telemetry, rng)
    return EntryParts(entry_state, telemetry, candidates, runner, beats)


def make_runner(
    platform: EntryPlatform, candidates: Candidates, hearing: Hearing, asker: PlaceAsker
) -> Runner:
    """Create what runs requests.

    :param platform: the platform.
    :param candidates: the replicas to choose from.
    :param hearing: what replicas say of themselves.
    :param asker: asks agents for places.
    :return: the runner.
    """
    entry_state = candidates.entry_state
    placement = candidates.placement
    bounds = entry_state.settings.bounds
    budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
    filters = RequestFilters(entry_state, budget, placement.rng)
    passing = Passing(Holding(entry_state.settings.answer_bounds))
    return Runner(
        entry_state=entry_state,
        codec=platform.codec,
        filters=filters,
        candidates=candidates,
        places=Places(candidates, placement, asker, placement.rng),
        attempts=Attempts(hearing.pool, platform.codec, filters, placement, hearing, passing),
        budget=budget,
        watch=CrashWatch(entry_state, hearing.telemetry),
        telemetry=hearing.telemetry,
    )


__all__ = (
    'EntryParts',
    'make_parts',
    'make_runner',
)
