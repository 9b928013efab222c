"""HTTP servers of the stand-ins for table service, object store and host list."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field

from cassiahitch.codes import Code
from cassiahitch.errors import PlatformError
from cassiahitch.standins.http import StandInHandler, StandInServer
from cassiahitch.stores.api import CommitConflict, HostRecord, TableService
from cassiahitch.stores.rows import OutcomeModel, RowModel, RowsModel, TransactionModel

HTTP_UNAVAILABLE = 503
HTTP_NOT_FOUND = 404


class TablesHandler(StandInHandler):
    """Serves the table service."""

    target: TableService

    async def post(self, operation: str) -> None:
        """Execute an operation on the tables.

        :param operation: ``read``, ``scan`` or ``commit``.
        """
        try:
            response = await self._execute_operation(operation)
        except PlatformError as error:
            self._write_error(error)
            return
        self.write(response)

    def _write_error(self, error: PlatformError) -> None:
        if error.code is Code.store_outcome_unknown:
            self.detach().close()
            return
        self.set_status(HTTP_UNAVAILABLE, error.code.name)

    async def _execute_operation(self, operation: str) -> str:
        if operation == 'commit':
            return await self._commit()
        query = json.loads(self.request.body)
        if operation == 'read':
            row = await self.target.read(**query)
            rows = [] if row is None else [row]
        else:
            rows = list(await self.target.scan(**query))
        return RowsModel(rows=tuple(RowModel.from_row(row) for row in rows)).model_dump_json()

    async def _commit(self) -> str:
        transaction = TransactionModel.model_validate_json(self.request.body)
        outcome = await self.target.commit(
            tuple(model.condition() for model in transaction.conditions),
            tuple(model.write() for model in transaction.writes),
        )
        if isinstance(outcome, CommitConflict):
            conflicts = tuple(RowModel.from_row(row) for row in outcome.rows)
            return OutcomeModel(conflicts=conflicts).model_dump_json()
        return OutcomeModel(versions=outcome.versions).model_dump_json()


@dataclass(slots=True)
class MemoryObjects:
    """Content of the object store by key."""

    objects: dict[str, bytes] = field(default_factory=dict)


class ObjectsHandler(StandInHandler):
    """Serves the object store."""

    target: MemoryObjects

    def get(self, key: str) -> None:
        """Return an object.

        :param key: key of the object.
        """
        content = self.target.objects.get(key)
        if content is None:
            self.set_status(HTTP_NOT_FOUND)
            return
        self.write(content)

    def put(self, key: str) -> None:
        """Store an object.

        :param key: key of the object.
        """
        self.target.objects[key] = self.request.body


@dataclass(slots=True)
class MemoryHosts:
    """Records of the host list by host."""

    records: dict[str, HostRecord] = field(default_factory=dict)


class HostsHandler(StandInHandler):
    """Serves the host list."""

    target: MemoryHosts

    def get(self) -> None:
        """Return all records of the host list."""
        self.write(json.dumps([asdict(record) for record in self.target.records.values()]))


def serve_tables(tables: TableService) -> StandInServer:
    """Serve a table service over HTTP.

    :param tables: the tables.
    :return: the running server.
    """
    return StandInServer([(r'/v1/(read|scan|commit)', TablesHandler)], tables)


def serve_objects(objects: MemoryObjects) -> StandInServer:
    """Serve an object store over HTTP.

    :param objects: the objects.
    :return: the running server.
    """
    return StandInServer([(r'/v1/objects/(.+)', ObjectsHandler)], objects)


def serve_hosts(hosts: MemoryHosts) -> StandInServer:
    """Serve a host list over HTTP.

    :param hosts: the hosts.
    :return: the running server.
    """
    return StandInServer([(r'/v1/hosts', HostsHandler)], hosts)


__all__ = (
    'MemoryHosts',
    'MemoryObjects',
    'serve_hosts',
    'serve_objects',
    'serve_tables',
)
