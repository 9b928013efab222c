"""A stand-in of the platform's row store, with injected faults."""

from __future__ import annotations

import asyncio
import base64
import json
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from cassiahitch.direct.serving import start_server
from cassiahitch.platform import names
from cassiahitch.stores.api import ABSENT_VERSION
from cassiahitch.util.accesslog import no_access_log
from cassiahitch.util.endpoints import Endpoint

if TYPE_CHECKING:
    from collections.abc import Iterable

MS_PER_S = 1000
PAGE_ROWS = 500


@dataclass(frozen=True, slots=True)
class StoredRow:
    """One version of a row; ``content`` is None if this version removed it."""

    table: str
    key: str
    content: bytes | None
    version: int

    def document(self) -> dict[str, Any]:
        """Return the row in the format of a response.

        :return: JSON values.
        """
        shared = {'table': self.table, 'part': '', 'key': self.key, 'rowVersion': self.version}
        if self.content is None:
            return {**shared, 'removed': True}
        return {**shared, 'value': base64.b64encode(self.content).decode('ascii')}


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store: with ``lost``, commits take effect, but their responses are lost."""

    down: bool = False
    lost: bool = False


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of a row store, to which it can be restored."""

    rows: dict[tuple[str, str], StoredRow]
    changes: tuple[StoredRow, ...]
    version: int
    discarded_version: int


@dataclass(slots=True)
class RowStore:
    """Rows of all tables under one version counter.

    ``rows_sent`` counts the rows in responses by table; changes up to ``discarded_version`` are no
    longer available. ``era`` is in all responses unless it is None; it rises with each restore.
    """

    rows: dict[tuple[str, str], StoredRow] = field(default_factory=dict)
    changes: list[StoredRow] = field(default_factory=list)
    version: int = 0
    discarded_version: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    faults: StoreFaults = field(default_factory=StoreFaults)
    rows_sent: Counter[str] = field(default_factory=Counter)
    era: int | None = None

    def put(self, table: str, key: str, document: object) -> int:
        """Write a JSON row.

        :param table: table of the row.
        :param key: key of the row.
        :param document: JSON values.
        :return: version of the row.
        """
        return self.write([(table, key, json.dumps(document).encode())])

    def remove(self, table: str, key: str) -> int:
        """Remove a row.

        :param table: table of the row.
        :param key: key of the row.
        :return: the version of the removal.
        """
        return self.write([(table, key, None)])

    def write(self, writes: Iterable[tuple[str, str, bytes | None]]) -> int:
        """Apply writes in one transaction.

        :param writes: table, key and content of each row.
        :return: the version of the transaction.
        """
        self.version += 1
        for table, key, content in writes:
            row = StoredRow(table, key, content, self.version)
            self.changes.append(row)
            if content is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = row
        self.wake_readers()
        return self.version

    def discard_history(self) -> None:
        """Discard all changes, so that followers have to read the whole tables again."""
        self.changes.clear()
        self.discarded_version = self.version
        self.wake_readers()

    def copy(self) -> StoreCopy:
        """Return a copy of all rows and of their history.

        :return: the copy.
        """
        return StoreCopy(dict(self.rows), tuple(self.changes), self.version, self.discarded_version)

    def restore(self, copy: StoreCopy) -> None:
        """Go back to an older copy, and begin a new era if the store names eras.

        :param copy: the copy.
        """
        self.rows = dict(copy.rows)
        self.changes = list(copy.changes)
        self.version = copy.version
        self.discarded_version = copy.discarded_version
        if self.era is not None:
            self.era += 1
        self.wake_readers()

    def wake_readers(self) -> None:
        """Wake the reads that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def has_changes_since(self, version: int) -> bool:
        """Return whether the changes since a version are available.

        :param version: the version.
        :return: False if they were discarded, or if the store has no such version.
        """
        return self.discarded_version <= version and (self.era is None or version <= self.version)

    def table(self, name: str) -> list[StoredRow]:
        """Return the rows of a table in the order of their keys.

        :param name: name of the table.
        :return: the rows.
        """
        return sorted(
            (row for row in self.rows.values() if row.table == name),
            key=lambda row: row.key,
        )

    def changes_since(self, table: str, version: int) -> list[StoredRow]:
        """Return the last change of each row of a table after a version.

        :param table: name of the table.
        :param version: version after which changes count.
        :return: the changed rows; those without content were removed.
        """
        latest = {
            row.key: row for row in self.changes if row.table == table and row.version > version
        }
        return sorted(latest.values(), key=lambda row: row.version)


class _StoreHandler(RequestHandler):
    """Base of the handlers; refuses every request while the store is down."""

    def initialize(self, store: RowStore) -> None:
        """Set the store that the handler serves.

        :param store: the row store.
        """
        self.store = store

    def prepare(self) -> None:
        """Refuse the request while the store is down."""
        if self.store.faults.down:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            self.finish()

    def finish(self, chunk: str | bytes | dict[str, Any] | None = None) -> asyncio.Future[None]:
        """Send the response, with the era of the store if it names one.

        :param chunk: body of the response.
        :return: future that is done once the response was sent.
        """
        if self.store.era is not None:
            self.set_header(names.STORE_ERA, str(self.store.era))
        return super().finish(chunk)

    def send_rows(self, rows: list[StoredRow], *, more: bool = False) -> None:
        """Respond with rows.

        :param rows: the rows to send.
        :param more: whether the range has more rows.
        """
        self.store.rows_sent.update(row.table for row in rows)
        self.finish(
            {
                'rows': [row.document() for row in rows],
                'hasMore': more,
                'rowVersion': self.store.version,
                'serverTimeMs': int(asyncio.get_running_loop().time() * MS_PER_S),
            }
        )


class ReadHandler(_StoreHandler):
    """Serves ranges of a table."""

    def get(self) -> None:
        """Return the rows of a range."""
        start = self.get_query_argument('from', '')
        limit = int(self.get_query_argument('maxItems', str(PAGE_ROWS)))
        rows = [
            row for row in self.store.table(self.get_query_argument('table')) if row.key >= start
        ]
        self.send_rows(rows[:limit], more=len(rows) > limit)


class FeedHandler(_StoreHandler):
    """Serves the changes of a table by long polling."""

    async def get(self) -> None:
        """Return the changes as soon as there is one, at the latest when the wait times out."""
        table = self.get_query_argument('table')
        since = int(self.get_query_argument('sinceRev'))
        wait_s = int(self.get_query_argument('waitTimeoutMs')) / MS_PER_S
        rows = self.store.changes_since(table, since)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while not rows and loop.time() < deadline and self.store.has_changes_since(since):
            await _wait_for_event(self.store.changed, deadline)
            rows = self.store.changes_since(table, since)
        if self.store.faults.down:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        elif self.store.has_changes_since(since):
            self.send_rows(rows)
        else:
            self.set_status(HTTPStatus.GONE)


class CommitHandler(_StoreHandler):
    """Applies transactions."""

    async def post(self) -> None:
        """Apply all writes if all conditions hold."""
        order = json.loads(self.request.body)
        conditions = {
            (row['table'], row['key']): row['rowVersion'] for row in order['precondition']
        }
        rows = self.store.rows
        if any(_version(rows.get(name)) != version for name, version in conditions.items()):
            self.set_status(HTTPStatus.PRECONDITION_FAILED)
            self.send_rows([rows[name] for name in conditions if name in rows])
            return
        removals = [(row['table'], row['key'], None) for row in order['remove']]
        self.store.write(
            [
                *(
                    (row['table'], row['key'], base64.b64decode(row['value']))
                    for row in order['setKeys']
                ),
                *removals,
            ]
        )
        if self.store.faults.lost:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.send_rows([])


def serve_store(store: RowStore, address: str) -> tuple[HTTPServer, int]:
    """Serve a row store over HTTP.

    :param store: the row store.
    :param address: IP number to listen on.
    :return: the server, which the caller must stop, and its port.
    """
    arguments = {'store': store}
    routes: list[Any] = [
        (names.READ_ROWS_PATH, ReadHandler, arguments),
        (names.READ_CHANGES_PATH, FeedHandler, arguments),
        (names.COMMIT_PATH, CommitHandler, arguments),
    ]
    return start_server(Application(routes, log_function=no_access_log), Endpoint(address, 0))


def _version(row: StoredRow | None) -> int:
    return row.version if row else ABSENT_VERSION


async def _wait_for_event(event: asyncio.Event, deadline: float) -> None:
    try:
        async with asyncio.timeout_at(deadline):
            await event.wait()
    except TimeoutError:
        return


__all__ = (
    'RowStore',
    'StoreCopy',
    'StoreFaults',
    'StoredRow',
    'serve_store',
)
