"""What the system needs of the platform around it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

#: Version of a row that does not exist.
ABSENT_VERSION = 0


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service; ``version`` rises with every write to its key."""

    table: str
    key: str
    content: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Condition:
    """Requires that a row has a version; ``ABSENT_VERSION`` requires that it does not exist."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Sets a row, or deletes it if ``content`` is missing."""

    table: str
    key: str
    content: bytes | None


@dataclass(frozen=True, slots=True)
class CommitSuccess:
    """A transaction took effect; ``versions`` are those of its writes, in order."""

    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CommitConflict:
    """A condition failed and nothing was written; ``rows`` are the rows that differ."""

    rows: tuple[Row, ...]


class TableService(Protocol):
    """A transactional table service.

    Every call may raise :class:`~cassiahitch.errors.PlatformError` with code
    ``store_unavailable`` (nothing happened) or, for ``commit``, ``store_outcome_unknown``
    (the answer was lost; the write may have taken effect).
    """

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or nothing if it does not exist."""

    async def scan(self, table: str, prefix: str, after: str, limit: int) -> tuple[Row, ...]:
        """Return up to ``limit`` rows whose keys start with ``prefix``, after key ``after``."""

    async def commit(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
    ) -> CommitSuccess | CommitConflict:
        """Apply all writes if all conditions hold, else nothing."""


class ObjectStore(Protocol):
    """A store of immutable objects, named by their keys."""

    async def get(self, key: str) -> bytes:
        """Return an object; raises ``object_missing`` if there is none."""

    async def put(self, key: str, content: bytes) -> None:
        """Store an object."""


class WeightOrigin(Protocol):
    """The origin of weights, behind a link of limited rate."""

    async def manifest(self, origin: str) -> bytes:
        """Return the JSON manifest that is published under an origin path."""

    async def chunk(self, origin: str, index: int) -> bytes:
        """Return the chunk of an origin path at an index."""


@dataclass(frozen=True, slots=True)
class HostRecord:
    """A host as the platform's host list names it; the list lags."""

    host: str
    address: str
    leaving: bool


class HostList(Protocol):
    """The platform's list of live and leaving hosts."""

    async def hosts(self) -> tuple[HostRecord, ...]:
        """Return the hosts listed now."""


__all__ = (
    'ABSENT_VERSION',
    'CommitSuccess',
    'Condition',
    'CommitConflict',
    'HostList',
    'HostRecord',
    'ObjectStore',
    'Row',
    'TableService',
    'WeightOrigin',
    'Write',
)
