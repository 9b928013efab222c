"""Creates and connects the parts of an entry."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from cassiahitch.direct.backends.attempt import AttemptSender
from cassiahitch.direct.backends.buffering import BufferBudget
from cassiahitch.direct.backends.pool import ConnectionPool
from cassiahitch.direct.backends.replicasignals import ReplicaSignals
from cassiahitch.direct.backends.responserelay import ResponseRelay
from cassiahitch.direct.entrystate import EntryState, make_entry_state
from cassiahitch.direct.members.messaging import EntryMessenger
from cassiahitch.direct.placement.availability import ReplicaAvailability
from cassiahitch.direct.placement.candidates import CandidateFilter
from cassiahitch.direct.placement.crashdetector import CrashDetector
from cassiahitch.direct.placement.permits import PermitClient
from cassiahitch.direct.placement.placement import Placement
from cassiahitch.direct.placement.plainsearch import PlainSearch
from cassiahitch.direct.placement.reservation import ReservationClient
from cassiahitch.direct.placement.search import PlacementSearch
from cassiahitch.direct.requests.budget import RetryBudget
from cassiahitch.direct.requests.filters import RequestFilters
from cassiahitch.direct.requests.runner import RequestRunner
from cassiahitch.direct.telemetry import Telemetry
from cassiahitch.metrics.registry import Metrics

if TYPE_CHECKING:
    from cassiahitch.direct.platformapi import EntryPlatform
    from cassiahitch.direct.state.ratelimits import LimitObservation
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.settings.direct import DirectEntrySettings


#: Largest number of the first query of an entry.
MAX_FIRST_QUERY_NUMBER = 2**24


@dataclass(frozen=True, slots=True)
class EntryParts:
    """The parts of an entry that its process and its tests use."""

    entry_state: EntryState
    telemetry: Telemetry
    candidates: CandidateFilter
    runner: RequestRunner
    messenger: EntryMessenger


def make_parts(
    settings: DirectEntrySettings,
    platform: EntryPlatform,
    incarnation: int,
    rng: random.Random,
) -> EntryParts:
    """Create the parts of an entry; nothing runs yet.

    :param settings: settings of the entry.
    :param platform: interface to the platform.
    :param incarnation: number of this start of the entry, higher than that of all earlier ones.
    :param rng: source of random choices.
    :return: the parts.
    """
    entry_state = make_entry_state(settings, incarnation, rng)
    telemetry = Telemetry(entry_state, Metrics(settings.name))
    signals = ReplicaSignals(
        ReplicaAvailability(rng),
        ConnectionPool(),
        telemetry,
        settings.longest_pause_s,
        entry_state.rate_limits,
        entry_state.evacuations,
    )
    candidates = CandidateFilter(entry_state, Placement(rng), signals.availability)
    candidates.placement.costs.learns = settings.place_by_cost
    # An earlier incarnation used other numbers, so that late replies to it match no query.
    first_number = rng.randrange(1, MAX_FIRST_QUERY_NUMBER)
    reservations = ReservationClient(
        candidates.placement,
        settings.peer_port,
        query_numbers=itertools.count(first_number),
        rate_limits=entry_state.rate_limits,
    )
    reservations.on_stopping = partial(signals.mark_stopping, source='agent')
    permits = PermitClient(entry_state, reservations.query_numbers)
    entry_state.rate_limits.cold.on_cold = telemetry.replica_cold
    entry_state.rate_limits.on_change = partial(publish_limit, telemetry, permits)
    runner = make_runner(platform, candidates, signals, reservations, permits)
    messenger = EntryMessenger(entry_state, reservations, permits, telemetry, rng)
    return EntryParts(entry_state, telemetry, candidates, runner, messenger)


def publish_limit(
    telemetry: Telemetry,
    permits: PermitClient,
    replica: Replica,
    before: LimitObservation,
    source: str,
) -> None:
    """Log a change of the rate limit of a replica, and send it to the agent that limits its rate.

    :param telemetry: writes the log line.
    :param permits: sends the notice.
    :param replica: the replica.
    :param before: the limit that applied before.
    :param source: where the change was observed; agents know those that they have sent.
    """
    telemetry.rate_limit_changed(replica, before, source)
    if source == 'answer':
        permits.send_notice(replica)


def make_runner(
    platform: EntryPlatform,
    candidates: CandidateFilter,
    signals: ReplicaSignals,
    reservations: ReservationClient,
    permits: PermitClient,
) -> RequestRunner:
    """Create the runner of requests.

    :param platform: interface to the platform.
    :param candidates: selects the replicas that a request may be sent to.
    :param signals: keeps the shutdown and pause announcements of replicas.
    :param reservations: reserves slots at agents.
    :param permits: requests permits for limited plain replicas.
    :return: the runner.
    """
    entry_state = candidates.entry_state
    placement = candidates.placement
    bounds = entry_state.settings.bounds
    budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
    filters = RequestFilters(entry_state, budget, placement.rng)
    plain_search = PlainSearch(placement, entry_state.rate_limits, permits, placement.rng)
    response_relay = ResponseRelay(BufferBudget(entry_state.settings.response_limits))
    placement_search = PlacementSearch(
        candidates, placement, reservations, plain_search, placement.rng
    )
    placement_search.overload.applies_to = entry_state.is_ranked
    return RequestRunner(
        entry_state=entry_state,
        codec=platform.codec,
        filters=filters,
        candidates=candidates,
        placement_search=placement_search,
        attempts=AttemptSender(
            signals.pool,
            platform.codec,
            filters,
            placement,
            signals,
            response_relay,
            reservations,
            entry_state.versions,
        ),
        budget=budget,
        crash_detector=CrashDetector(entry_state, signals.telemetry),
        telemetry=signals.telemetry,
    )


__all__ = (
    'EntryParts',
    'make_parts',
    'make_runner',
)
