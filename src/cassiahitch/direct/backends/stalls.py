"""How long a backend server may make no progress."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

#: Seconds between two looks whether a silent backend server can be left.
LOOK_AGAIN_S = 0.2
#: Seconds for bytes that came while this process stood still, before they count as missing.
SETTLE_S = 0.02
#: Bytes of something unfinished that count as progress.
PROGRESS_BYTES = 1_024


class ReplicaStalled(Exception):
    """The backend server made no progress for long, and what is needed elsewhere is reserved."""


@dataclass(slots=True)
class StallDetector:
    """Ends a wait once there was no progress for long and there is somewhere else to go.

    While there is nowhere to go, the wait goes on: a late answer is better than none. ``limit_s``
    are the seconds without progress that are borne, none if it does not matter. ``reserve``
    reserves what is needed to go elsewhere, and tells whether it could.
    """

    reserve: Callable[[], Awaitable[bool]]
    limit_s: float | None = None
    look_at: float = 0
    unfinished: int = 0
    trickles: bool = False

    def restart(self, limit_s: float | None) -> None:
        """Start to wait for the next progress.

        :param limit_s: seconds that are borne without any, none if it does not matter.
        """
        self.limit_s = limit_s
        self.look_at = _now() + (limit_s or 0)
        self.unfinished = 0
        self.trickles = False

    def add_bytes(self, size: int) -> None:
        """Count bytes of something unfinished; enough of them are progress.

        :param size: how many came.
        """
        self.unfinished += size
        if self.unfinished >= PROGRESS_BYTES:
            self.restart(self.limit_s)

    async def wait(self, news: asyncio.Future[Any]) -> None:
        """Wait for the next bytes; nothing is lost if the wait ends without them.

        :param news: done when there are some.
        :raises ReplicaStalled: if the backend server is left.
        """
        while not await _comes(news, self._left_s()):
            if not self.trickles and await _comes(news, SETTLE_S):
                # They are no news yet, but more may stand behind them.
                self.trickles = True
                self._look_again()
                return
            # News that come while a place is looked for are better than the place.
            if await self.reserve() and (self.trickles or not news.done()):
                raise ReplicaStalled
            self._look_again()

    def _left_s(self) -> float | None:
        if self.limit_s is None:
            return None
        return max(0, self.look_at - _now())

    def _look_again(self) -> None:
        self.look_at = _now() + LOOK_AGAIN_S


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _comes(news: asyncio.Future[Any], within_s: float | None) -> bool:
    done, _ = await asyncio.wait((news,), timeout=within_s)
    return bool(done)


__all__ = (
    'ReplicaStalled',
    'StallDetector',
)
