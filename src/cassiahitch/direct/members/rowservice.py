"""HTTP service for the rows of tables, for other processes.

Load pattern: a large configuration changes, and all processes of a region read it from one entry
over its link at once. Responses are compressed, as the routes of a configuration are much alike.
"""

from __future__ import annotations

import gzip
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from tornado.web import Application, RequestHandler

from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.stores.api import NO_ERA
from cassiahitch.util.accesslog import no_access_log
from cassiahitch.wire.datagrammessages import TableRows
from cassiahitch.wire.datagrams import encode_datagram

if TYPE_CHECKING:
    from cassiahitch.direct.state.follower import TableFollower

ROWS_ROUTE = r'/rows/([A-Za-z0-9_-]+)/after/([0-9]{1,18})'
DECLARATIONS_ROUTE = r'/declarations/after/([0-9]{1,18})'
#: Bytes from which on a response is compressed, and the compression level, the fastest one.
MIN_COMPRESSED_BYTES = 1024
COMPRESSION_LEVEL = 1
ERA_ROWS_ROUTE = r'/rows/([A-Za-z0-9_-]+)/after/([0-9]{1,18})/era/([0-9]{1,18})'


def rows_path(table: str, version: int, era: int = NO_ERA) -> str:
    """Return the path of the rows of a table that changed after a version of the store.

    :param table: name of the table.
    :param version: the version.
    :param era: era of the store of that version.
    :return: the path of the URL.
    """
    path = f'/rows/{table}/after/{version}'
    return path if era == NO_ERA else f'{path}/era/{era}'


def declarations_path(version: int) -> str:
    """Return the path of the declarations in effect.

    :param version: version of the configuration that the client has.
    :return: the path of the URL.
    """
    return f'/declarations/after/{version}'


class MessageHandler(RequestHandler):
    """Responds with a message of the protocol between processes."""

    def send_message(self, message: TableRows) -> None:
        """Respond with a message; a large one is compressed if the client accepts that.

        :param message: the message.
        """
        body = encode_datagram(message)
        self.set_header('Content-Type', 'application/octet-stream')
        accepted = self.request.headers.get('Accept-Encoding', '')
        if len(body) >= MIN_COMPRESSED_BYTES and 'gzip' in accepted:
            self.set_header('Content-Encoding', 'gzip')
            body = gzip.compress(body, COMPRESSION_LEVEL)
        self.finish(body)


class RowsHandler(MessageHandler):
    """Serves the rows of a table that changed after a version of the store."""

    def initialize(self, followers: Mapping[str, TableFollower]) -> None:
        """Store the followers of the tables.

        :param followers: followers by the names of their tables.
        """
        self.followers = followers

    def get(self, table: str, version: str, era: str | None = None) -> None:
        """Respond with the rows, or with 404 if the cached table is older than that version.

        :param table: name of the table.
        :param version: version of the store as of which the client has the table.
        :param era: era of the store of that version, None if the client knows none.
        """
        follower = self.followers.get(table)
        known_era = NO_ERA if era is None else int(era)
        rows = follower.rows_after(int(version), boot_time(), known_era) if follower else None
        if rows is None:
            self.set_status(HTTPStatus.NOT_FOUND)
            return
        self.send_message(rows)


#: Returns the declarations in effect for a client that has a version of the configuration.
BuildDeclarations = Callable[[int], TableRows]


class DeclarationsHandler(MessageHandler):
    """Serves the declarations in effect in this process, whatever the store has."""

    def initialize(self, build: BuildDeclarations) -> None:
        """Store the source of the declarations.

        :param build: returns the declarations.
        """
        self.build = build

    def get(self, version: str) -> None:
        """Respond with the declarations.

        :param version: version of the configuration that the client has.
        """
        self.send_message(self.build(int(version)))


def row_service(
    followers: Mapping[str, TableFollower], build_declarations: BuildDeclarations
) -> Application:
    """Create the HTTP service for rows.

    :param followers: followers by the names of their tables.
    :param build_declarations: returns the declarations in effect.
    :return: the application.
    """
    arguments = {'followers': followers}
    routes: list[Any] = [
        (ROWS_ROUTE, RowsHandler, arguments),
        (ERA_ROWS_ROUTE, RowsHandler, arguments),
        (DECLARATIONS_ROUTE, DeclarationsHandler, {'build': build_declarations}),
    ]
    return Application(routes, log_function=no_access_log)


__all__ = (
    'declarations_path',
    'row_service',
    'rows_path',
)
