"""The tables of the store that an entry follows, and the processes that it shares them with."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from cassiahitch.direct.members.rowservice import row_service
from cassiahitch.direct.members.startcheck import StartCheck, build_declarations, choose_peers
from cassiahitch.direct.members.tablerelay import TableRelay, choose_readers
from cassiahitch.direct.state.feed import TableFeed
from cassiahitch.direct.state.follower import TableFollower
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.updater import StateUpdater
from cassiahitch.util.endpoints import Endpoint

if TYPE_CHECKING:
    from tornado.web import Application

    from cassiahitch.direct.assembly import EntryParts
    from cassiahitch.direct.platformapi import EntryPlatform
    from cassiahitch.settings.direct import DirectEntrySettings
    from cassiahitch.stores.http_client import HttpClient
    from cassiahitch.wire.datagrammessages import TableRows

#: Longest wait for a change of the declarations, as a fraction of the bound on revoked keys.
DECLARATION_WAIT_FRACTION = 0.38
#: Longest wait for a change of the replicas, in seconds.
REPLICA_WAIT_S = 0.35
#: Least time between two reads of the replicas, in seconds.
REPLICA_INTERVAL_S = 0.5
#: Longest wait for a change of the declarations, as a fraction of the bound on the age of the
#: configuration. It is short since other processes rely on the copy of this entry.
CONFIGURATION_WAIT_FRACTION = 0.2
#: Least time between two reads of the declarations after a large change, in seconds.
DECLARATION_INTERVAL_S = 0.95
#: Seconds for which an entry that starts waits until it knows of other entries.
START_PEERS_S = 0.3
#: Seconds between two checks whether it does.
START_PEERS_INTERVAL_S = 0.02
#: Entries that are asked for a complete table in a round at the start, one after the other.
START_READERS = 2
#: Maximum age of a state that is accepted from another entry, as a fraction of the bound on the age
#: of the configuration, or of the bound on draining replicas.
RELAYED_AGE_FRACTION = 0.5


@dataclass(slots=True)
class EntryTableFollowers:
    """Creates the table followers of an entry and the relay that shares their state.

    ``started_at`` is the start of the entry in seconds of the boot clock.
    """

    settings: DirectEntrySettings
    platform: EntryPlatform
    parts: EntryParts
    updater: StateUpdater
    rng: random.Random
    started_at: float = field(default_factory=boot_time)

    def make_relay(self, http_client: HttpClient) -> TableRelay:
        """Create the relay between this entry and others, with the followers that it serves.

        :param http_client: sends requests to other entries.
        :return: the relay.
        """
        relay = TableRelay(self.readers, self.subscribers, http_client, self.start_readers)
        followers = (self.make_declaration_follower(relay), self.make_replica_follower(relay))
        relay.followers.update({follower.table: follower for follower in followers})
        return relay

    def row_service(self, relay: TableRelay) -> Application:
        """Create the HTTP service that gives rows and declarations to other processes.

        :param relay: has the followers of the tables.
        :return: the service.
        """
        return row_service(relay.followers, partial(self.build_declarations, relay))

    def build_declarations(self, relay: TableRelay, version: int) -> TableRows:
        """Return the declarations in effect as a message to a process that starts.

        :param relay: has the followers of the tables.
        :param version: version of the configuration that the process has.
        :return: the message.
        """
        follower = relay.followers[self.platform.tables.operator]
        age_s = self.parts.entry_state.freshness.age_s(boot_time())
        return build_declarations(self.updater.in_force, follower, version, age_s)

    def make_start_check(self, relay: TableRelay) -> StartCheck:
        """Create the check that asks other entries for newer declarations at the start.

        :param relay: reads from other entries.
        :return: the check.
        """
        return StartCheck(
            self.updater,
            relay.followers[self.platform.tables.operator],
            relay,
            self.peers,
            self.settings.peer_port,
            self.parts.telemetry,
        )

    async def peers(self) -> tuple[str, ...]:
        """Return entries to ask for newer declarations at the start.

        :return: their IP addresses.
        """
        return choose_peers(self.parts.entry_state.members.registry, self.rng)

    def readers(self) -> tuple[Endpoint, ...]:
        """Return the entries of the region that read the store for this one.

        :return: their endpoints; none if this entry is a reader itself.
        """
        addresses = {
            member.name: member.address
            for member in self.parts.entry_state.members.registry.live_members()
            if not member.leaving
        }
        names = choose_readers((self.settings.name, *addresses))
        if self.settings.name in names:
            return ()
        return tuple(Endpoint(addresses[name], self.settings.peer_port) for name in names)

    async def start_readers(self) -> tuple[Endpoint, ...]:
        """Return entries that have the tables, or else those that read the store for this one.

        :return: their endpoints; none if this entry is to read the store itself.
        """
        while not self.ready_addresses() and boot_time() - self.started_at < START_PEERS_S:
            await asyncio.sleep(START_PEERS_INTERVAL_S)
        ready = self.ready_addresses()
        chosen = self.rng.sample(ready, min(START_READERS, len(ready)))
        return tuple(Endpoint(address, self.settings.peer_port) for address in chosen) or (
            self.readers()
        )

    def ready_addresses(self) -> list[str]:
        """Return the other entries of the region that have the tables.

        :return: their IP addresses.
        """
        members = self.parts.entry_state.members.registry.live_members()
        return [member.address for member in members if member.ready and not member.leaving]

    def subscribers(self) -> tuple[Endpoint, ...]:
        """Return the processes of the region that a reader sends changes to.

        :return: the endpoints of entries and agents.
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

    def make_declaration_follower(self, relay: TableRelay) -> TableFollower:
        """Create the follower of the operator's declarations.

        :param relay: shares the state with other entries.
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
                bounds.revoked_key_s * DECLARATION_WAIT_FRACTION,
                bounds.configuration_s * CONFIGURATION_WAIT_FRACTION,
            ),
            relay,
            bounds.configuration_s * RELAYED_AGE_FRACTION,
            era=self.platform.store.era,
        )

    def make_replica_follower(self, relay: TableRelay) -> TableFollower:
        """Create the follower of the list of backend servers.

        :param relay: shares the state with other entries.
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
            self.settings.bounds.drain_s * RELAYED_AGE_FRACTION,
            era=self.platform.store.era,
        )


__all__ = ('EntryTableFollowers',)
