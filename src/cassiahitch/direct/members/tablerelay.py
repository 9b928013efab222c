"""One entry of a region reads the store's tables; the others take its news and ask it for them.

Load pattern: with many entries, nearly all calls to the store would only learn that nothing has
changed, and after a change all would read the same rows over the same links. Small news are passed
on with the rows. A process that is not among the readers calls the store only when no reader
answers with what is fresh enough.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

from cassiahitch.direct.members.rowservice import rows_path
from cassiahitch.direct.state.feed import size_of
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.errors import WireError
from cassiahitch.stores.caller import Call, CallFailed
from cassiahitch.weights.tree import ranked
from cassiahitch.wire.beats import RowRecord, TableQuery, TableRows, TableState
from cassiahitch.wire.datagrams import decode_datagram

if TYPE_CHECKING:
    from cassiahitch.direct.state.feed import TableRow
    from cassiahitch.direct.state.follower import TableFollower
    from cassiahitch.stores.caller import HttpCaller
    from cassiahitch.util.endpoints import Endpoint
    from cassiahitch.wire.beats import Beat
    from cassiahitch.wire.datagrams import DatagramSocket

#: Entries of a region that read the tables themselves; without one, all do.
READER_COUNT = 1
#: Seconds until an answer of a reader is no longer waited for.
REPLY_TIMEOUT_S = 0.15
#: Seconds until rows of a reader must have begun to arrive, and for which they may go on.
ROWS_S = 0.5
LONGER_S = 2.0
#: Bytes of rows that are passed on in one datagram.
PUSHED_BYTES = 1000
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class RelayedState:
    """What a reader knows of a table.

    It has seen all changes up to version ``since`` of the store, the last of them at version
    ``changed``, and knew at ``confirmed_at``, on the boot clock of this host, that there were no
    others.
    """

    since: int
    changed: int
    confirmed_at: float


def choose_readers(names: tuple[str, ...]) -> tuple[str, ...]:
    """Choose who reads the tables.

    :param names: the entries of a region that are live.
    :return: the same few for all that know the same entries.
    """
    return ranked(0, names)[:READER_COUNT]


#: Returns where processes are.
Endpoints = Callable[[], 'tuple[Endpoint, ...]']


@dataclass(slots=True)
class TableRelay:
    """Asks readers, and answers as one.

    ``readers`` returns whom to ask, nobody if this process reads the store itself; ``subscribers``
    those that get its news then.
    """

    readers: Endpoints
    subscribers: Endpoints
    caller: HttpCaller
    socket: DatagramSocket | None = None
    followers: dict[str, TableFollower] = field(default_factory=dict)
    waiting: dict[int, asyncio.Future[TableState]] = field(default_factory=dict)
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    async def query(self, table: str) -> RelayedState | None:
        """Ask the readers one after the other.

        :param table: the table.
        :return: the first answer, or nothing.
        """
        for reader in self.readers():
            state = await self.query_reader(table, reader)
            if state is not None:
                return state
        return None

    async def query_reader(self, table: str, reader: Endpoint) -> RelayedState | None:
        """Ask one reader.

        :param table: the table.
        :param reader: its address.
        :return: its answer, or nothing.
        """
        if self.socket is None:
            return None
        number = next(self.numbers)
        answer: asyncio.Future[TableState] = asyncio.get_running_loop().create_future()
        self.waiting[number] = answer
        asked_at = boot_time()
        self.socket.send(TableQuery(table, number), reader)
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                state = await answer
        except TimeoutError:
            # The next reader is asked, and the store if there is none.
            return None
        finally:
            self.waiting.pop(number)
        if not state.known:
            return None
        return RelayedState(state.since, state.changed, asked_at - state.age_ms / MS_PER_S)

    async def read_rows(self, table: str, since: int) -> TableRows | None:
        """Take the rows that changed from a reader.

        :param table: the table.
        :param since: version of the store as of which the table is known.
        :return: the rows, or nothing if no reader has them.
        """
        for reader in self.readers():
            url = f'http://{reader}{rows_path(table, since)}'
            message = await self.fetch_rows(Call('GET', url, None, ROWS_S, longer_s=LONGER_S))
            if message is not None and message.table == table:
                return message
        return None

    async def fetch_rows(self, call: Call) -> TableRows | None:
        """Take rows from one reader.

        :param call: the call to it.
        :return: the rows, or nothing if it does not have them.
        """
        try:
            reply = await self.caller.call(call)
            message = decode_datagram(reply.body) if reply.status == HTTPStatus.OK else None
        except (CallFailed, WireError):
            # The next reader is asked, and the store if there is none.
            return None
        return message if isinstance(message, TableRows) else None

    def receive(self, message: Beat, sender: Endpoint) -> None:
        """Take a datagram about a table in.

        :param message: the message; others than those about tables are ignored.
        :param sender: where it came from.
        """
        match message:
            case TableQuery():
                self.reply(message, sender)
            case TableState():
                self.handle_state(message)
            case TableRows(table=table) if table in self.followers:
                self.followers[table].pushed(message)

    def reply(self, query: TableQuery, sender: Endpoint) -> None:
        """Answer another process.

        :param query: its question.
        :param sender: the process.
        """
        follower = self.followers.get(query.table)
        if self.socket is None or follower is None:
            return
        self.socket.send(follower.state(query.number, boot_time()), sender)

    def handle_state(self, state: TableState) -> None:
        """Take the answer of a reader in, or its news that a table has changed.

        :param state: the message.
        """
        follower = self.followers.get(state.table)
        if state.unasked:
            if follower is not None:
                follower.hint(state.changed)
            return
        answer = self.waiting.get(state.number)
        if answer is not None and not answer.done():
            answer.set_result(state)

    def announce(self, table: str, before: int | None, rows: tuple[TableRow, ...]) -> None:
        """Pass news on if this process is a reader, with the rows if they are small.

        :param table: the table.
        :param before: version of the store as of which it was known before the news.
        :param rows: the news.
        """
        if self.socket is None or self.readers():
            return
        state = self.followers[table].state(0, boot_time(), unasked=True)
        is_small = before is not None and size_of(rows) <= PUSHED_BYTES
        message = self.news(state, before or 0, rows) if is_small else state
        for receiver in self.subscribers():
            self.socket.send(message, receiver)

    def news(self, state: TableState, before: int, rows: tuple[TableRow, ...]) -> TableRows:
        """Return news with their rows.

        :param state: what is known of the table.
        :param before: version of the store as of which it was known before.
        :param rows: the news.
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
        )


__all__ = (
    'RelayedState',
    'TableRelay',
    'choose_readers',
)
