"""Interfaces to the platform, which its adapter implements."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from cassiahitch.direct.members.addresses import AddressResponse
from cassiahitch.direct.state.catalogue import Catalogue
from cassiahitch.direct.state.evacuations import Evacuation
from cassiahitch.direct.state.versions import DeclaredVersion

if TYPE_CHECKING:
    from tornado.web import Application

    from cassiahitch.direct.api import RequestCodec, TableStore
    from cassiahitch.direct.staging.enginestate import StagingEngine
    from cassiahitch.direct.staging.layout import ManifestDocument
    from cassiahitch.direct.state.feed import TableRow
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.util.endpoints import Endpoint

#: What a row of the operator's table declares.
Declaration = Catalogue | DeclaredVersion | Evacuation
#: Returns whether the process is ready.
IsReady = Callable[[], bool]
#: Returns addresses of entries for requests to a host by a caller in a region.
FindAddresses = Callable[[str, str], AddressResponse]


@dataclass(frozen=True, slots=True)
class TableNames:
    """Names of the tables of the store.

    ``operator`` has the declarations of the operator, ``replicas`` the backend servers, ``entries``
    the processes of entries, and ``loads`` the last load of each engine that was sound.
    """

    operator: str
    replicas: str
    entries: str
    loads: str


class EntryPlatform(Protocol):
    """Interface of the platform for entries."""

    store: TableStore
    codec: RequestCodec
    tables: TableNames

    def read_declaration(self, row: TableRow) -> Declaration | None:
        """Decode a row of the operator's table, also a removed one; None for other kinds."""

    def read_replica(self, row: TableRow) -> Replica:
        """Decode the row of a backend server."""

    def readiness(self, is_ready: IsReady) -> Application:
        """Return the HTTP service that reports whether the process is ready."""

    def directory(self, find: FindAddresses) -> Application:
        """Return the HTTP service that gives callers the addresses of entries."""


class Origin(Protocol):
    """The origin server of weights."""

    async def manifest(self, url: str, model: str, version: int) -> ManifestDocument:
        """Return a manifest, unchecked; raises ``origin_unavailable`` or ``manifest_corrupt``."""

    async def chunk(self, url: str, model: str, version: int, index: int) -> bytes:
        """Return a chunk without verifying it; raises ``origin_unavailable``."""


class AgentPlatform(Protocol):
    """Interface of the platform for agents."""

    store: TableStore
    tables: TableNames
    origin: Origin

    def engine(self, endpoint: Endpoint) -> StagingEngine:
        """Return a client for the engine of this host."""

    def read_declaration(self, row: TableRow) -> Declaration | None:
        """Decode a row of the operator's table, also a removed one; None for other kinds."""

    def read_replica(self, row: TableRow) -> Replica:
        """Decode the row of a backend server."""


__all__ = (
    'AgentPlatform',
    'Declaration',
    'EntryPlatform',
    'FindAddresses',
    'IsReady',
    'Origin',
    'TableNames',
)
