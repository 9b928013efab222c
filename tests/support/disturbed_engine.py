"""An engine between an agent and its real one, which disturbs some of the calls."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from direct_callers import wait_until

from cassiahitch.direct.staging.enginestate import (
    EngineReport,
    LoadOutcome,
    StagingEngine,
)
from cassiahitch.direct.state.layers import LayerRange

if TYPE_CHECKING:
    from cassiahitch.direct.agent import DirectAgent
    from cassiahitch.standins.directsite import DirectSite
    from cassiahitch.standins.engineweights import EngineWeights

#: Positions of the chunks that turn corrupt, which are verified before the others.
CORRUPT = (2, 5)


async def do_nothing() -> None:
    """Let the calls of the agent through as they are."""


@dataclass
class DisturbedEngine:
    """Passes calls of an agent on to its engine, and disturbs some of them.

    The engine has ``weights``. It executes orders of ``lost_version`` only right before the first
    order of another version, and no response to them is received. ``reads`` are the positions of
    the staged chunks that were read.
    """

    engine: StagingEngine
    weights: EngineWeights
    on_read: Callable[[int], Awaitable[None]] | None = None
    on_stage: Callable[[str, int, bytes], Awaitable[None]] | None = None
    before_order: Callable[[], Awaitable[None]] = do_nothing
    after_order: Callable[[], Awaitable[None]] = do_nothing
    loses_response: bool = False
    lost_version: int = 0
    lost_orders: list[tuple[str, int, int]] = field(default_factory=list)
    orders: int = 0
    reads: list[int] = field(default_factory=list)

    async def report(self) -> EngineReport:
        return await self.engine.report()

    async def stage(self, model: str, index: int, content: bytes) -> None:
        if self.on_stage is not None:
            await self.on_stage(model, index, content)
        await self.engine.stage(model, index, content)

    async def read_staged(self, model: str, index: int) -> bytes | None:
        content = await self.engine.read_staged(model, index)
        self.reads.append(index)
        if self.on_read is not None:
            await self.on_read(len(self.reads))
        return content

    async def load(
        self, model: str, version: int, load_orders: int, layers: LayerRange | None = None
    ) -> LoadOutcome:
        self.orders += 1
        if version == self.lost_version:
            self.lost_orders.append((model, version, load_orders))
            return LoadOutcome.unknown
        if self.lost_orders:
            await self.engine.load(*self.lost_orders.pop(0))
        await self.before_order()
        outcome = await self.engine.load(model, version, load_orders, layers)
        await self.after_order()
        return LoadOutcome.unknown if self.loses_response else outcome

    def corrupt_chunks(self) -> None:
        for index in CORRUPT:
            self.weights.staged[index] = b'corrupt'


def disturb(agent: DirectAgent, weights: EngineWeights) -> DisturbedEngine:
    """Put a :class:`DisturbedEngine` between an agent and its engine."""
    orders = agent.parts.loader.orders
    engine = DisturbedEngine(orders.engine, weights)
    orders.engine = engine
    orders.stager.engine = engine
    agent.reporter.engine = engine
    return engine


async def lose_order(site: DirectSite, version: int) -> DisturbedEngine:
    """Name a version, and wait until the order of its load has been lost."""
    engine = disturb(site.agents[0], engine_of(site))
    engine.lost_version = version
    site.publish_version(version)
    await wait_until(lambda: bool(engine.lost_orders))
    return engine


def engine_of(site: DirectSite) -> EngineWeights:
    engine = site.models[0].engine
    assert engine is not None
    return engine
