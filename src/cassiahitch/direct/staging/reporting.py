"""Reads the engine's own report and tells entries that ask how busy the engine is.

Load pattern: many entries send to the same engine, and each would take a place that it sees free.
The agent alone knows them all: it counts each request that an entry asks for as on its way until
the engine's own report shows it.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.errors import PlatformError
from cassiahitch.wire.beats import EngineLoad, PlaceQuery, PlaceReturn

if TYPE_CHECKING:
    from cassiahitch.direct.staging.agentupdater import AgentStateUpdater
    from cassiahitch.direct.staging.enginestate import EngineReport, StagingEngine
    from cassiahitch.direct.staging.loading import Loader
    from cassiahitch.direct.telemetry import StateLog
    from cassiahitch.errors import WireError
    from cassiahitch.util.endpoints import Endpoint
    from cassiahitch.wire.beats import Beat
    from cassiahitch.wire.datagrams import DatagramSocket

#: Seconds between two reads of the report, and while the engine has nothing to do.
POLL_INTERVAL_S = 0.1
IDLE_READ_S = 0.25
#: Seconds after which a request that an entry asked for is in the engine's report, or went
#: elsewhere.
PENDING_EXPIRY_S = 0.13
#: Seconds for which an entry that has asked is told of changes of the weights.
SUBSCRIPTION_S = 10.0
PERCENT = 100


@dataclass(slots=True)
class PendingRequests:
    """Requests that entries have asked for lately, by the entry and its number."""

    since: dict[tuple[Endpoint, int], float] = field(default_factory=dict)

    def ask(self, entry: Endpoint, number: int, now: float) -> int:
        """Count a request, and return how many others are on their way.

        :param entry: who asks.
        :param number: its number of the request.
        :param now: seconds.
        :return: the number of requests before it.
        """
        self.forget(now)
        before = len(self.since)
        self.since[entry, number] = now
        return before

    def give_back(self, entry: Endpoint, number: int) -> None:
        """Take in that a request goes elsewhere.

        :param entry: who asked.
        :param number: its number of the request.
        """
        self.since.pop((entry, number), None)

    def forget(self, now: float) -> None:
        """Forget requests that the engine's report shows by now.

        :param now: seconds.
        """
        # The oldest come first.
        for asked, at in tuple(self.since.items()):
            if now - at < PENDING_EXPIRY_S:
                return
            self.since.pop(asked)


@dataclass(slots=True)
class LoadReporter:
    """Owns the list of entries that have asked."""

    engine: StagingEngine
    beliefs: AgentStateUpdater
    loader: Loader
    log: StateLog
    incarnation: int
    rng: random.Random
    on_way: PendingRequests = field(default_factory=PendingRequests)
    entries: dict[Endpoint, float] = field(default_factory=dict)
    last: EngineReport | None = None
    told: tuple[bool, int, bool] = (False, 0, False)
    socket: DatagramSocket | None = None
    reached: bool = True
    asked: asyncio.Event = field(default_factory=asyncio.Event)

    async def work(self) -> None:
        """Read until cancelled."""
        while True:
            self.asked.clear()
            await self.read()
            await asyncio.sleep(POLL_INTERVAL_S * self.rng.uniform(0.9, 1.1))
            if self.is_idle():
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.asked.wait(), IDLE_READ_S - POLL_INTERVAL_S)

    def is_idle(self) -> bool:
        """Tell whether the engine had nothing to do when it was last asked.

        :return: whether it does not change unless an entry asks.
        """
        report = self.last
        return report is not None and not report.running + report.waiting and not report.loading

    async def read(self) -> None:
        """Read the report once, and tell entries if other weights may be used."""
        try:
            report = await self.engine.report()
        except PlatformError as error:
            if self.reached:
                self.log.state_changed('engine lost', code=error.code.value, detail=error.detail)
            self.reached = False
            self.last = None
            return
        if not self.reached:
            self.log.state_changed('engine reached', born_ms=report.born_ms)
        self.reached = True
        self.loader.report = report
        self.take(report, asyncio.get_running_loop().time())

    def take(self, report: EngineReport, now: float) -> None:
        """Take a report in.

        :param report: the report.
        :param now: seconds.
        """
        self.last = report
        load = self.load(0, 0)
        if load is None or (load.loading, load.version, load.leaving) == self.told:
            return
        self.told = (load.loading, load.version, load.leaving)
        self.entries = {entry: until for entry, until in self.entries.items() if now < until}
        for entry in self.entries:
            self.send(load, entry)

    def load(self, number: int, on_way: int) -> EngineLoad | None:
        """Return the load of the engine.

        :param number: number of the query.
        :param on_way: requests that are on their way to the engine.
        :return: the load, if the engine is reached and the weights that it should have are known.
        """
        wanted = self.beliefs.wanted()
        report = self.last
        if report is None or wanted is None:
            return None
        return EngineLoad(
            number=number,
            incarnation=self.incarnation,
            born_ms=report.born_ms,
            running=report.running,
            waiting=report.waiting + on_way,
            slowness_percent=int(report.pace * PERCENT) - PERCENT,
            loading=report.loading,
            model=wanted.model,
            version=report.version(wanted.model),
            leaving=report.leaving,
        )

    def receive(self, message: Beat, sender: Endpoint) -> None:
        """Take a datagram in.

        :param message: the message.
        :param sender: where it came from.
        """
        now = asyncio.get_running_loop().time()
        match message:
            case PlaceQuery(number=number):
                self.entries[sender] = now + SUBSCRIPTION_S
                self.asked.set()
                self.answer(number, sender, now)
            case PlaceReturn(number=number):
                self.on_way.give_back(sender, number)

    def answer(self, number: int, entry: Endpoint, now: float) -> None:
        """Answer an entry; it takes silence as an engine that is not reached.

        :param number: number of its query.
        :param entry: the entry.
        :param now: seconds.
        """
        load = self.load(number, self.on_way.ask(entry, number, now))
        if load is not None:
            self.send(load, entry)

    def send(self, load: EngineLoad, entry: Endpoint) -> None:
        """Send the load to an entry.

        :param load: the load.
        :param entry: the entry.
        """
        if self.socket is not None:
            self.socket.send(load, entry)

    def refused(self, error: WireError, sender: Endpoint) -> None:
        """Note a datagram that cannot be read.

        :param error: why.
        :param sender: where it came from.
        """
        self.log.state_changed('datagram refused', code=error.code.value, sender=str(sender))


__all__ = (
    'LoadReporter',
    'PendingRequests',
)
