"""Polls the engine's report and replies to entries that query the engine's load.

Load pattern: many entries send requests to the same engine, and each would use a slot that is
reported as free. Only the agent sees the queries of all entries: it counts the request of each
query as pending until the engine's own report includes it. If the engine names a rate limit, the
agent grants permits for that rate, so that the limit holds over all entries.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.announcedrequests import AnnouncedRequests
from cassiahitch.direct.staging.enginelimit import ColdRate, EngineRateLimit
from cassiahitch.direct.staging.loadtrust import LoadTrust
from cassiahitch.direct.staging.permits import refusal_records
from cassiahitch.errors import PlatformError
from cassiahitch.wire.datagrammessages import EngineLoad, LimitNotice, PlaceQuery, PlaceReturn

if TYPE_CHECKING:
    from cassiahitch.direct.staging.agentupdater import AgentStateUpdater
    from cassiahitch.direct.staging.enginestate import EngineReport, StagingEngine
    from cassiahitch.direct.staging.loading import Loader
    from cassiahitch.direct.staging.ratelimiter import Refusal
    from cassiahitch.direct.statelog import StateLog
    from cassiahitch.errors import WireError
    from cassiahitch.util.endpoints import Endpoint
    from cassiahitch.wire.datagrammessages import DatagramMessage
    from cassiahitch.wire.datagrams import DatagramSocket

#: Seconds between two reads of the report, and the longest such time while the engine is idle.
REPORT_POLL_INTERVAL_S = 0.1
IDLE_POLL_INTERVAL_S = 0.25
#: Seconds after a query within which its request reaches the engine's report or is sent elsewhere.
PENDING_EXPIRY_S = 0.13
#: Seconds after its last query for which an entry is sent changes of the engine's state.
SUBSCRIPTION_S = 10.0
PERCENT = 100
#: Waiting requests in the reply to a query without a permit, by which entries of versions without
#: permits consider the engine full.
REFUSED_WAITING = 1000


@dataclass(slots=True)
class PendingRequests:
    """Requests that entries have queried a slot for, by the entry and the number of its query."""

    since: dict[tuple[Endpoint, int], float] = field(default_factory=dict)

    def add(self, entry: Endpoint, number: int, now: float) -> int:
        """Add a request, and return how many others are pending.

        :param entry: the entry that sent the query.
        :param number: the number of its query.
        :param now: current time in seconds.
        :return: the number of requests that were pending before.
        """
        self.expire(now)
        before = len(self.since)
        self.since[entry, number] = now
        return before

    def release(self, entry: Endpoint, number: int) -> None:
        """Remove a request that is sent to another backend server.

        :param entry: the entry that sent the query.
        :param number: the number of its query.
        """
        self.since.pop((entry, number), None)

    def expire(self, now: float) -> None:
        """Remove the requests that the engine's report includes by now.

        :param now: current time in seconds.
        """
        # Requests are stored in the order of their queries, the oldest first.
        for request, queried_at in tuple(self.since.items()):
            if now - queried_at < PENDING_EXPIRY_S:
                return
            self.since.pop(request)


@dataclass(slots=True)
class LoadReporter:
    """Polls the engine and sends its load to entries.

    ``entries`` holds until when each entry that sent a query is sent changes. ``sent_state`` is
    the state that was sent last: whether the engine is loading, its version, whether it is
    stopping, and its rate limit. ``cold_rate`` returns the cold rate of the engine's service.
    """

    engine: StagingEngine
    updater: AgentStateUpdater
    loader: Loader
    log: StateLog
    incarnation: int
    rng: random.Random
    trust: LoadTrust = field(default_factory=LoadTrust)
    pending: PendingRequests = field(default_factory=PendingRequests)
    announced: AnnouncedRequests = field(default_factory=AnnouncedRequests)
    entries: dict[Endpoint, float] = field(default_factory=dict)
    last_report: EngineReport | None = None
    rate_limit: EngineRateLimit = field(init=False)
    sent_state: tuple[bool, int, bool, float] = (False, 0, False, math.inf)
    socket: DatagramSocket | None = None
    is_engine_reachable: bool = True
    query_received: asyncio.Event = field(default_factory=asyncio.Event)
    cold_rate: Callable[[], ColdRate] = ColdRate

    def __post_init__(self) -> None:
        """Create the rate limit, which is unknown until the first report."""
        self.rate_limit = EngineRateLimit(self.log, cold_rate=self.cold_rate)

    async def work(self) -> None:
        """Poll the engine until cancelled, less often while it is idle."""
        while True:
            self.query_received.clear()
            await self.poll()
            await asyncio.sleep(REPORT_POLL_INTERVAL_S * self.rng.uniform(0.9, 1.1))
            if self.is_idle():
                with suppress(TimeoutError):
                    await asyncio.wait_for(
                        self.query_received.wait(), IDLE_POLL_INTERVAL_S - REPORT_POLL_INTERVAL_S
                    )

    def is_idle(self) -> bool:
        """Return whether the engine had no requests and no load at the last poll.

        :return: whether its state stays the same until an entry sends a query.
        """
        report = self.last_report
        return report is not None and not report.running + report.waiting and not report.loading

    async def poll(self) -> None:
        """Read the engine's report once, and apply it."""
        sent_at = asyncio.get_running_loop().time()
        try:
            report = await self.engine.report()
        except PlatformError as error:
            if self.is_engine_reachable:
                self.log.state_changed('engine lost', code=error.code.value, detail=error.detail)
            self.is_engine_reachable = False
            self.last_report = None
            return
        if not self.is_engine_reachable:
            self.log.state_changed('engine reached', born_ms=report.born_ms)
        self.is_engine_reachable = True
        self.loader.orders.report = report
        self.trust.observe(report)
        now = asyncio.get_running_loop().time()
        self.rate_limit.apply_report(report, sent_at, now)
        self.apply_report(report, now)

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Store a report, and send it to entries if the state of the engine has changed.

        :param report: the report.
        :param now: current time in seconds.
        """
        self.last_report = report
        engine = self.updater.own_engine() if self.announced.requests else None
        self.announced.apply_report(engine, report.running, report.waiting, report.pace, now)
        self.send_changes(now)

    def send_changes(self, now: float) -> None:
        """Send the state of the engine to entries if it has changed.

        :param now: current time in seconds.
        """
        load = self.engine_load(0)
        if load is None:
            return
        per_s = min(self.rate_limit.per_s, self.rate_limit.limiter.cold_per_s(now))
        state = (load.loading, load.version, load.leaving, per_s)
        if state == self.sent_state:
            return
        self.sent_state = state
        self.entries = {entry: until for entry, until in self.entries.items() if now < until}
        for entry in self.entries:
            self.send(load, entry)

    def engine_load(self, number: int) -> EngineLoad | None:
        """Return the load of the engine as it is sent to entries.

        An engine whose weights may not serve is reported as loading, so that entries avoid it.

        :param number: number of the query, 0 for a message that is no reply.
        :return: the load, or None if the engine is unreachable, its target version unknown, or not
            known yet whether an earlier incarnation of this agent has proven its weights.
        """
        target = self.updater.target_weights()
        report = self.last_report
        if report is None or target is None or self.trust.awaits_record:
            return None
        version = report.loaded_version(target.model)
        return EngineLoad(
            number=number,
            incarnation=self.incarnation,
            born_ms=report.born_ms,
            running=report.running,
            waiting=report.waiting,
            slowness_percent=int(report.pace * PERCENT) - PERCENT,
            loading=report.loading or self.loader.orders.is_withheld(target.model, report),
            model=target.model,
            version=version,
            leaving=report.stopping,
            limits=self.rate_limit.records(asyncio.get_running_loop().time()),
        )

    def receive(self, message: DatagramMessage, sender: Endpoint) -> None:
        """Handle a datagram of an entry.

        :param message: the message.
        :param sender: the entry.
        """
        now = asyncio.get_running_loop().time()
        match message:
            case PlaceQuery(limits=limits):
                self.entries[sender] = now + SUBSCRIPTION_S
                self.query_received.set()
                self.rate_limit.apply_records(limits, sender, now)
                self.reply(message, sender, now)
                self.send_changes(now)
            case PlaceReturn(number=number):
                self.pending.release(sender, number)
                self.announced.release(sender, number)
                self.rate_limit.limiter.release(sender, number)
            case LimitNotice(limits=limits):
                self.rate_limit.apply_records(limits, sender, now)
                self.send_changes(now)

    def reply(self, query: PlaceQuery, entry: Endpoint, now: float) -> None:
        """Reply to a query of an entry.

        No reply is sent without a report of the engine: the entry then treats the engine
        as unreachable.

        :param query: the query.
        :param entry: the entry.
        :param now: current time in seconds.
        """
        load = self.engine_load(query.number)
        if load is None:
            return
        refusal = self.rate_limit.limiter.request(entry, query.number, now)
        self.send(self.answer(load, query, refusal, entry, now), entry)

    def answer(
        self,
        load: EngineLoad,
        query: PlaceQuery,
        refusal: Refusal | None,
        entry: Endpoint,
        now: float,
    ) -> EngineLoad:
        """Return the reply to a query, which reserves a slot unless no permit is granted.

        :param load: the load of the engine without pending requests.
        :param query: the query.
        :param refusal: set if no permit is granted.
        :param entry: the entry that sent the query.
        :param now: current time in seconds.
        :return: the reply.
        """
        if refusal is not None:
            return replace(load, waiting=REFUSED_WAITING, refusals=refusal_records(refusal))
        waiting = load.waiting + self.pending.add(entry, load.number, now)
        work = self.announced.work(waiting) if query.costs else ()
        self.announced.announce(entry, query, now)
        return replace(load, waiting=waiting, work=work)

    def send(self, load: EngineLoad, entry: Endpoint) -> None:
        """Send the load to an entry.

        :param load: the load.
        :param entry: the entry.
        """
        if self.socket is not None:
            self.socket.send(load, entry)

    def log_refused(self, error: WireError, sender: Endpoint) -> None:
        """Log a datagram that cannot be decoded.

        :param error: the reason.
        :param sender: the address that it was sent from.
        """
        self.log.state_changed('datagram refused', code=error.code.value, sender=str(sender))


__all__ = (
    'LoadReporter',
    'PendingRequests',
)
