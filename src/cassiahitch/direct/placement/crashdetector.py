"""Notices crashes of backend servers and accuses the requests that ran there."""

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

#: Seconds until the check of a backend server fails.
CHECK_TIMEOUT_S = 0.3
#: Seconds for which a request that ended still counts as in flight at a crash.
JUST_ENDED_S = 0.4


@dataclass(slots=True)
class CrashDetector:
    """Knows what is in flight on each backend server."""

    entry_state: EntryState
    telemetry: Telemetry
    in_flight: dict[str, dict[Fingerprint, float]] = field(default_factory=dict)
    checks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    crashed: set[str] = field(default_factory=set)

    @contextmanager
    def track(self, call: Call, replica: Replica) -> Iterator[None]:
        """Count a request as in flight.

        :param call: the request.
        :param replica: where it runs.
        :yield: while it runs.
        """
        mark = call.fingerprint
        requests = self.in_flight.setdefault(replica.key, {})
        if mark is not None:
            requests[mark] = float('inf')
        try:
            yield
        finally:
            if mark is not None:
                requests[mark] = asyncio.get_running_loop().time()

    def check(self, replica: Replica) -> None:
        """Check whether a backend server that broke off has crashed.

        :param replica: the backend server.
        """
        if replica.key in self.checks or replica.key in self.crashed:
            return
        task = asyncio.create_task(self.probe(replica))
        self.checks[replica.key] = task
        task.add_done_callback(lambda _: self.checks.pop(replica.key, None))

    async def probe(self, replica: Replica) -> None:
        """Accuse the requests in flight if nothing listens any more.

        :param replica: the backend server.
        """
        try:
            connection = await connect(replica, CHECK_TIMEOUT_S)
        except ConnectFailed as error:
            if error.refused:
                self.accuse(replica)
            return
        connection.close()

    def accuse(self, replica: Replica) -> None:
        """Accuse the requests that were in flight.

        :param replica: the backend server that crashed.
        """
        now = asyncio.get_running_loop().time()
        self.crashed.add(replica.key)
        recent = self.in_flight.get(replica.key, {})
        accused = tuple(mark for mark, ended in recent.items() if now - ended < JUST_ENDED_S)
        self.entry_state.crashes.record_crash(replica.id, replica.born_ms, accused, now)
        self.telemetry.replica_crashed(replica, len(accused))

    def keep_only(self, keys: frozenset[str]) -> None:
        """Forget replicas that are gone and requests that ended long ago.

        :param keys: names of the incarnations that are known.
        """
        now = asyncio.get_running_loop().time()
        self.crashed &= keys
        self.in_flight = {
            key: {mark: ended for mark, ended in marks.items() if now - ended < JUST_ENDED_S}
            for key, marks in self.in_flight.items()
            if key in keys
        }


__all__ = ('CrashDetector',)
