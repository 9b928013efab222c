"""The state that an entry decides by: configuration, replicas, versions and other entries."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.members.gossip import Gossip
from cassiahitch.direct.members.gossipmessages import Piggyback
from cassiahitch.direct.members.memberregistry import MemberRegistry
from cassiahitch.direct.members.regions import RegionRegistry
from cassiahitch.direct.placement.crashguard import CrashGuard
from cassiahitch.direct.placement.limiterchoice import LimiterDirectory
from cassiahitch.direct.placement.segmentguard import SegmentGuard
from cassiahitch.direct.placement.segmentsharing import SegmentSharing
from cassiahitch.direct.state.coldshares import ColdShares
from cassiahitch.direct.state.evacuations import EvacuationRegistry
from cassiahitch.direct.state.freshness import Freshness, boot_time
from cassiahitch.direct.state.ratelimits import RateLimitRegistry
from cassiahitch.direct.state.replicas import ReplicaRegistry
from cassiahitch.direct.state.versions import VersionPolicy
from cassiahitch.wire.datagrammessages import MemberState

if TYPE_CHECKING:
    from cassiahitch.direct.state.catalogue import Catalogue
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.settings.direct import DirectEntrySettings

#: Capacity is announced in hundredths of a core.
UNITS_PER_CORE = 100


@dataclass(slots=True)
class EntryState:
    """The state of one entry.

    ``catalogue`` is the configuration in force, None before the first one. ``crashes`` keeps the
    requests that crashed backend servers, ``segments`` the evidence on prompt segments that crash
    engines, and ``segment_sharing`` exchanges it. ``rate_limits`` keeps the limits that replicas
    named, and ``limiters`` the agents that grant permits for limited plain replicas.
    ``evacuations`` keeps the failure domains to whose replicas no request may be sent.
    ``replicas_loaded`` is set once the list of replicas was read, ``stopping`` once the shutdown of
    this entry has begun.
    """

    settings: DirectEntrySettings
    freshness: Freshness
    versions: VersionPolicy
    members: Gossip
    limiters: LimiterDirectory
    segment_sharing: SegmentSharing
    replicas: ReplicaRegistry = field(default_factory=ReplicaRegistry)
    crashes: CrashGuard = field(default_factory=CrashGuard)
    rate_limits: RateLimitRegistry = field(default_factory=RateLimitRegistry)
    evacuations: EvacuationRegistry = field(default_factory=EvacuationRegistry)
    catalogue: Catalogue | None = None
    replicas_loaded: bool = False
    stopping: bool = False

    def apply_configuration(self, catalogue: Catalogue) -> bool:
        """Apply a configuration if it is newer than the one in force.

        :param catalogue: the configuration.
        :return: whether it was applied.
        """
        if self.catalogue is not None and catalogue.version <= self.catalogue.version:
            return False
        self.catalogue = catalogue
        self.rate_limits.cold.rates = catalogue.cold_rates()
        return True

    def is_ready(self, boot_now: float) -> bool:
        """Return whether this entry can serve requests.

        :param boot_now: current time of the boot clock, in seconds.
        :return: whether callers may be directed to it.
        """
        loaded = self.catalogue is not None and self.replicas_loaded
        return loaded and not self.stopping and self.is_configuration_fresh(boot_now)

    def is_configuration_fresh(self, boot_now: float) -> bool:
        """Return whether the configuration is recent enough for what it decides.

        :param boot_now: current time of the boot clock, in seconds.
        :return: whether it may decide which keys are accepted, and which regions are excluded.
        """
        if self.restricts_regions:
            return self.freshness.is_current(boot_now)
        return self.freshness.is_valid(boot_now)

    @property
    def restricts_regions(self) -> bool:
        """Whether the configuration excludes regions for some requests."""
        return self.catalogue is not None and self.catalogue.restricts_regions

    def is_in_own_region(self, failure_domain: str) -> bool:
        """Return whether a failure domain is in the region of this entry.

        :param failure_domain: name of the failure domain.
        :return: whether it is.
        """
        return self.region_of(failure_domain) == self.settings.region

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain.

        :param failure_domain: name of the failure domain.
        :return: name of the region, empty if it is unknown.
        """
        return self.settings.regions.get(failure_domain, '')

    def is_ranked(self, service: str) -> bool:
        """Return whether the routes of a service differ in priority.

        :param service: name of the service.
        :return: whether the configuration says which of its requests come first.
        """
        return self.catalogue is not None and service in self.catalogue.ranked_services

    def is_engine(self, replica: Replica) -> bool:
        """Return whether a replica is a model engine, so that an agent runs on its host.

        :param replica: the replica.
        :return: whether the configuration names an engine for its service.
        """
        service = self.catalogue.services.get(replica.service) if self.catalogue else None
        return service is not None and service.engine is not None

    def choose_limiters(self, boot_now: float) -> None:
        """Choose the agents that limit plain replicas, after a change of the replicas.

        :param boot_now: current time of the boot clock, in seconds.
        """
        services = self.catalogue.services_by_model().values() if self.catalogue else ()
        names = [service.name for service in services]
        self.limiters.update(self.replicas.replicas.values(), names, boot_now)

    def record_entry_count(self, now: float) -> None:
        """Record the number of live entries, by which the share of a cold rate is computed.

        :param now: current time in seconds.
        """
        self.rate_limits.shares.counts.record(self.live_entries(now), now)

    @property
    def segments(self) -> SegmentGuard:
        """The evidence on prompt segments that crash engines."""
        return self.segment_sharing.guard

    def live_entries(self, now: float) -> int:
        """Return the number of live entries in all regions.

        :param now: current time of the event loop's clock, in seconds.
        :return: their number, including this entry.
        """
        return self.members.entry_count(now)


def make_entry_state(
    settings: DirectEntrySettings, incarnation: int, rng: random.Random
) -> EntryState:
    """Create the state of an entry at its start.

    :param settings: settings of the entry.
    :param incarnation: number of this start of the entry, higher than that of all earlier ones.
    :param rng: chooses the entries that gossip is sent to.
    :return: a state without configuration, replicas and other entries.
    """
    own_state = MemberState(
        name=settings.name,
        incarnation=incarnation,
        address=settings.callers.address,
        http_port=settings.callers.port,
        region=settings.region,
        capacity=round(settings.processors * settings.processor_share * UNITS_PER_CORE),
    )
    versions = VersionPolicy(settings.bounds.weights_s)
    crashes = CrashGuard()
    rate_limits = RateLimitRegistry(rng, shares=ColdShares(rng))
    segment_sharing = SegmentSharing(SegmentGuard())
    records_to_send = Piggyback(
        crashes.records_to_send,
        lambda _: versions.records(boot_time()),
        rate_limits.records_to_send,
        segment_sharing.crash_records,
        segment_sharing.sound_records,
    )
    return EntryState(
        settings,
        Freshness(settings.bounds.revoked_key_s, settings.bounds.configuration_s),
        versions,
        Gossip(MemberRegistry(own_state), RegionRegistry(settings.region), records_to_send, rng),
        LimiterDirectory(lambda domain: settings.regions.get(domain, '')),
        segment_sharing,
        crashes=crashes,
        rate_limits=rate_limits,
    )


__all__ = (
    'EntryState',
    'make_entry_state',
)
