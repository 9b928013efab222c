"""What one entry believes, joined for the decisions about a request."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.members.gossip import Gossip, Piggyback
from cassiahitch.direct.members.memberregistry import MemberRegistry
from cassiahitch.direct.members.regions import RegionRegistry
from cassiahitch.direct.placement.crashguard import CrashGuard
from cassiahitch.direct.state.freshness import Freshness
from cassiahitch.direct.state.replicas import ReplicaRegistry
from cassiahitch.direct.state.versions import VersionPolicy
from cassiahitch.wire.datagrammessages import MemberState

if TYPE_CHECKING:
    from cassiahitch.direct.state.catalogue import Catalogue
    from cassiahitch.settings.direct import DirectEntrySettings

PERCENT = 100


@dataclass(slots=True)
class EntryState:
    """Configuration, replicas, versions, other entries and suspects."""

    settings: DirectEntrySettings
    freshness: Freshness
    versions: VersionPolicy
    members: Gossip
    replicas: ReplicaRegistry = field(default_factory=ReplicaRegistry)
    crashes: CrashGuard = field(default_factory=CrashGuard)
    catalogue: Catalogue | None = None
    replicas_loaded: bool = False
    stopping: bool = False

    def apply(self, catalogue: Catalogue) -> bool:
        """Put a configuration in force unless it is older than the one in force.

        :param catalogue: the configuration.
        :return: whether it is in force now.
        """
        if self.catalogue is not None and catalogue.version <= self.catalogue.version:
            return False
        self.catalogue = catalogue
        return True

    def is_ready(self, boot_now: float) -> bool:
        """Tell whether requests can be served.

        :param boot_now: seconds of the boot clock.
        :return: whether callers may be sent here.
        """
        known = self.catalogue is not None and self.replicas_loaded
        return known and not self.stopping and self.freshness.is_valid(boot_now)

    def is_in_own_region(self, failure_domain: str) -> bool:
        """Tell whether a failure domain is in the own region.

        :param failure_domain: the failure domain.
        :return: whether it is.
        """
        return self.settings.regions.get(failure_domain) == self.settings.region

    def live_entries(self, now: float) -> int:
        """Return how many entries are live.

        :param now: seconds.
        :return: their number, with the own one.
        """
        return self.members.entry_count(now)


def make_entry_state(
    settings: DirectEntrySettings, incarnation: int, rng: random.Random
) -> EntryState:
    """Create what an entry believes at its start.

    :param settings: its settings.
    :param incarnation: number of this start.
    :param rng: chooses the entries that it speaks to.
    :return: nothing but bounds.
    """
    own = MemberState(
        name=settings.name,
        incarnation=incarnation,
        address=settings.callers.address,
        http_port=settings.callers.port,
        region=settings.region,
        capacity=round(settings.processors * settings.processor_share * PERCENT),
    )
    versions = VersionPolicy(settings.bounds.weights_s)
    crashes = CrashGuard()
    records_to_send = Piggyback(crashes.records_to_send, versions.records)
    return EntryState(
        settings,
        Freshness(settings.bounds.revoked_key_s),
        versions,
        Gossip(MemberRegistry(own), RegionRegistry(settings.region), records_to_send, rng),
        crashes=crashes,
    )


__all__ = (
    'EntryState',
    'make_entry_state',
)
