"""Withdraws requests that wait at an engine until their weights may no longer be used.

Load pattern: new weights are declared while engines are busy. A request that was placed within the
bound of the older version may wait in the queue of its engine, or at an engine that is silent for a
moment, until after the bound. Each attempt at replaced weights that has not begun is therefore
ended while its engine can still notice the closed connection before the bound.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.versions import BOUND_MARGIN_S

if TYPE_CHECKING:
    from cassiahitch.direct.placement.assignments import Assignment, Candidate
    from cassiahitch.direct.state.versions import VersionPolicy

#: Longest time between two checks in seconds: a version may be declared while a request waits, and
#: the timers of the event loop stand still while the host is suspended.
CHECK_INTERVAL_S = 0.2
#: Shortest time between two checks in seconds.
MIN_CHECK_INTERVAL_S = 0.001


class AttemptWithdrawn(Exception):
    """The attempt was ended since its request had not begun in time."""


@dataclass(slots=True, eq=False)
class PendingBegin:
    """An attempt that has not begun, at a version of a model.

    ``timer`` ends the attempt; ``began`` is set with the first byte of its response body.
    """

    model: str
    version: int
    timer: asyncio.Timeout
    began: bool = False

    def begin(self) -> None:
        """Record that the request has begun, so that it is not withdrawn any more."""
        if not self.began and not self.timer.expired():
            self.began = True
            self.timer.reschedule(None)

    def withdraw(self) -> None:
        """End the attempt."""
        if not self.began and not self.timer.expired():
            self.timer.reschedule(asyncio.get_running_loop().time())


@dataclass(slots=True)
class WithdrawalWatch:
    """Watches the attempts that have not begun, with one timer for all of them."""

    versions: VersionPolicy
    pending: set[PendingBegin] = field(default_factory=set)
    timer: asyncio.TimerHandle | None = None

    def may_begin(self, candidate: Candidate, within_s: float = 0) -> bool:
        """Return whether a request may be sent to an engine.

        :param candidate: the engine with its loaded version.
        :param within_s: seconds within which the request is expected to begin.
        :return: whether that is before the version has to be withdrawn; always for plain replicas.
        """
        if not candidate.version:
            return True
        at = boot_time() + within_s
        return self.versions.may_begin(candidate.model, candidate.version, at)

    @asynccontextmanager
    async def watch(self, assignment: Assignment) -> AsyncIterator[PendingBegin]:
        """Watch an attempt.

        :param assignment: the assignment of its request.
        :yield: the attempt, whose begin is to be recorded.
        :raises AttemptWithdrawn: if the attempt is withdrawn.
        """
        candidate = assignment.candidate
        timer = asyncio.timeout(None)
        pending = PendingBegin(candidate.model, candidate.version, timer)
        try:
            async with timer:
                self.add(pending)
                yield pending
        except TimeoutError:
            if timer.expired():
                raise AttemptWithdrawn from None
            raise
        finally:
            self.pending.discard(pending)

    def add(self, pending: PendingBegin) -> None:
        """Watch an attempt, unless it is at a replica without weights.

        :param pending: the attempt.
        """
        if pending.version:
            self.pending.add(pending)
            self.schedule(self.left_s(pending))

    def schedule(self, left_s: float) -> None:
        """Schedule the next check, unless there is one that is early enough.

        :param left_s: seconds until an attempt is withdrawn.
        """
        loop = asyncio.get_running_loop()
        check_at = loop.time() + min(CHECK_INTERVAL_S, max(MIN_CHECK_INTERVAL_S, left_s))
        if self.timer is not None:
            if self.timer.when() <= check_at:
                return
            self.timer.cancel()
        self.timer = loop.call_at(check_at, self.check)

    def check(self) -> None:
        """Withdraw the attempts that are due, and schedule the next check."""
        self.timer = None
        shortest_s = math.inf
        for pending in tuple(self.pending):
            left_s = self.left_s(pending)
            if pending.began or left_s <= 0:
                pending.withdraw()
                self.pending.discard(pending)
            else:
                shortest_s = min(shortest_s, left_s)
        if self.pending:
            self.schedule(shortest_s)

    def left_s(self, pending: PendingBegin) -> float:
        """Return the time until an attempt is withdrawn.

        :param pending: the attempt.
        :return: seconds, infinity if its version has not been replaced.
        """
        left_s = self.versions.left_s(pending.model, pending.version, boot_time())
        return left_s - BOUND_MARGIN_S


__all__ = (
    'AttemptWithdrawn',
    'CHECK_INTERVAL_S',
    'PendingBegin',
    'WithdrawalWatch',
)
