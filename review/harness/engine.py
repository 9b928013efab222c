"""A model replica that takes the staged pieces when it accepts an order, as the pages say."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, urlsplit

from cassiahitch.platform import names
from cassiahitch.standins.backends import BackendStandin, EngineWeights, ResponseParts

#: Seconds between two checks whether all requests have ended before a load.
POLL_S = 0.005


def _ignore_read(_index: int) -> None:
    """Do nothing when a piece is read."""


def _ignore_load() -> None:
    """Do nothing when a load has ended."""


def _ignore_order(_version: int, _status: int) -> None:
    """Do nothing when an order arrives."""


@dataclass(slots=True)
class ReviewEngine(BackendStandin):
    """One replica; ``taken`` holds the pieces as they lay there when the last order was accepted.

    ``bad_since`` holds when staged pieces turned bad, ``taken_bad_for`` how long each bad piece had
    been bad when it was taken, in seconds. ``on_read`` is called with the number of a piece that
    the agent reads, ``on_order`` with each order and its answer.
    """

    on_read: Callable[[int], None] = _ignore_read
    on_order: Callable[[int, int], None] = _ignore_order
    on_loaded: Callable[[], None] = _ignore_load
    bad_since: dict[int, float] = field(default_factory=dict)
    taken: dict[int, bytes] = field(default_factory=dict)
    taken_bad_for: dict[int, float] = field(default_factory=dict)

    def turn_bad(self, indexes: tuple[int, ...]) -> None:
        """Spoil pieces that lie here."""
        engine = self.engine or EngineWeights()
        for index in indexes:
            piece = engine.staged[index]
            engine.staged[index] = bytes([piece[0] ^ 255]) + piece[1:]
            self.bad_since[index] = asyncio.get_running_loop().time()

    async def handle_agent_call(
        self, engine: EngineWeights, method: str, target: str, body: bytes
    ) -> ResponseParts | None:
        """Answer a call of the agent, and tell the case of it."""
        parts = urlsplit(target)
        index = int(parse_qs(parts.query).get(names.CHUNK_INDEX, ['-1'])[0])
        if parts.path.startswith(names.STORE_CHUNK_PATH):
            self.bad_since.pop(index, None)
        answer = await BackendStandin.handle_agent_call(self, engine, method, target, body)
        if parts.path.startswith(names.READ_CHUNK_PATH):
            self.on_read(index)
        return answer

    def order(self, engine: EngineWeights, order: dict[str, Any]) -> int:
        """Accept an order: the pieces are taken as they are now."""
        status = BackendStandin.order(self, engine, order)
        if status == HTTPStatus.ACCEPTED:
            now = asyncio.get_running_loop().time()
            self.taken = dict(engine.staged)
            self.taken_bad_for = {index: now - at for index, at in self.bad_since.items()}
        self.on_order(order['version'], int(status))
        return status

    async def load(self, engine: EngineWeights, version: int) -> None:
        """Load what was taken; a crash meanwhile ends the load."""
        born = self.started_at_ms
        while self.running and born == self.started_at_ms:
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(engine.load_s)
        if born == self.started_at_ms:
            engine.version = version
            engine.loading = False
            self.on_loaded()
