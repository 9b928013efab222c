"""What an agent knows of the configuration, the declared versions and other agents."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.state.catalogue import Catalogue
from cassiahitch.direct.state.feed import (
    CallFailure,
    HistoryUnavailable,
    Reply,
    TableRow,
    TableSnapshot,
)
from cassiahitch.direct.state.versions import DeclaredVersion, VersionPolicy
from cassiahitch.errors import PlatformError
from cassiahitch.weights.plan import Participant

if TYPE_CHECKING:
    from cassiahitch.direct.platformapi import AgentPlatform
    from cassiahitch.direct.staging.repository import ChunkRepository
    from cassiahitch.direct.staging.uploads import UploadLimiter
    from cassiahitch.direct.telemetry import StateLog
    from cassiahitch.settings.direct import DirectAgentSettings

#: Version that is wanted before any is declared.
FIRST_VERSION = 1


@dataclass(slots=True)
class AgentStateUpdater:
    """Takes rows of the operator in and reads the list of replicas when it is needed."""

    settings: DirectAgentSettings
    platform: AgentPlatform
    library: ChunkRepository
    uploads: UploadLimiter
    log: StateLog
    versions: VersionPolicy
    rng: random.Random
    catalogue: Catalogue | None = None
    participants: tuple[Participant, ...] = ()
    read_at: float = field(default=float('-inf'))
    begun: bool = False

    def wanted(self) -> WeightsId | None:
        """Return the version that the engine should serve.

        :return: the version, nothing before the configuration is known.
        """
        if self.catalogue is None or not self.begun:
            return None
        service = self.catalogue.services.get(self.settings.service)
        if service is None or service.engine is None:
            return None
        model = service.engine.model
        return WeightsId(self.versions.newest(model) or FIRST_VERSION, model)

    def left_s(self, wanted: WeightsId, now: float) -> float:
        """Return the time until an older version may no longer be used.

        :param wanted: the version that replaces it.
        :param now: seconds.
        :return: seconds.
        """
        learned = self.versions.learned.get(wanted.model, {}).get(wanted.version, now)
        return learned + self.versions.bound_s - now

    def take_declarations(
        self,
        rows: tuple[TableRow, ...],
        reply: Reply,
        asked_at: float,
    ) -> None:
        """Take news of the operator in.

        :param rows: rows that are news.
        :param reply: the answer that brought them.
        :param asked_at: when the store was asked, on the boot clock.
        """
        for row in rows:
            if row.content is not None:
                self.take_declaration(row)
        if not isinstance(reply, CallFailure | HistoryUnavailable):
            self.begun = True

    def take_declaration(self, row: TableRow) -> None:
        """Take one row of the operator in.

        :param row: the row.
        """
        try:
            declared = self.platform.read_declaration(row)
        except PlatformError as error:
            self.log.state_changed('row unreadable', key=row.key, code=error.code.value)
            return
        match declared:
            case Catalogue() if self.catalogue is None or declared.version > self.catalogue.version:
                self.apply(declared)
            case DeclaredVersion():
                self.declare(declared)

    def apply(self, catalogue: Catalogue) -> None:
        """Put a configuration in force.

        :param catalogue: the configuration.
        """
        self.catalogue = catalogue
        self.log.state_changed('configuration in force', version=catalogue.version)
        for service in catalogue.services.values():
            if service.origin:
                self.library.origin_url = f'http://{service.origin}'
                self.library.origin_mbit_s = service.link_mbit_s
                self.library.origin_region = self.settings.regions.get(service.failure_domain, '')
            if service.name == self.settings.service and service.engine is not None:
                self.library.chunk_bytes = service.engine.chunk_bytes
                self.library.chunk_count = service.engine.chunk_count

    def declare(self, declared: DeclaredVersion) -> None:
        """Take a declared version of weights in.

        :param declared: the version.
        """
        if self.versions.declare(declared, asyncio.get_running_loop().time()):
            self.library.newest = max(self.library.newest, declared.version)
            self.log.state_changed(
                'weights declared', model=declared.model, weights=declared.version
            )

    def hear(self, name: WeightsId) -> None:
        """Learn of a declared version from another agent that asks for it.

        :param name: the version.
        """
        self.declare(DeclaredVersion(name.model, name.version))

    def is_stale(self, age_s: float) -> bool:
        """Tell whether the list of other agents is older than an age.

        :param age_s: the age in seconds.
        :return: whether it is.
        """
        return asyncio.get_running_loop().time() - self.read_at > age_s

    async def read_participants(self) -> tuple[Participant, ...]:
        """Read which agents fetch the same versions; the old list holds if the store is away.

        :return: agents, this one among them.
        """
        self.read_at = asyncio.get_running_loop().time()
        reply = await self.platform.store.read_all(self.platform.tables.replicas)
        if isinstance(reply, TableSnapshot):
            found = {self.participant(row) for row in reply.rows} - {None}
            self.participants = tuple(sorted(one for one in found if one is not None))
            near = [one for one in self.participants if one.region == self.settings.region]
            self.uploads.share_region_link(len(near))
        addresses = [one.host for one in self.participants if one.host != self.settings.address]
        self.rng.shuffle(addresses)
        self.library.peers.addresses = tuple(addresses)
        return self.participants

    def participant(self, row: TableRow) -> Participant | None:
        """Return the agent beside a replica of the own service.

        :param row: the row of the replica.
        :return: the agent, if there is one.
        """
        try:
            replica = self.platform.read_replica(row)
        except PlatformError:
            # Such a row names no replica.
            return None
        if replica.service != self.settings.service or replica.draining:
            return None
        region = self.settings.regions.get(replica.failure_domain, replica.failure_domain)
        return Participant(replica.endpoint.address, region, replica.failure_domain)


__all__ = ('AgentStateUpdater',)
