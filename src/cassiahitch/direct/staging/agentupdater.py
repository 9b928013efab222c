"""Cached state of an agent: the configuration, the declared versions and the other agents."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.staging.enginelimit import ColdRate
from cassiahitch.direct.staging.layout import declared_layout
from cassiahitch.direct.state.catalogue import Catalogue
from cassiahitch.direct.state.declarations import DeclarationsInForce, StartHold
from cassiahitch.direct.state.feed import (
    CallFailure,
    HistoryUnavailable,
    Reply,
    TableRow,
    TableSnapshot,
)
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.versions import DeclaredVersion, VersionPolicy
from cassiahitch.errors import PlatformError
from cassiahitch.weights.plan import Participant

if TYPE_CHECKING:
    from cassiahitch.direct.platformapi import AgentPlatform
    from cassiahitch.direct.staging.repository import ChunkRepository
    from cassiahitch.direct.staging.uploads import UploadLimiter
    from cassiahitch.direct.state.catalogue import Engine
    from cassiahitch.direct.statelog import StateLog
    from cassiahitch.settings.direct import DirectAgentSettings

#: Version that an engine should load before any is declared.
FIRST_VERSION = 1


@dataclass(slots=True)
class AgentStateUpdater:
    """Applies the declarations of the operator and reads the list of replicas on demand.

    ``declarations_read`` is set once the store has sent the declarations. ``participants`` are
    the agents that fetch the same versions, as they were read at ``participants_read_at``. ``hold``
    tells whether to ask entries for newer declarations at the start; none are held back, since the
    agent checks no keys and its engine loads no older weights than it has. ``in_force`` keeps the
    rows in effect.
    """

    settings: DirectAgentSettings
    platform: AgentPlatform
    repository: ChunkRepository
    upload_limiter: UploadLimiter
    log: StateLog
    versions: VersionPolicy
    rng: random.Random
    catalogue: Catalogue | None = None
    participants: tuple[Participant, ...] = ()
    participants_read_at: float = field(default=float('-inf'))
    declarations_read: bool = False
    hold: StartHold = field(default_factory=StartHold)
    in_force: DeclarationsInForce = field(default_factory=DeclarationsInForce)

    def own_engine(self) -> Engine | None:
        """Return the performance model of the engine on this host.

        :return: the model, None before the configuration was read.
        """
        service = self.catalogue.services.get(self.settings.service) if self.catalogue else None
        return service.engine if service else None

    def target_weights(self) -> WeightsId | None:
        """Return the version that the engine should serve.

        :return: the version, None before the configuration and the declarations were read.
        """
        engine = self.own_engine()
        if engine is None or not self.declarations_read:
            return None
        model = engine.model
        return WeightsId(self.versions.newest(model) or FIRST_VERSION, model)

    def cold_rate(self) -> ColdRate:
        """Return how long the engine is cold after its start, and its rate meanwhile.

        :return: the rate of the service of this agent, 0 if there is no limit or it is unknown.
        """
        service = self.catalogue.services.get(self.settings.service) if self.catalogue else None
        return ColdRate(service.cold_per_s, service.cold_s) if service else ColdRate()

    def remaining_s(self, target: WeightsId, now: float) -> float:
        """Return the time until versions older than the target may no longer be used.

        :param target: the version that replaces them.
        :param now: current time of the boot clock in seconds.
        :return: seconds.
        """
        declared_at = self.versions.declared_at.get(target.model, {}).get(target.version, now)
        return declared_at + self.versions.bound_s - now

    def apply_rows(
        self,
        rows: tuple[TableRow, ...],
        reply: Reply,
        sent_at: float,
    ) -> None:
        """Apply changed rows of the operator's table.

        :param rows: the rows that are new or changed.
        :param reply: the reply of the store that contained them.
        :param sent_at: when the read was sent to the store, in seconds of the boot clock.
        """
        self.hold.decide(reply)
        for row in rows:
            if row.content is not None:
                self.apply_row(row)
        if not isinstance(reply, CallFailure | HistoryUnavailable):
            self.declarations_read = True

    def apply_peer_rows(self, rows: tuple[TableRow, ...]) -> bool:
        """Apply declarations in effect in an entry, unless newer ones are in effect here.

        :param rows: the rows.
        :return: whether all of them could be decoded.
        """
        return all([self.apply_row(row) for row in rows])

    def confirm_by_peer(self, confirmed_at: float) -> bool:
        """Accept the declarations of an entry whatever their age, since an agent checks no keys.

        :param confirmed_at: when the entry had confirmed them, in seconds of the boot clock.
        :return: that the declarations may be used.
        """
        return confirmed_at > float('-inf')

    def release_hold(self) -> None:
        """Ask no entries any more; no configuration was held back."""
        self.hold.release()

    def apply_row(self, row: TableRow) -> bool:
        """Apply one row of the operator's table.

        :param row: the row.
        :return: whether it could be decoded.
        """
        try:
            declared = self.platform.read_declaration(row)
        except PlatformError as error:
            self.log.state_changed('row unreadable', key=row.key, code=error.code.value)
            return False
        if row.content is None:
            self.in_force.remove(row.key)
        else:
            self.in_force.record(row, declared)
        match declared:
            case Catalogue() if self.catalogue is None or declared.version > self.catalogue.version:
                self.apply_configuration(declared)
            case DeclaredVersion():
                self.declare_version(declared)
        return True

    def apply_configuration(self, catalogue: Catalogue) -> None:
        """Apply a configuration and pass its origin and chunk sizes on to the repository.

        :param catalogue: the configuration.
        """
        self.catalogue = catalogue
        self.log.state_changed('configuration in force', version=catalogue.version)
        for service in catalogue.services.values():
            if service.origin:
                self.repository.manifests.origin_url = f'http://{service.origin}'
                self.repository.origin_mbit_s = service.link_mbit_s
                self.repository.origin_region = self.settings.regions.get(
                    service.failure_domain, ''
                )
            if service.name == self.settings.service and service.engine is not None:
                self.repository.apply_layout(declared_layout(service.engine))

    def declare_version(self, declared: DeclaredVersion) -> None:
        """Record a declared version of weights.

        :param declared: the version.
        """
        if self.versions.record_stored(declared, boot_time()):
            self.repository.newest_version = max(self.repository.newest_version, declared.version)
            self.log.state_changed(
                'weights declared', model=declared.model, weights=declared.version
            )

    def record_declaration(self, weights: WeightsId) -> None:
        """Record a version as declared because another agent requests it.

        :param weights: the version.
        """
        self.declare_version(DeclaredVersion(weights.model, weights.version))

    def are_participants_stale(self, max_age_s: float) -> bool:
        """Return whether the list of participants is older than an age.

        :param max_age_s: the age in seconds.
        :return: whether it is to be read again.
        """
        return asyncio.get_running_loop().time() - self.participants_read_at > max_age_s

    async def read_participants(self) -> tuple[Participant, ...]:
        """Read which agents fetch the same versions.

        :return: the agents, this one among them; the previous list if the store is unavailable.
        """
        self.participants_read_at = asyncio.get_running_loop().time()
        reply = await self.platform.store.read_all(self.platform.tables.replicas)
        if isinstance(reply, TableSnapshot):
            agents = {self.parse_participant(row) for row in reply.rows} - {None}
            self.participants = tuple(sorted(agent for agent in agents if agent is not None))
            region_agents = [
                agent for agent in self.participants if agent.region == self.settings.region
            ]
            self.upload_limiter.share_region_link(len(region_agents))
        addresses = [
            agent.host for agent in self.participants if agent.host != self.settings.address
        ]
        self.rng.shuffle(addresses)
        self.repository.peers.addresses = tuple(addresses)
        return self.participants

    def parse_participant(self, row: TableRow) -> Participant | None:
        """Return the agent that runs beside a replica of the own service.

        :param row: the row of the replica.
        :return: the agent, or None if the replica is draining, of another service or not valid.
        """
        try:
            replica = self.platform.read_replica(row)
        except PlatformError:
            # A row that cannot be decoded names no replica to fetch from.
            return None
        if replica.service != self.settings.service or replica.draining:
            return None
        region = self.settings.regions.get(replica.failure_domain, replica.failure_domain)
        return Participant(replica.endpoint.address, region, replica.failure_domain)


__all__ = ('AgentStateUpdater',)
