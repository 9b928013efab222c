"""The tables of the store that an entry follows, and who shares them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.members.tablerelay import TableRelay, choose_readers
from cassiahitch.direct.state.feed import TableFeed
from cassiahitch.direct.state.follower import TableFollower
from cassiahitch.direct.state.updater import StateUpdater
from cassiahitch.util.endpoints import Endpoint

if TYPE_CHECKING:
    from cassiahitch.direct.assembly import EntryParts
    from cassiahitch.direct.platformapi import EntryPlatform
    from cassiahitch.settings.direct import DirectEntrySettings
    from cassiahitch.stores.http_client import HttpClient

#: Longest wait for a change of the declarations, as a part of the bound on revoked keys.
DECLARATION_WAIT_PART = 0.38
#: Longest wait for a change of the replicas, and least time between two reads, in seconds.
REPLICA_WAIT_S = 0.35
REPLICA_INTERVAL_S = 0.5
#: The same, as a part of the bound on configurations: others rely on what this entry has seen.
CONFIGURATION_WAIT_PART = 0.2
#: Pause after declarations that brought a large change, in seconds.
DECLARATION_INTERVAL_S = 0.95
#: Oldest knowledge of another entry that is taken, as a part of the bound on configurations, or
#: on draining replicas.
RELAYED_PART = 0.5


@dataclass(slots=True)
class EntryTableFollowers:
    """Makes the followers of an entry."""

    settings: DirectEntrySettings
    platform: EntryPlatform
    parts: EntryParts
    updater: StateUpdater
    rng: random.Random

    def relay(self, caller: HttpClient) -> TableRelay:
        """Make the relay between this entry and others, with the followers that it serves.

        :param caller: makes the calls to other entries.
        :return: the relay.
        """
        relay = TableRelay(self.readers, self.subscribers, caller)
        followers = (self.declarations(relay), self.replicas(relay))
        relay.followers.update({one.table: one for one in followers})
        return relay

    def readers(self) -> tuple[Endpoint, ...]:
        """Return the entries that read the tables for this one.

        :return: their addresses; none if this entry is a reader itself.
        """
        near = {
            member.name: member.address
            for member in self.parts.entry_state.members.registry.live_members()
            if not member.leaving
        }
        names = choose_readers((self.settings.name, *near))
        if self.settings.name in names:
            return ()
        return tuple(Endpoint(near[name], self.settings.peer_port) for name in names)

    def subscribers(self) -> tuple[Endpoint, ...]:
        """Return the processes of the region that get news from a reader.

        :return: the addresses of entries and agents.
        """
        entry_state = self.parts.entry_state
        addresses = [member.address for member in entry_state.members.registry.live_members()]
        services = entry_state.catalogue.services_by_model() if entry_state.catalogue else {}
        addresses += [
            replica.endpoint.address
            for replica in entry_state.replicas.replicas.values()
            if replica.service in services and entry_state.is_in_own_region(replica.failure_domain)
        ]
        return tuple(Endpoint(address, self.settings.peer_port) for address in addresses)

    def declarations(self, relay: TableRelay) -> TableFollower:
        """Make the follower of what the operator declares.

        :param relay: the relay.
        :return: the follower.
        """
        bounds = self.settings.bounds
        return TableFollower(
            self.platform.store,
            self.platform.tables.operator,
            TableFeed(self.rng, large_change_interval_s=DECLARATION_INTERVAL_S),
            self.updater.apply_declarations,
            self.parts.telemetry,
            min(
                bounds.revoked_key_s * DECLARATION_WAIT_PART,
                bounds.configuration_s * CONFIGURATION_WAIT_PART,
            ),
            relay,
            bounds.configuration_s * RELAYED_PART,
        )

    def replicas(self, relay: TableRelay) -> TableFollower:
        """Make the follower of the list of backend servers.

        :param relay: the relay.
        :return: the follower.
        """
        return TableFollower(
            self.platform.store,
            self.platform.tables.replicas,
            TableFeed(self.rng, REPLICA_INTERVAL_S),
            self.updater.apply_replicas,
            self.parts.telemetry,
            REPLICA_WAIT_S,
            relay,
            self.settings.bounds.drain_s * RELAYED_PART,
        )


__all__ = ('EntryTableFollowers',)
