"""Records in the store which load of an engine was sound, for later incarnations of its agent."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pydantic import BaseModel, NonNegativeInt, ValidationError

from cassiahitch.direct.staging.loadtrust import ProvenLoad
from cassiahitch.direct.state.eras import REWRITE_JITTER_S
from cassiahitch.errors import PlatformError
from cassiahitch.stores.api import NO_ERA, CommitSuccess, Write

if TYPE_CHECKING:
    from cassiahitch.direct.api import TableStore
    from cassiahitch.direct.staging.loadtrust import LoadTrust
    from cassiahitch.direct.statelog import StateLog

#: Seconds between two checks whether a load is to be recorded, and after a failure to do so.
POLL_INTERVAL_S = 0.05
RETRY_DELAY_S = 1.0


class LoadRow(BaseModel):
    """Content of the row of an engine: when it started, and its last load that was sound.

    ``chunks`` is how many chunks were verified; releases that did not compare manifests with the
    configuration left it out.
    """

    born_ms: NonNegativeInt
    loads: NonNegativeInt
    chunks: NonNegativeInt = 0


@dataclass(slots=True)
class LoadRecords:
    """Reads and writes the row of one engine, whose key is the address of its host.

    A load stays sound for as long as the engine runs, so that a row that is written late or by an
    agent that was replaced meanwhile is never wrong. ``recorded`` is the content of the row as far
    as this agent knows it, and ``recorded_era`` the era of the store in which the row had it.
    """

    store: TableStore
    table: str
    host: str
    trust: LoadTrust
    log: StateLog
    recorded: ProvenLoad | None = None
    recorded_era: int = NO_ERA
    rng: random.Random = field(default_factory=random.Random)

    async def read(self) -> ProvenLoad | None:
        """Read the row.

        :return: the load, None if there is no row or its content is invalid.
        :raises PlatformError: ``store_unavailable``.
        """
        row = await self.store.read(self.table, self.host)
        self.recorded = _proven_load(row.content if row else b'')
        self.recorded_era = row.era if row else NO_ERA
        return self.recorded

    async def work(self) -> None:
        """Record each load that is proven until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            proven = self.trust.proven_load()
            if proven is None:
                continue
            if proven != self.recorded:
                await self.write(proven)
            elif self.store.era.latest > self.recorded_era:
                # A restore may have lost the row.
                await asyncio.sleep(self.rng.uniform(0, REWRITE_JITTER_S))
                await self.write(proven)

    async def write(self, proven: ProvenLoad) -> None:
        """Write the row; after a failure, wait before the next attempt.

        :param proven: the load.
        """
        row = LoadRow(born_ms=proven.born_ms, loads=proven.loads, chunks=proven.chunks)
        era = self.store.era.latest
        try:
            outcome = await self.store.commit(
                (), (Write(self.table, self.host, row.model_dump_json().encode()),)
            )
        except PlatformError as error:
            self.log.state_changed(
                'load not recorded', code=error.code.value, detail=error.detail, loads=proven.loads
            )
            await asyncio.sleep(RETRY_DELAY_S)
        else:
            self.recorded = proven
            if isinstance(outcome, CommitSuccess):
                self.recorded_era = max(era, outcome.era)
            self.log.state_changed('load recorded', born_ms=proven.born_ms, loads=proven.loads)


def _proven_load(content: bytes) -> ProvenLoad | None:
    try:
        row = LoadRow.model_validate_json(content)
    except ValidationError:
        # Such a row proves nothing, and the next load that is proven replaces it.
        return None
    return ProvenLoad(row.born_ms, row.loads, row.chunks)


__all__ = (
    'LoadRecords',
    'LoadRow',
)
