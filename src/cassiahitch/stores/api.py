"""Interfaces of the platform services that the system uses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

#: Version number that stands for a row that does not exist.
ABSENT_VERSION = 0
#: Era of a store that names none. A restore from an older copy begins a new era.
NO_ERA = -1


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service; ``version`` rises with every write to its key in an era."""

    table: str
    key: str
    content: bytes
    version: int
    era: int = NO_ERA


@dataclass(frozen=True, slots=True)
class Condition:
    """Precondition that a row has ``version``; ``ABSENT_VERSION``: that it does not exist.

    ``era`` is the era of the store in which the version was read.
    """

    table: str
    key: str
    version: int
    era: int = NO_ERA


@dataclass(frozen=True, slots=True)
class Write:
    """Write of a row; deletes the row if ``content`` is ``None``."""

    table: str
    key: str
    content: bytes | None


@dataclass(frozen=True, slots=True)
class CommitSuccess:
    """Result of a committed transaction; ``versions`` are those of its writes, in order.

    ``era`` is the era of the store in which it was committed.
    """

    versions: tuple[int, ...]
    era: int = NO_ERA


@dataclass(frozen=True, slots=True)
class CommitConflict:
    """Result of a refused transaction: a condition failed, and nothing was written.

    ``rows`` are the rows whose versions differ from the conditions.
    """

    rows: tuple[Row, ...]


class TableService(Protocol):
    """A transactional table service.

    Every call may raise :class:`~cassiahitch.errors.PlatformError` with code
    ``store_unavailable`` (nothing was written) or, for ``commit``, ``store_outcome_unknown``
    (the response was lost; the writes may have taken effect).
    """

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""

    async def scan(self, table: str, prefix: str, after: str, limit: int) -> tuple[Row, ...]:
        """Return up to ``limit`` rows with a key above ``after`` that starts with ``prefix``."""

    async def commit(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
    ) -> CommitSuccess | CommitConflict:
        """Apply all writes if all conditions hold, else none of them."""


class ObjectStore(Protocol):
    """A store of immutable objects, identified by their keys."""

    async def get(self, key: str) -> bytes:
        """Return an object; raises ``object_missing`` if it does not exist."""

    async def put(self, key: str, content: bytes) -> None:
        """Store an object."""


class WeightOrigin(Protocol):
    """The origin that weights are published at, behind a link of limited bandwidth."""

    async def manifest(self, origin: str) -> bytes:
        """Return the JSON manifest that is published under an origin path."""

    async def chunk(self, origin: str, index: int) -> bytes:
        """Return a chunk of an origin path; ``index`` is its position in the manifest."""


@dataclass(frozen=True, slots=True)
class HostRecord:
    """An entry of the platform's host list; the list may be out of date."""

    host: str
    address: str
    leaving: bool


class HostList(Protocol):
    """The platform's list of live hosts and of those that are being removed."""

    async def hosts(self) -> tuple[HostRecord, ...]:
        """Return the hosts that are listed now."""


__all__ = (
    'ABSENT_VERSION',
    'NO_ERA',
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
