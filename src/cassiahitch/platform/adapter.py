"""The platform as the product's processes see it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.direct.platformapi import TableNames
from cassiahitch.platform import names
from cassiahitch.platform.documents import decode_catalogue, decode_replica, decode_version
from cassiahitch.platform.engine import PlatformEngine, PlatformOrigin
from cassiahitch.platform.requests import PlatformRequests
from cassiahitch.platform.rows import PlatformTableStore
from cassiahitch.platform.services import address_service, readiness_service

if TYPE_CHECKING:
    from tornado.web import Application

    from cassiahitch.direct.api import RequestCodec, TableStore
    from cassiahitch.direct.platformapi import FindAddresses, IsReady, Origin
    from cassiahitch.direct.state.catalogue import Catalogue
    from cassiahitch.direct.state.feed import TableRow
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.direct.state.versions import DeclaredVersion
    from cassiahitch.stores.caller import HttpCaller
    from cassiahitch.util.endpoints import Endpoint

#: Table in which entries find each other.
ENTRY_TABLE = 'cassiahitch-entries'


class Platform:
    """Joins the clients and decoders of the platform."""

    def __init__(self, caller: HttpCaller, store: Endpoint) -> None:
        """Create it.

        :param caller: makes the calls.
        :param store: where the store is.
        """
        self.caller = caller
        self.store: TableStore = PlatformTableStore(caller, f'http://{store}')
        self.codec: RequestCodec = PlatformRequests()
        self.tables = TableNames(names.OPERATOR_TABLE, names.REPLICA_TABLE, ENTRY_TABLE)
        self.origin: Origin = PlatformOrigin(caller)

    def engine(self, endpoint: Endpoint) -> PlatformEngine:
        """Return the client of the engine of the own host.

        :param endpoint: where it is.
        :return: the client.
        """
        return PlatformEngine(self.caller, f'http://{endpoint}')

    def read_declaration(self, row: TableRow) -> Catalogue | DeclaredVersion | None:
        """Decode a row of the operator.

        :param row: a row with content.
        :return: a configuration or a version, nothing for rows of another kind.
        :raises PlatformError: if it cannot be read.
        """
        content = row.content or b''
        if row.key == names.CONFIGURATION_KEY:
            return decode_catalogue(content)
        if row.key.startswith(names.VERSION_PREFIX):
            return decode_version(content)
        return None

    def read_replica(self, row: TableRow) -> Replica:
        """Decode the row of a backend server.

        :param row: a row with content.
        :return: the replica.
        :raises PlatformError: if it names none that can be used.
        """
        return decode_replica(row.key, row.content or b'')

    def readiness(self, is_ready: IsReady) -> Application:
        """Return the service that says whether the process is ready.

        :param is_ready: tells it.
        :return: the service.
        """
        return readiness_service(is_ready)

    def directory(self, find: FindAddresses) -> Application:
        """Return the service that names entries to callers.

        :param find: chooses the entries.
        :return: the service.
        """
        return address_service(find)


__all__ = ('Platform',)
