"""Wires the parts of an entry that reaches backend servers directly."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from cassiahitch.direct.backends.attempt import AttemptSender
from cassiahitch.direct.backends.buffering import BufferBudget
from cassiahitch.direct.backends.pool import ConnectionPool
from cassiahitch.direct.backends.replicasignals import ReplicaSignals
from cassiahitch.direct.backends.responserelay import ResponseRelay
from cassiahitch.direct.journal import Journal
from cassiahitch.direct.knowledge import Knowledge, make_knowledge
from cassiahitch.direct.members.messaging import EntryMessenger
from cassiahitch.direct.placement.asking import PlaceAsker
from cassiahitch.direct.placement.candidates import Candidates
from cassiahitch.direct.placement.crashwatch import CrashWatch
from cassiahitch.direct.placement.holdoff import HoldOff
from cassiahitch.direct.placement.placement import Placement
from cassiahitch.direct.placement.places import Places
from cassiahitch.direct.requests.budget import RetryBudget
from cassiahitch.direct.requests.filters import RequestFilters
from cassiahitch.direct.requests.runner import Runner
from cassiahitch.metrics.registry import Metrics

if TYPE_CHECKING:
    from cassiahitch.direct.surroundings import EntrySurroundings
    from cassiahitch.settings.direct import DirectEntrySettings


@dataclass(frozen=True, slots=True)
class EntryParts:
    """The parts of an entry."""

    knowledge: Knowledge
    journal: Journal
    candidates: Candidates
    runner: Runner
    messenger: EntryMessenger


def make_parts(
    settings: DirectEntrySettings,
    around: EntrySurroundings,
    incarnation: int,
    rng: random.Random,
) -> EntryParts:
    """Create the parts of an entry; nothing runs yet.

    :param settings: its settings.
    :param around: the platform.
    :param incarnation: number of this start.
    :param rng: source of random choices.
    :return: the parts.
    """
    knowledge = make_knowledge(settings, incarnation, rng)
    journal = Journal(knowledge, Metrics(settings.name))
    signals = ReplicaSignals(HoldOff(rng), ConnectionPool(), journal, settings.longest_pause_s)
    candidates = Candidates(knowledge, Placement(rng), signals.holdoff)
    asker = PlaceAsker(candidates.placement, settings.peer_port)
    asker.leaves = partial(signals.mark_stopping, source='agent')
    runner = make_runner(around, candidates, signals, asker)
    messenger = EntryMessenger(knowledge, asker, journal, rng)
    return EntryParts(knowledge, journal, candidates, runner, messenger)


def make_runner(
    around: EntrySurroundings, candidates: Candidates, signals: ReplicaSignals, asker: PlaceAsker
) -> Runner:
    """Create what runs requests.

    :param around: the platform.
    :param candidates: the replicas to choose from.
    :param signals: what replicas say of themselves.
    :param asker: asks agents for places.
    :return: the runner.
    """
    knowledge = candidates.knowledge
    placement = candidates.placement
    bounds = knowledge.settings.bounds
    budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
    filters = RequestFilters(knowledge, budget, placement.rng)
    response_relay = ResponseRelay(BufferBudget(knowledge.settings.answer_bounds))
    return Runner(
        knowledge=knowledge,
        codec=around.codec,
        filters=filters,
        candidates=candidates,
        places=Places(candidates, placement, asker, placement.rng),
        attempts=AttemptSender(
            signals.pool, around.codec, filters, placement, signals, response_relay
        ),
        budget=budget,
        watch=CrashWatch(knowledge, signals.journal),
        journal=signals.journal,
    )


__all__ = (
    'EntryParts',
    'make_parts',
    'make_runner',
)
