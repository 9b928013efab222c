"""The process of an entry that reaches backend servers directly."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING

from cassiahitch.direct.assembly import EntryParts, make_parts
from cassiahitch.direct.callers.disconnects import close_disconnected
from cassiahitch.direct.callers.frontend import Frontend
from cassiahitch.direct.callers.shutdown import ShutdownSchedule
from cassiahitch.direct.callers.shutdownlog import ShutdownLog
from cassiahitch.direct.members.addresses import (
    AddressResponse,
    choose_addresses,
    weight_by_capacity,
)
from cassiahitch.direct.members.discovery import Discovery
from cassiahitch.direct.members.rowservice import row_service
from cassiahitch.direct.reloading import SettingsWatch
from cassiahitch.direct.serving import serve
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.updater import StateUpdater
from cassiahitch.direct.tablefollowers import EntryTableFollowers
from cassiahitch.metrics.exposition import metrics_service
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.util.listening import listen
from cassiahitch.wire.datagrams import DatagramSocket
from cassiahitch.wire.tasks import ProcessTasks

if TYPE_CHECKING:
    from cassiahitch.direct.callers.exchange import CallerExchange
    from cassiahitch.direct.platformapi import EntryPlatform
    from cassiahitch.settings.direct import BoundSettings, DirectEntrySettings
    from cassiahitch.stores.http_client import HttpClient

#: Seconds between the looks at replicas and connections that are gone.
TIDY_S = 0.25
#: Seconds for which an address answer holds.
LIFETIME_S = 2.0
#: Lifetimes for which some callers keep an address.
HELD_LIFETIMES = 3
POLL_S = 0.05


class DirectEntry:
    """Owns the sockets and tasks of an entry."""

    def __init__(
        self,
        settings: DirectEntrySettings,
        platform: EntryPlatform,
        caller: HttpClient,
        path: Path | None = None,
    ) -> None:
        """Create it; nothing listens yet.

        :param settings: its settings.
        :param platform: the platform.
        :param caller: makes the calls to other entries.
        :param path: file of the settings, if they are to be read again.
        """
        self.settings = settings
        self.platform = platform
        self.caller = caller
        self.rng = random.Random()
        self.incarnation = time.time_ns()
        self.tasks = ProcessTasks()
        self.stack = AsyncExitStack()
        self.parts: EntryParts = make_parts(settings, platform, self.incarnation, self.rng)
        updater = StateUpdater(self.parts.entry_state, platform, self.parts.telemetry)
        self.tables = EntryTableFollowers(settings, platform, self.parts, updater, self.rng)
        runner = self.parts.runner
        self.frontend = Frontend(
            runner.serve,
            runner.error_responder.fail,
            runner.error_responder.reject_malformed,
            settings.request_buffer_bytes,
        )
        self.shutdown_log = ShutdownLog(self.parts.telemetry.metrics, platform.codec)
        self.watch = SettingsWatch(
            path or Path(), settings, self.parts.telemetry, self._apply_bounds
        )
        self.discovery = Discovery(platform, self.parts.entry_state, settings, self.rng)

    async def start(self) -> None:
        """Open the sockets and start the tasks."""
        settings = self.settings
        self.frontend.server.add_socket(listen(settings.callers.address, settings.callers.port))
        serve(self.platform.readiness(self._is_ready), settings.readiness, self.stack)
        serve(self.platform.directory(self._addresses), settings.directory, self.stack)
        metrics = metrics_service(self.parts.telemetry.metrics)
        serve(metrics, Endpoint(settings.address, settings.metrics_port), self.stack)
        messenger = self.parts.messenger
        datagrams = DatagramSocket(messenger.receive, messenger.log_refused)
        await datagrams.open(settings.address, settings.peer_port)
        self.stack.callback(datagrams.close)
        messenger.socket = datagrams
        messenger.reservations.socket = datagrams
        seeds = dict.fromkeys((seed.address for seed in settings.seeds), '')
        self.parts.entry_state.members.registry.add_addresses(
            seeds, asyncio.get_running_loop().time()
        )
        relay = self.tables.relay(self.caller)
        relay.socket = datagrams
        messenger.relay = relay
        rows = row_service(relay.followers)
        serve(rows, Endpoint(settings.address, settings.peer_port), self.stack)
        works = (
            *(follower.work() for follower in relay.followers.values()),
            messenger.send_heartbeats(),
            self.discovery.work(),
            self._tidy(),
            close_disconnected(self.frontend.running),
            *((self.watch.work(),) if self.watch.path.is_file() else ()),
        )
        self.tasks.start(works, self.stack)

    def ports(self) -> dict[str, int]:
        """Return the ports that are listened on, by the names of their settings.

        :return: ports.
        """
        return {
            'callers': self.settings.callers.port,
            'readiness': self.settings.readiness.port,
            'directory': self.settings.directory.port,
        }

    def reload(self) -> None:
        """Read the settings again."""
        self.watch.reload()

    async def stop(self) -> None:
        """Leave: tell it, take what can be finished, finish it, close everything."""
        clock = asyncio.get_running_loop().time
        bounds = self.settings.bounds
        plan = ShutdownSchedule(clock(), bounds.grace_s, HELD_LIFETIMES * self._lifetime_s())
        self.parts.entry_state.stopping = True
        self.frontend.start_shutdown(plan)
        self._log_stop(self.shutdown_log.leaving)
        self.parts.messenger.refresh_own_state()
        await self._drain(plan)
        self._log_stop(self.shutdown_log.ended)
        await self.frontend.server.close_all_connections()
        self.parts.runner.attempts.pool.close()
        await self.stack.aclose()

    def _log_stop(self, write: Callable[[float, int, Iterable[CallerExchange]], None]) -> None:
        frontend = self.frontend
        write(asyncio.get_running_loop().time(), len(frontend.connections), frontend.open)

    async def _drain(self, plan: ShutdownSchedule) -> None:
        await asyncio.sleep(plan.accept_until - plan.signalled_at)
        # Callers who come again and again to be refused do not keep the process.
        await self._finish(plan.last_response_at, POLL_S)
        self.frontend.server.stop()
        self.frontend.closing = True
        self._log_stop(self.shutdown_log.taken)
        await self._finish(plan.last_response_at)
        self.frontend.abandon()
        await self._finish(plan.close_at)

    async def _finish(self, until: float, age_s: float = 0) -> None:
        clock = asyncio.get_running_loop().time
        while True:
            # Also a process that is late, or has just accepted a connection, gives requests a look.
            await asyncio.sleep(min(POLL_S, max(0, until - clock())))
            if clock() >= until or not self.frontend.is_busy(clock() - age_s):
                return

    def _apply_bounds(self, bounds: BoundSettings) -> None:
        entry_state = self.parts.entry_state
        entry_state.freshness.bound_s = bounds.revoked_key_s
        entry_state.versions.bound_s = bounds.weights_s
        budget = self.parts.runner.budget
        budget.ratio = bounds.retry_ratio
        budget.slack = bounds.retry_slack
        self.settings = self.settings.model_copy(update={'bounds': bounds})

    def _is_ready(self) -> bool:
        return self.parts.entry_state.is_ready(boot_time())

    def _addresses(self, region: str) -> AddressResponse:
        now = asyncio.get_running_loop().time()
        self.parts.messenger.refresh_own_state()
        members = self.parts.entry_state.members
        own = weight_by_capacity(members.registry.usable_members())
        others = list(members.regions.endpoints(now))
        if region == self.settings.region:
            chosen = choose_addresses(own, others, self.rng)
        else:
            near = list(members.regions.endpoints(now, region))
            chosen = choose_addresses(near, [*own, *others], self.rng)
        return AddressResponse(chosen, self._lifetime_s())

    def _lifetime_s(self) -> float:
        return min(LIFETIME_S, self.settings.bounds.address_lifetime_s)

    async def _tidy(self) -> None:
        while True:
            await asyncio.sleep(TIDY_S)
            now = asyncio.get_running_loop().time()
            self.parts.entry_state.replicas.expire(now)
            keys = frozenset(self.parts.entry_state.replicas.by_key())
            self.parts.runner.attempts.pool.keep_only(keys)
            self.parts.runner.attempts.signals.prune(keys)
            self.parts.candidates.keep_only(keys)
            self.parts.runner.crash_detector.keep_only(keys)
            self.parts.telemetry.update_gauges()


__all__ = ('DirectEntry',)
