"""Detects backend servers that make no progress on a request."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

#: Seconds between two attempts to reserve an alternative to a stalled backend server.
RECHECK_INTERVAL_S = 0.2
#: Seconds of grace for bytes that arrived while this process was paused and are not read yet.
UNREAD_GRACE_S = 0.02
#: Bytes of an incomplete event or body that count as progress.
PROGRESS_BYTES = 1_024


class ReplicaStalled(Exception):
    """The backend server made no progress, and an alternative has been reserved."""


@dataclass(slots=True)
class StallDetector:
    """Ends a wait for bytes if there is no progress within a limit and an alternative exists.

    Without an alternative the wait continues, since a late response is better than none.
    ``limit_s`` is the limit in seconds, None for no limit. ``reserve`` reserves the alternative and
    returns whether it could. ``trickling`` is set when bytes arrive just after the limit; if they
    do not add up to progress by the next check, the request moves even though bytes still arrive.
    """

    reserve: Callable[[], Awaitable[bool]]
    limit_s: float | None = None
    check_at: float = 0
    partial_bytes: int = 0
    trickling: bool = False

    def restart(self, limit_s: float | None) -> None:
        """Record progress and restart the limit.

        :param limit_s: seconds without further progress, None for no limit.
        """
        self.limit_s = limit_s
        self.check_at = _now() + (limit_s or 0)
        self.partial_bytes = 0
        self.trickling = False

    def add_bytes(self, size: int) -> None:
        """Count bytes of an incomplete event or body; enough of them are progress.

        :param size: number of bytes received.
        """
        self.partial_bytes += size
        if self.partial_bytes >= PROGRESS_BYTES:
            self.restart(self.limit_s)

    async def wait(self, data: asyncio.Future[Any]) -> None:
        """Wait for the next bytes; the read is not cancelled if the wait ends without them.

        :param data: done when bytes were read.
        :raises ReplicaStalled: if the request moves to the reserved alternative.
        """
        while not await _is_done(data, self._left_s()):
            if not self.trickling and await _is_done(data, UNREAD_GRACE_S):
                # These bytes alone are no progress, but more of them may be unread.
                self.trickling = True
                self._recheck_later()
                return
            # Bytes that arrive during the reservation take precedence over the alternative.
            if await self.reserve() and (self.trickling or not data.done()):
                raise ReplicaStalled
            self._recheck_later()

    def _left_s(self) -> float | None:
        if self.limit_s is None:
            return None
        return max(0, self.check_at - _now())

    def _recheck_later(self) -> None:
        self.check_at = _now() + RECHECK_INTERVAL_S


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _is_done(data: asyncio.Future[Any], within_s: float | None) -> bool:
    done, _ = await asyncio.wait((data,), timeout=within_s)
    return bool(done)


__all__ = (
    'ReplicaStalled',
    'StallDetector',
)
