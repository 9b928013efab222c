"""Relay of the store's tables: one entry of a region reads them and shares them with the others.

Load pattern: with many entries, nearly all calls to the store would only return that nothing has
changed, and after a change all entries would read the same rows over the same links. The reader
announces each change, together with the rows if they are small. A process that is not a reader
calls the store only if no reader replies with a state that is fresh enough.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

from cassiahitch.direct.members.rowservice import rows_path
from cassiahitch.direct.state.feed import content_bytes
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.errors import WireError
from cassiahitch.stores.api import NO_ERA
from cassiahitch.stores.http_client import HttpCall, HttpCallError
from cassiahitch.weights.tree import rendezvous_order
from cassiahitch.wire.datagrammessages import RowRecord, TableQuery, TableRows, TableState
from cassiahitch.wire.datagrams import decode_datagram

if TYPE_CHECKING:
    from cassiahitch.direct.state.feed import TableRow
    from cassiahitch.direct.state.follower import TableFollower
    from cassiahitch.stores.http_client import HttpClient
    from cassiahitch.util.endpoints import Endpoint
    from cassiahitch.wire.datagrammessages import DatagramMessage
    from cassiahitch.wire.datagrams import DatagramSocket

#: Entries of a region that read the tables themselves; if none can be reached, all do.
READER_COUNT = 1
#: Seconds to wait for the reply of a reader.
REPLY_TIMEOUT_S = 0.15
#: Seconds until rows of a reader must start to arrive, and for which they may continue after that.
ROWS_TIMEOUT_S = 0.5
ROWS_EXTENDED_TIMEOUT_S = 2.0
#: Maximum bytes of rows that are announced in one datagram.
MAX_PUSHED_BYTES = 1000
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class RelayedState:
    """State of a reader's copy of a table.

    The copy includes all changes up to version ``since`` of the store, the last of them at version
    ``changed``. There were no later ones at ``confirmed_at``, in seconds of this host's boot clock.
    The versions are those of the era ``era`` of the store.
    """

    since: int
    changed: int
    confirmed_at: float
    era: int = NO_ERA


def choose_readers(names: tuple[str, ...]) -> tuple[str, ...]:
    """Choose the entries that read the tables.

    :param names: names of the live entries of a region.
    :return: names of the readers, the same in all processes with the same list of entries.
    """
    return rendezvous_order(0, names)[:READER_COUNT]


#: Returns the endpoints of processes.
Endpoints = Callable[[], 'tuple[Endpoint, ...]']
#: Returns the endpoints of processes once they are known.
AwaitedEndpoints = Callable[[], Awaitable['tuple[Endpoint, ...]']]


async def no_processes() -> tuple[Endpoint, ...]:
    """Return no processes.

    :return: nothing.
    """
    return ()


@dataclass(slots=True)
class TableRelay:
    """Queries the readers, or serves other processes as a reader.

    ``readers`` returns the readers to query, none if this process reads the store itself;
    ``subscribers`` those that receive its announcements in that case, and ``start_readers`` those
    that this process reads complete tables from at its start. ``pending_queries`` holds the queries
    that wait for a reply, by number.
    """

    readers: Endpoints
    subscribers: Endpoints
    http_client: HttpClient
    start_readers: AwaitedEndpoints = no_processes
    socket: DatagramSocket | None = None
    followers: dict[str, TableFollower] = field(default_factory=dict)
    pending_queries: dict[int, asyncio.Future[TableState]] = field(default_factory=dict)
    query_numbers: itertools.count[int] = field(default_factory=itertools.count)

    async def query(self, table: str) -> RelayedState | None:
        """Query the readers one after the other for the state of a table.

        :param table: name of the table.
        :return: the first reply, or None.
        """
        for reader in self.readers():
            state = await self.query_reader(table, reader)
            if state is not None:
                return state
        return None

    async def query_reader(self, table: str, reader: Endpoint) -> RelayedState | None:
        """Query one reader for the state of a table.

        :param table: name of the table.
        :param reader: endpoint of the reader.
        :return: its reply, or None if it sent none in time or has no copy of the table.
        """
        if self.socket is None:
            return None
        number = next(self.query_numbers)
        reply: asyncio.Future[TableState] = asyncio.get_running_loop().create_future()
        self.pending_queries[number] = reply
        queried_at = boot_time()
        self.socket.send(TableQuery(table, number), reader)
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                state = await reply
        except TimeoutError:
            # The next reader is queried, or the store if there is none.
            return None
        finally:
            self.pending_queries.pop(number)
        if not state.known:
            return None
        confirmed_at = queried_at - state.age_ms / MS_PER_S
        return RelayedState(state.since, state.changed, confirmed_at, state.era)

    async def read_rows(
        self, readers: tuple[Endpoint, ...], table: str, since: int, era: int
    ) -> TableRows | None:
        """Read the rows that changed from the first reader that has them.

        :param readers: the readers to ask, in this order.
        :param table: name of the table.
        :param since: version of the store as of which this process has the table.
        :param era: era of the store of that version.
        :return: the rows, or None if no reader has them.
        """
        for reader in readers:
            url = f'http://{reader}{rows_path(table, since, era)}'
            message = await self.fetch_rows(
                HttpCall(
                    'GET', url, None, ROWS_TIMEOUT_S, transfer_extension_s=ROWS_EXTENDED_TIMEOUT_S
                )
            )
            if message is not None and message.table == table:
                return message
        return None

    async def fetch_rows(self, call: HttpCall) -> TableRows | None:
        """Read rows from one reader.

        :param call: the HTTP call to it.
        :return: the rows, or None if it does not have them.
        """
        try:
            response = await self.http_client.call(call)
            message = decode_datagram(response.body) if response.status == HTTPStatus.OK else None
        except (HttpCallError, WireError):
            # The next reader is queried, or the store if there is none.
            return None
        return message if isinstance(message, TableRows) else None

    def receive(self, message: DatagramMessage, sender: Endpoint) -> None:
        """Process a received message about a table; other messages are ignored.

        :param message: the message.
        :param sender: endpoint of its sender.
        """
        match message:
            case TableQuery():
                self.reply(message, sender)
            case TableState():
                self.handle_state(message)
            case TableRows(table=table) if table in self.followers:
                self.followers[table].apply_pushed(message)

    def reply(self, query: TableQuery, sender: Endpoint) -> None:
        """Reply to the query of another process.

        :param query: the query.
        :param sender: endpoint of that process.
        """
        follower = self.followers.get(query.table)
        if self.socket is None or follower is None:
            return
        self.socket.send(follower.state(query.number, boot_time()), sender)

    def handle_state(self, state: TableState) -> None:
        """Process the reply of a reader, or its announcement that a table has changed.

        :param state: the message.
        """
        follower = self.followers.get(state.table)
        if state.unasked:
            if follower is not None:
                follower.note_remote_change(state.changed, state.era)
            return
        reply = self.pending_queries.get(state.number)
        if reply is not None and not reply.done():
            reply.set_result(state)

    def announce(self, table: str, before: int | None, rows: tuple[TableRow, ...]) -> None:
        """Announce a change if this process is a reader, with the rows if they are small.

        :param table: name of the table.
        :param before: version of the store as of which the table was cached before the change.
        :param rows: the rows that changed.
        """
        if self.socket is None or self.readers():
            return
        state = self.followers[table].state(0, boot_time(), unasked=True)
        is_small = before is not None and content_bytes(rows) <= MAX_PUSHED_BYTES
        message = self.build_rows_message(state, before or 0, rows) if is_small else state
        for subscriber in self.subscribers():
            self.socket.send(message, subscriber)

    def build_rows_message(
        self, state: TableState, before: int, rows: tuple[TableRow, ...]
    ) -> TableRows:
        """Return an announcement with the rows that changed.

        :param state: state of the table.
        :param before: version of the store as of which the table was cached before the change.
        :param rows: the rows that changed.
        :return: the message.
        """
        records = tuple(
            RowRecord(row.key, row.content or b'', row.content is None, row.version) for row in rows
        )
        return TableRows(
            state.table,
            after=before,
            since=state.since,
            changed=state.changed,
            age_ms=state.age_ms,
            rows=records,
            era=state.era,
        )


__all__ = (
    'AwaitedEndpoints',
    'RelayedState',
    'TableRelay',
    'choose_readers',
    'no_processes',
)
