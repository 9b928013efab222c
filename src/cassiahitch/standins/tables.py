"""An in-memory table service with faults from a seeded random generator."""

from __future__ import annotations

import asyncio
import random
from bisect import bisect_right, insort
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from cassiahitch.codes import Code
from cassiahitch.errors import PlatformError
from cassiahitch.stores.api import (
    ABSENT_VERSION,
    CommitConflict,
    CommitSuccess,
    Condition,
    Row,
    Write,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

#: Maximum number of concurrent calls; further ones are refused.
MAX_CALLS = 256


class Sleep(Protocol):
    """Signature of a function that sleeps."""

    async def __call__(self, delay: float, /) -> None:
        """Sleep.

        :param delay: seconds to sleep.
        """


@dataclass(slots=True)
class TableFaults:
    """Faults of the table service; shares are between 0 and 1.

    Half of ``delay_s`` passes before a call takes effect and half after it. ``refused_share`` of
    the calls fail before they take effect; ``lost_share`` of the commits take effect, but their
    response is lost.
    """

    down: bool = False
    delay_s: float = 0
    refused_share: float = 0
    lost_share: float = 0


@dataclass(slots=True)
class TableCounters:
    """Numbers of calls and of injected faults."""

    reads: int = 0
    scans: int = 0
    commits: int = 0
    conflicts: int = 0
    refused: int = 0
    lost: int = 0


class MemoryTables:
    """A :class:`~cassiahitch.stores.api.TableService` that keeps its rows in memory."""

    def __init__(
        self,
        rng: random.Random | None = None,
        max_calls: int = MAX_CALLS,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        """Create an empty service without faults.

        :param rng: random generator for the faults.
        :param max_calls: maximum number of concurrent calls; further ones get ``store_busy``.
        :param sleep: sleeps for the delays.
        """
        self.rng = rng or random.Random(0)
        self.max_calls = max_calls
        self.sleep = sleep
        self.faults = TableFaults()
        self.counters = TableCounters()
        self.calls_in_flight = 0
        self.last_version = ABSENT_VERSION
        self.rows: dict[tuple[str, str], Row] = {}
        self.keys: dict[str, list[str]] = {}

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row.

        :param table: table of the row.
        :param key: key of the row.
        :return: the row, None if it does not exist.
        :raises PlatformError: with ``store_unavailable`` or ``store_busy``.
        """
        async with self.call():
            self.counters.reads += 1
            return self.rows.get((table, key))

    async def scan(self, table: str, prefix: str, after: str, limit: int) -> tuple[Row, ...]:
        """Return rows in the order of their keys.

        :param table: table of the rows.
        :param prefix: prefix of their keys.
        :param after: key after which to start.
        :param limit: maximum number of rows.
        :return: the rows.
        :raises PlatformError: with ``store_unavailable`` or ``store_busy``.
        """
        async with self.call():
            self.counters.scans += 1
            return self._range(table, prefix, after, limit)

    async def commit(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
    ) -> CommitSuccess | CommitConflict:
        """Apply all writes if all conditions hold, otherwise none.

        :param conditions: versions that rows must have.
        :param writes: rows to set or delete.
        :return: the new versions, or the rows whose versions differ.
        :raises PlatformError: with ``store_unavailable``, ``store_busy`` or, if the response
            was lost, ``store_outcome_unknown``.
        """
        async with self.call():
            self.counters.commits += 1
            outcome = self._apply(conditions, writes)
        if self.rng.random() < self.faults.lost_share:
            self.counters.lost += 1
            raise PlatformError(Code.store_outcome_unknown, 'the response of the commit was lost')
        return outcome

    @asynccontextmanager
    async def call(self) -> AsyncIterator[None]:
        """Count one call, and delay or refuse it.

        :raises PlatformError: with ``store_unavailable`` or ``store_busy``.
        :yields: nothing, at the time at which the call takes effect.
        """
        if self.calls_in_flight >= self.max_calls:
            raise PlatformError(Code.store_busy, f'{self.max_calls} calls are in progress')
        self.calls_in_flight += 1
        try:
            async with self._delay():
                yield
        finally:
            self.calls_in_flight -= 1

    @asynccontextmanager
    async def _delay(self) -> AsyncIterator[None]:
        half_s = self.faults.delay_s / 2
        await self.sleep(half_s)
        if self.faults.down or self.rng.random() < self.faults.refused_share:
            self.counters.refused += 1
            raise PlatformError(Code.store_unavailable, 'the table service does not respond')
        yield
        await self.sleep(half_s)

    def _range(self, table: str, prefix: str, after: str, limit: int) -> tuple[Row, ...]:
        keys = self.keys.get(table, [])
        first = bisect_right(keys, after)
        rows: list[Row] = []
        for key in keys[first:]:
            if len(rows) == limit or (key > prefix and not key.startswith(prefix)):
                break
            if key.startswith(prefix):
                rows.append(self.rows[table, key])
        return tuple(rows)

    def _apply(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
    ) -> CommitSuccess | CommitConflict:
        current = [self._current(condition) for condition in conditions]
        differing = tuple(
            row
            for row, condition in zip(current, conditions, strict=True)
            if row.version != condition.version
        )
        if differing:
            self.counters.conflicts += 1
            return CommitConflict(differing)
        return CommitSuccess(tuple(self._write(write) for write in writes))

    def _current(self, condition: Condition) -> Row:
        absent = Row(condition.table, condition.key, b'', ABSENT_VERSION)
        return self.rows.get((condition.table, condition.key), absent)

    def _write(self, write: Write) -> int:
        row_id = (write.table, write.key)
        keys = self.keys.setdefault(write.table, [])
        self.last_version += 1
        if write.content is None:
            if self.rows.pop(row_id, None):
                keys.remove(write.key)
            return ABSENT_VERSION
        if row_id not in self.rows:
            insort(keys, write.key)
        self.rows[row_id] = Row(write.table, write.key, write.content, self.last_version)
        return self.last_version


__all__ = (
    'MAX_CALLS',
    'MemoryTables',
    'Sleep',
    'TableCounters',
    'TableFaults',
)
