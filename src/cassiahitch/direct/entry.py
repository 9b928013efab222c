"""The entry process: accepts requests of callers and sends them to backend servers."""

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
from cassiahitch.direct.callers.shutdown import ShutdownSchedule
from cassiahitch.direct.callers.shutdownlog import ShutdownLog
from cassiahitch.direct.callersport import make_frontend
from cassiahitch.direct.members.addresses import (
    AddressResponse,
    choose_addresses,
    weight_by_capacity,
)
from cassiahitch.direct.members.discovery import Discovery
from cassiahitch.direct.reloading import SettingsWatch
from cassiahitch.direct.serving import serve
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.updater import StateUpdater
from cassiahitch.direct.tablefollowers import EntryTableFollowers
from cassiahitch.metrics.exposition import metrics_service
from cassiahitch.metrics.names import GaugeName
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.util.listening import listen
from cassiahitch.wire.datagrams import DatagramSocket
from cassiahitch.wire.tasks import ProcessTasks

if TYPE_CHECKING:
    from cassiahitch.direct.callers.exchange import CallerExchange
    from cassiahitch.direct.platformapi import EntryPlatform
    from cassiahitch.settings.direct import BoundSettings, DirectEntrySettings
    from cassiahitch.stores.http_client import HttpClient

#: Time between two removals of expired replicas and their state, in seconds.
CLEANUP_INTERVAL_S = 0.25
#: Lifetime of the addresses that the directory returns, in seconds.
ADDRESS_LIFETIME_S = 2.0
#: Number of lifetimes for which some callers keep using an address.
ADDRESS_HOLD_LIFETIMES = 3
#: Time between two checks whether all requests have ended during a shutdown, in seconds.
DRAIN_POLL_INTERVAL_S = 0.05


class DirectEntry:
    """Owns the sockets and background tasks of an entry."""

    def __init__(
        self,
        settings: DirectEntrySettings,
        platform: EntryPlatform,
        http_client: HttpClient,
        path: Path | None = None,
    ) -> None:
        """Create the entry; it opens no sockets yet.

        :param settings: settings of the entry.
        :param platform: interface to the platform.
        :param http_client: sends requests to other entries.
        :param path: settings file to reload on changes, None to never reload.
        """
        self.settings = settings
        self.platform = platform
        self.http_client = http_client
        self.rng = random.Random()
        self.incarnation = time.time_ns()
        self.tasks = ProcessTasks()
        self.stack = AsyncExitStack()
        self.parts: EntryParts = make_parts(settings, platform, self.incarnation, self.rng)
        updater = StateUpdater(self.parts.entry_state, platform, self.parts.telemetry)
        self.table_followers = EntryTableFollowers(
            settings, platform, self.parts, updater, self.rng
        )
        self.frontend = make_frontend(settings, self.parts.runner, self.rng)
        self.shutdown_log = ShutdownLog(self.parts.telemetry.metrics, platform.codec)
        self.watch = SettingsWatch(
            path or Path(), settings, self.parts.telemetry, self._apply_bounds
        )
        self.discovery = Discovery(platform, self.parts.entry_state, settings, self.rng)

    async def start(self) -> None:
        """Open the sockets and start the background tasks."""
        settings = self.settings
        self.frontend.server.add_socket(listen(settings.callers.address, settings.callers.port))
        serve(
            self.platform.readiness(self._is_ready),
            settings.readiness,
            self.frontend.guard,
            self.stack,
        )
        serve(
            self.platform.directory(self._choose_addresses),
            settings.directory,
            self.frontend.guard,
            self.stack,
        )
        metrics = metrics_service(self.parts.telemetry.metrics)
        serve(
            metrics,
            Endpoint(settings.address, settings.metrics_port),
            self.frontend.guard,
            self.stack,
        )
        messenger = self.parts.messenger
        datagrams = DatagramSocket(messenger.receive, messenger.log_refused)
        await datagrams.open(settings.address, settings.peer_port)
        self.stack.callback(datagrams.close)
        messenger.socket = datagrams
        messenger.reservations.socket = datagrams
        messenger.permits.socket = datagrams
        seeds = dict.fromkeys((seed.address for seed in settings.seeds), '')
        self.parts.entry_state.members.registry.add_addresses(
            seeds, asyncio.get_running_loop().time()
        )
        relay = self.table_followers.make_relay(self.http_client)
        relay.socket = datagrams
        messenger.relay = relay
        rows = self.table_followers.row_service(relay)
        serve(rows, Endpoint(settings.address, settings.peer_port), self.frontend.guard, self.stack)
        tasks = (
            *(follower.work() for follower in relay.followers.values()),
            messenger.send_heartbeats(),
            self.discovery.work(),
            self.table_followers.make_start_check(relay).work(),
            self._expire_stale_state(),
            close_disconnected(self.frontend.running),
            self.frontend.guard.work(),
            *((self.watch.work(),) if self.watch.path.is_file() else ()),
        )
        self.tasks.start(tasks, self.stack)

    def ports(self) -> dict[str, int]:
        """Return the ports that the entry listens on.

        :return: ports by the names of their settings.
        """
        return {
            'callers': self.settings.callers.port,
            'readiness': self.settings.readiness.port,
            'directory': self.settings.directory.port,
        }

    def reload(self) -> None:
        """Reload the settings file."""
        self.watch.reload()

    async def stop(self) -> None:
        """Announce the shutdown, finish requests within the grace period, and close everything."""
        clock = asyncio.get_running_loop().time
        bounds = self.settings.bounds
        schedule = ShutdownSchedule(
            clock(), bounds.grace_s, ADDRESS_HOLD_LIFETIMES * self._lifetime_s()
        )
        self.parts.entry_state.stopping = True
        self.frontend.start_shutdown(schedule)
        self._log_shutdown(self.shutdown_log.shutdown_started)
        self.parts.messenger.refresh_own_state()
        await self._drain_requests(schedule)
        self._log_shutdown(self.shutdown_log.closing_connections)
        await self.frontend.server.close_all_connections()
        self.parts.runner.attempts.pool.close()
        await self.stack.aclose()

    def _log_shutdown(
        self, write_line: Callable[[float, int, Iterable[CallerExchange]], None]
    ) -> None:
        frontend = self.frontend
        write_line(asyncio.get_running_loop().time(), len(frontend.connections), frontend.open)

    async def _drain_requests(self, schedule: ShutdownSchedule) -> None:
        await asyncio.sleep(schedule.accept_until - schedule.signalled_at)
        # Only older requests are waited for: callers that keep retrying and are refused must not
        # delay the end of the process.
        await self._wait_until_idle(schedule.last_response_at, DRAIN_POLL_INTERVAL_S)
        self.frontend.server.stop()
        self.frontend.closing = True
        self._log_shutdown(self.shutdown_log.accept_stopped)
        await self._wait_until_idle(schedule.last_response_at)
        self.frontend.abandon()
        await self._wait_until_idle(schedule.close_at)

    async def _wait_until_idle(self, deadline: float, min_age_s: float = 0) -> None:
        clock = asyncio.get_running_loop().time
        while True:
            # Sleeps at least once, so that requests on connections that were just accepted are read
            # even if the process is behind schedule.
            await asyncio.sleep(min(DRAIN_POLL_INTERVAL_S, max(0, deadline - clock())))
            if clock() >= deadline or not self.frontend.is_busy(clock() - min_age_s):
                return

    def _apply_bounds(self, bounds: BoundSettings) -> None:
        entry_state = self.parts.entry_state
        entry_state.freshness.bound_s = bounds.revoked_key_s
        entry_state.freshness.configuration_bound_s = bounds.configuration_s
        entry_state.versions.bound_s = bounds.weights_s
        budget = self.parts.runner.budget
        budget.ratio = bounds.retry_ratio
        budget.slack = bounds.retry_slack
        self.settings = self.settings.model_copy(update={'bounds': bounds})

    def _is_ready(self) -> bool:
        return self.parts.entry_state.is_ready(boot_time())

    def _choose_addresses(self, host: str, region: str) -> AddressResponse:
        now = asyncio.get_running_loop().time()
        self.parts.messenger.refresh_own_state()
        entry_state = self.parts.entry_state
        members = entry_state.members
        by_region = {
            self.settings.region: weight_by_capacity(members.registry.usable_members()),
            **members.regions.endpoints_by_region(now),
        }
        allowed = entry_state.catalogue.host_regions(host) if entry_state.catalogue else frozenset()
        chosen = choose_addresses(by_region, region, allowed, self.rng)
        return AddressResponse(chosen, self._lifetime_s())

    def _lifetime_s(self) -> float:
        return min(ADDRESS_LIFETIME_S, self.settings.bounds.address_lifetime_s)

    async def _expire_stale_state(self) -> None:
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            self.parts.entry_state.replicas.expire(now)
            self.parts.entry_state.choose_limiters(boot_time())
            self.parts.entry_state.record_entry_count(now)
            keys = frozenset(self.parts.entry_state.replicas.by_key())
            attempts = self.parts.runner.attempts
            attempts.pool.keep_only(keys)
            attempts.signals.prune(keys)
            attempts.end_verifier.history.keep_only(keys)
            self.parts.candidates.keep_only(keys)
            self.parts.messenger.permits.keep_only(keys)
            self.parts.runner.crash_detector.keep_only(keys)
            self.parts.entry_state.segments.expire(now)
            self.parts.telemetry.update_gauges()
            self.parts.telemetry.metrics.gauge(GaugeName.store_era, self.platform.store.era.latest)


__all__ = ('DirectEntry',)
