"""Detection of crashed backend servers, and of the requests that were running there.

A request that was in flight at a crash is reported as a possible cause.
"""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.backends.connection import ConnectFailed, connect

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cassiahitch.direct.api import Call
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.direct.telemetry import Telemetry

#: Connect timeout of the probe of a backend server, in seconds.
PROBE_TIMEOUT_S = 0.3
#: Seconds after its end for which a request still counts as in flight at a crash.
RECENTLY_ENDED_S = 0.4


@dataclass(slots=True)
class TrackedCall:
    """A request on a backend server; ``ended_at`` is infinity while it runs, in seconds."""

    call: Call
    ended_at: float = float('inf')


@dataclass(slots=True)
class CrashDetector:
    """Tracks the requests on each backend server, and probes servers that lost a connection.

    ``in_flight`` maps replica keys to the requests that run there or ended recently. ``crashed``
    holds the keys of replicas whose crash was recorded.
    """

    entry_state: EntryState
    telemetry: Telemetry
    in_flight: dict[str, list[TrackedCall]] = field(default_factory=dict)
    probes: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    crashed: set[str] = field(default_factory=set)

    @contextmanager
    def track(self, call: Call, replica: Replica) -> Iterator[None]:
        """Track a request as in flight for the duration of the context.

        :param call: the request.
        :param replica: replica that runs it.
        :yield: nothing.
        """
        tracked = TrackedCall(call)
        self.in_flight.setdefault(replica.key, []).append(tracked)
        try:
            yield
        finally:
            tracked.call = call.without_content()
            tracked.ended_at = asyncio.get_running_loop().time()

    def check(self, replica: Replica) -> None:
        """Start a probe of a backend server that closed a connection unexpectedly.

        :param replica: replica whose connection was closed.
        """
        if replica.key in self.probes or replica.key in self.crashed:
            return
        task = asyncio.create_task(self.probe(replica))
        self.probes[replica.key] = task
        task.add_done_callback(lambda _: self.probes.pop(replica.key, None))

    async def wait_for_probe(self, replica: Replica) -> None:
        """Wait until the running probe of a backend server has ended.

        :param replica: replica whose connection was closed.
        """
        probe = self.probes.get(replica.key)
        if probe is not None:
            await asyncio.wait((probe,), timeout=PROBE_TIMEOUT_S)

    async def probe(self, replica: Replica) -> None:
        """Record a crash if the backend server refuses a connection.

        :param replica: replica to connect to.
        """
        try:
            connection = await connect(replica, PROBE_TIMEOUT_S)
        except ConnectFailed as error:
            if error.refused:
                self.record_crash(replica)
            return
        connection.close()

    def record_crash(self, replica: Replica) -> None:
        """Report the requests that were in flight at a crash.

        :param replica: replica that crashed.
        """
        now = asyncio.get_running_loop().time()
        self.crashed.add(replica.key)
        calls = [tracked.call for tracked in recent_calls(self.in_flight.get(replica.key, []), now)]
        in_flight = tuple({call.fingerprint for call in calls if call.fingerprint is not None})
        self.entry_state.crashes.record_crash(replica.id, replica.born_ms, in_flight, now)
        self.telemetry.replica_crashed(replica, calls)
        listed = self.entry_state.replicas.replicas.get(replica.id)
        if listed is None or not listed.draining:
            self.entry_state.segments.record_crash(replica, calls, now)

    def keep_only(self, keys: frozenset[str]) -> None:
        """Drop replicas that are no longer registered, and requests that ended long ago.

        :param keys: keys of the registered replicas.
        """
        now = asyncio.get_running_loop().time()
        self.crashed &= keys
        self.in_flight = {
            key: recent_calls(tracked, now)
            for key, tracked in self.in_flight.items()
            if key in keys
        }


def recent_calls(tracked_calls: list[TrackedCall], now: float) -> list[TrackedCall]:
    """Return the requests that count as in flight.

    :param tracked_calls: requests on one backend server.
    :param now: current time in seconds.
    :return: those that run or ended recently.
    """
    return [tracked for tracked in tracked_calls if now - tracked.ended_at < RECENTLY_ENDED_S]


__all__ = (
    'CrashDetector',
    'TrackedCall',
    'recent_calls',
)
