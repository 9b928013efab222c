"""Access of the product's processes to the platform: clients, decoders and HTTP services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.direct.platformapi import TableNames
from cassiahitch.direct.state.evacuations import Evacuation
from cassiahitch.platform import names
from cassiahitch.platform.configurations import decode_catalogue
from cassiahitch.platform.documents import decode_replica, decode_version
from cassiahitch.platform.engine import PlatformEngine, PlatformOrigin
from cassiahitch.platform.requests import PlatformRequests
from cassiahitch.platform.rows import PlatformTableStore
from cassiahitch.platform.services import address_service, readiness_service

if TYPE_CHECKING:
    from tornado.web import Application

    from cassiahitch.direct.api import RequestCodec, TableStore
    from cassiahitch.direct.platformapi import Declaration, FindAddresses, IsReady, Origin
    from cassiahitch.direct.state.feed import TableRow
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.stores.http_client import HttpClient
    from cassiahitch.util.endpoints import Endpoint

#: Table in which entries register to discover each other.
ENTRY_TABLE = 'cassiahitch-entries'
#: Table in which agents record the last sound load of their engines.
LOAD_TABLE = 'cassiahitch-loads'


class Platform:
    """Combines the clients and decoders of the platform behind one interface."""

    def __init__(self, caller: HttpClient, store: Endpoint) -> None:
        """Create the clients.

        :param caller: HTTP client that makes the calls.
        :param store: address of the table store.
        """
        self.caller = caller
        self.store: TableStore = PlatformTableStore(caller, f'http://{store}')
        self.codec: RequestCodec = PlatformRequests()
        self.tables = TableNames(names.OPERATOR_TABLE, names.REPLICA_TABLE, ENTRY_TABLE, LOAD_TABLE)
        self.origin: Origin = PlatformOrigin(caller)

    def engine(self, endpoint: Endpoint) -> PlatformEngine:
        """Return a client of the engine on this host.

        :param endpoint: address of the engine.
        :return: the client.
        """
        return PlatformEngine(self.caller, f'http://{endpoint}')

    def read_declaration(self, row: TableRow) -> Declaration | None:
        """Decode a row of the operator's table.

        The key alone tells an evacuated failure domain, so that a row with invalid content counts.

        :param row: a row; without content, it was removed.
        :return: the declaration, ``None`` for rows of another kind and for removed rows, except
            that the removal of an evacuation declares its end.
        :raises PlatformError: if the content is invalid.
        """
        if row.key.startswith(names.EVACUATION_PREFIX):
            failure_domain = row.key.removeprefix(names.EVACUATION_PREFIX)
            return Evacuation(failure_domain, active=row.content is not None)
        if row.content is None:
            return None
        content = row.content
        if row.key == names.CONFIGURATION_KEY:
            return decode_catalogue(content)
        if row.key.startswith(names.VERSION_PREFIX):
            return decode_version(content)
        return None

    def read_replica(self, row: TableRow) -> Replica:
        """Decode the row of a backend server.

        :param row: a row with content.
        :return: the replica.
        :raises PlatformError: if the content is invalid.
        """
        return decode_replica(row.key, row.content or b'')

    def readiness(self, is_ready: IsReady) -> Application:
        """Return the HTTP service of the platform's readiness check.

        :param is_ready: returns whether the process is ready.
        :return: the service.
        """
        return readiness_service(is_ready)

    def directory(self, find: FindAddresses) -> Application:
        """Return the HTTP service that gives callers the addresses of entries.

        :param find: selects the entries.
        :return: the service.
        """
        return address_service(find)


__all__ = ('Platform',)
