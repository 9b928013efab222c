"""What the platform around the direct path offers, as the adapter implements it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from cassiahitch.direct.members.addresses import AddressResponse

if TYPE_CHECKING:
    from tornado.web import Application

    from cassiahitch.direct.api import RequestCodec, TableStore
    from cassiahitch.direct.staging.enginestate import StagingEngine
    from cassiahitch.direct.state.catalogue import Catalogue
    from cassiahitch.direct.state.feed import TableRow
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.direct.state.versions import DeclaredVersion
    from cassiahitch.util.endpoints import Endpoint

#: Tells whether the process is ready.
IsReady = Callable[[], bool]
#: Answers a caller of a region.
FindAddresses = Callable[[str], AddressResponse]


@dataclass(frozen=True, slots=True)
class TableNames:
    """Tables of the store: what the operator declares, the backend servers, own processes."""

    operator: str
    replicas: str
    entries: str


class EntryPlatform(Protocol):
    """What an entry needs of the platform."""

    store: TableStore
    codec: RequestCodec
    tables: TableNames

    def read_declaration(self, row: TableRow) -> Catalogue | DeclaredVersion | None:
        """Decode a row of the operator; nothing for rows of another kind."""

    def read_replica(self, row: TableRow) -> Replica:
        """Decode the row of a backend server."""

    def readiness(self, is_ready: IsReady) -> Application:
        """Return the service that says whether the process is ready."""

    def directory(self, find: FindAddresses) -> Application:
        """Return the service that names entries to callers."""


class Origin(Protocol):
    """The origin of weights."""

    async def manifest(self, url: str, model: str, version: int) -> tuple[int, tuple[str, ...]]:
        """Return the version and the digests of its chunks; raises ``origin_unavailable``."""

    async def chunk(self, url: str, model: str, version: int, index: int) -> bytes:
        """Return a chunk, unverified; raises ``origin_unavailable``."""


class AgentPlatform(Protocol):
    """What an agent needs of the platform."""

    store: TableStore
    tables: TableNames
    origin: Origin

    def engine(self, endpoint: Endpoint) -> StagingEngine:
        """Return the client of the engine of the own host."""

    def read_declaration(self, row: TableRow) -> Catalogue | DeclaredVersion | None:
        """Decode a row of the operator; nothing for rows of another kind."""

    def read_replica(self, row: TableRow) -> Replica:
        """Decode the row of a backend server."""


__all__ = (
    'AgentPlatform',
    'EntryPlatform',
    'FindAddresses',
    'IsReady',
    'Origin',
    'TableNames',
)
