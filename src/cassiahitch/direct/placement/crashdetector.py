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
    from cassiahitch.routing.suspects import Fingerprint

#: Connect timeout of the probe of a backend server, in seconds.
PROBE_TIMEOUT_S = 0.3
#: Seconds after its end for which a request still counts as in flight at a crash.
RECENTLY_ENDED_S = 0.4


@dataclass(slots=True)
class CrashDetector:
    """Tracks the requests on each backend server, and probes servers that lost a connection.

    ``in_flight`` maps replica keys to the requests that ran there and the times of their ends,
    infinity for running ones. ``crashed`` holds the keys of replicas whose crash was recorded.
    """

    entry_state: EntryState
    telemetry: Telemetry
    in_flight: dict[str, dict[Fingerprint, float]] = field(default_factory=dict)
    probes: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    crashed: set[str] = field(default_factory=set)

    @contextmanager
    def track(self, call: Call, replica: Replica) -> Iterator[None]:
        """Track a request as in flight for the duration of the context.

        :param call: the request.
        :param replica: replica that runs it.
        :yield: nothing.
        """
        fingerprint = call.fingerprint
        requests = self.in_flight.setdefault(replica.key, {})
        if fingerprint is not None:
            requests[fingerprint] = float('inf')
        try:
            yield
        finally:
            if fingerprint is not None:
                requests[fingerprint] = asyncio.get_running_loop().time()

    def check(self, replica: Replica) -> None:
        """Start a probe of a backend server that closed a connection unexpectedly.

        :param replica: replica whose connection was closed.
        """
        if replica.key in self.probes or replica.key in self.crashed:
            return
        task = asyncio.create_task(self.probe(replica))
        self.probes[replica.key] = task
        task.add_done_callback(lambda _: self.probes.pop(replica.key, None))

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
        recent = self.in_flight.get(replica.key, {})
        in_flight = tuple(
            fingerprint for fingerprint, ended in recent.items() if now - ended < RECENTLY_ENDED_S
        )
        self.entry_state.crashes.record_crash(replica.id, replica.born_ms, in_flight, now)
        self.telemetry.replica_crashed(replica, len(in_flight))

    def keep_only(self, keys: frozenset[str]) -> None:
        """Drop replicas that are no longer registered, and requests that ended long ago.

        :param keys: keys of the registered replicas.
        """
        now = asyncio.get_running_loop().time()
        self.crashed &= keys
        self.in_flight = {
            key: {
                fingerprint: ended
                for fingerprint, ended in requests.items()
                if now - ended < RECENTLY_ENDED_S
            }
            for key, requests in self.in_flight.items()
            if key in keys
        }


__all__ = ('CrashDetector',)
