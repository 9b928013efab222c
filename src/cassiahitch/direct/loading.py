"""Brings the engine of a host to the newest declared version."""

from __future__ import annotations

import asyncio
import random
from contextlib import ExitStack
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.chunks import WeightsName
from cassiahitch.direct.enginestate import EngineReport, OrderOutcome
from cassiahitch.direct.fetching import VersionFetch
from cassiahitch.direct.versions import MARGIN_S
from cassiahitch.errors import PlatformError
from cassiahitch.weights.manifest import verify_chunk
from cassiahitch.weights.tree import rendezvous_hash

if TYPE_CHECKING:
    from cassiahitch.direct.agentbeliefs import AgentBeliefs
    from cassiahitch.direct.chunks import Held
    from cassiahitch.direct.enginestate import StagedEngine
    from cassiahitch.direct.journal import BeliefLog
    from cassiahitch.direct.library import ChunkLibrary
    from cassiahitch.metrics.registry import Metrics
    from cassiahitch.weights.plan import Participant

#: Seconds between looks whether the engine has what it should.
LOOK_S = 0.1
#: Seconds after a failure until the next try.
RETRY_S = 0.3
#: Longest time over which the loads of all engines are spread, in seconds.
SPREAD_S = 2.5
#: Part of a version's chunks from which on it is finished even if a newer one is declared.
GO_ON_PART = 0.85
#: Seconds between reads of who takes part.
PARTICIPANTS_S = 1.5


def turn_s(member: str, hosts: tuple[str, ...], version: int, left_s: float) -> float:
    """Return how long a host waits before it orders its load.

    Load pattern: all engines would stop to take requests at the same moment.

    :param member: the host.
    :param hosts: all hosts that load the version.
    :param version: the version, which turns the order.
    :param left_s: seconds until the older version may no longer be used.
    :return: seconds.
    """
    order = sorted({member, *hosts}, key=lambda host: rendezvous_hash(version, host))
    spread_s = min(SPREAD_S, max(0, left_s - MARGIN_S))
    return spread_s * order.index(member) / len(order)


@dataclass(slots=True)
class Loader:
    """Fetches, stages, verifies, orders and reads back."""

    engine: StagedEngine
    library: ChunkLibrary
    beliefs: AgentBeliefs
    metrics: Metrics
    log: BeliefLog
    member: Participant
    rng: random.Random
    report: EngineReport | None = None

    async def work(self) -> None:
        """Keep the engine at the newest version until cancelled."""
        while True:
            wanted = self.beliefs.wanted()
            if wanted is None or self.report is None or self.has(wanted):
                await asyncio.sleep(LOOK_S)
                continue
            try:
                await self.bring(wanted)
            except PlatformError as error:
                self.log.believed('weights not loaded', code=error.code.value, detail=error.detail)
                await asyncio.sleep(RETRY_S)

    def has(self, wanted: WeightsName) -> bool:
        """Tell whether the engine serves a version.

        :param wanted: the version.
        :return: whether it does, by its last report.
        """
        if self.report is None or self.report.version(wanted.model) != wanted.version:
            return False
        self.library.staged = wanted
        return True

    async def bring(self, wanted: WeightsName) -> None:
        """Bring the engine to a version, unless a newer one is declared meanwhile.

        :param wanted: the version.
        :raises PlatformError: if a step failed.
        """
        began = asyncio.get_running_loop().time()
        held = await self.fetch(wanted)
        if held is None:
            return
        fetched = asyncio.get_running_loop().time()
        hosts = tuple(one.host for one in self.beliefs.participants)
        left_s = self.beliefs.left_s(wanted, fetched)
        await self.stage(wanted, held)
        if self.report is not None and self.report.version(wanted.model):
            await asyncio.sleep(turn_s(self.member.host, hosts, wanted.version, left_s))
            await self.stage(wanted, held)
        outcome = await self.order(wanted)
        self.log.believed(
            'load ordered',
            model=wanted.model,
            weights=wanted.version,
            outcome=outcome.value,
            fetched_s=round(fetched - began, 3),
            waited_s=round(asyncio.get_running_loop().time() - fetched, 3),
        )

    async def fetch(self, wanted: WeightsName) -> Held | None:
        """Fetch all chunks of a version, until a newer one is declared.

        :param wanted: the version.
        :return: the chunks, or nothing if a newer version is declared.
        :raises PlatformError: if it failed.
        """
        participants = await self.beliefs.read_participants()
        objective = self.beliefs.settings.objective
        fetch = VersionFetch(
            self.library, self.metrics, self.log, wanted, self.member, objective, self.rng
        )
        task = asyncio.create_task(fetch.run(participants))
        with ExitStack() as stack:
            stack.callback(task.cancel)
            while not task.done() and self.is_worth_fetching(wanted):
                await asyncio.wait((task,), timeout=LOOK_S)
                if self.beliefs.is_stale(PARTICIPANTS_S):
                    fetch.update(await self.beliefs.read_participants())
        if not task.done() or task.cancelled():
            return None
        task.result()
        return self.library.shelf.held.get(wanted)

    def is_worth_fetching(self, wanted: WeightsName) -> bool:
        """Tell whether to go on with a version although a newer one may be declared.

        Load pattern: versions follow each other so fast that an engine that skipped each one
        would be left with a version that may no longer be used.

        :param wanted: the version that is being fetched.
        :return: whether it is the newest, or mostly here.
        """
        if self.beliefs.wanted() == wanted:
            return True
        held = self.library.shelf.held.get(wanted)
        if held is None:
            return False
        return len(held.contents) > len(held.manifest.chunks) * GO_ON_PART

    async def stage(self, wanted: WeightsName, held: Held) -> None:
        """Store all chunks at the engine that are not there as they should be.

        :param wanted: the version.
        :param held: its chunks.
        :raises PlatformError: ``engine_unavailable``.
        """
        for index, content in sorted(held.contents.items()):
            found = await self.engine.staged(wanted.model, index)
            if found is None or not verify_chunk(held.manifest, index, found):
                await self.engine.stage(wanted.model, index, content)
        self.library.staged = wanted

    async def order(self, wanted: WeightsName) -> OrderOutcome:
        """Order the load, if nobody else ordered anything meanwhile.

        :param wanted: the version.
        :return: what became of the order.
        :raises PlatformError: ``engine_unavailable``.
        """
        report = await self.engine.report()
        self.report = report
        if report.loading or self.has(wanted):
            return OrderOutcome.in_effect
        outcome = await self.engine.load(wanted.model, wanted.version, report.orders)
        await self.settle(wanted)
        return outcome

    async def settle(self, wanted: WeightsName) -> None:
        """Read back until the engine is no longer busy with the order.

        :param wanted: the version.
        :raises PlatformError: ``engine_unavailable``.
        """
        while True:
            await asyncio.sleep(LOOK_S)
            report = await self.engine.report()
            self.report = report
            if self.has(wanted) or not report.loading:
                return


__all__ = (
    'Loader',
    'turn_s',
)
