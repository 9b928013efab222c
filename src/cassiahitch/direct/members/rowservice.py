"""HTTP service for the rows of tables, for other processes."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus
from typing import TYPE_CHECKING

from tornado.web import Application, RequestHandler

from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.stores.api import NO_ERA
from cassiahitch.util.accesslog import no_access_log
from cassiahitch.wire.datagrams import encode_datagram

if TYPE_CHECKING:
    from cassiahitch.direct.state.follower import TableFollower

ROWS_ROUTE = r'/rows/([A-Za-z0-9_-]+)/after/([0-9]{1,18})'
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


class RowsHandler(RequestHandler):
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
        self.set_header('Content-Type', 'application/octet-stream')
        self.finish(encode_datagram(rows))


def row_service(followers: Mapping[str, TableFollower]) -> Application:
    """Create the HTTP service for rows.

    :param followers: followers by the names of their tables.
    :return: the application.
    """
    arguments = {'followers': followers}
    routes = [(pattern, RowsHandler, arguments) for pattern in (ROWS_ROUTE, ERA_ROWS_ROUTE)]
    return Application(routes, log_function=no_access_log)


__all__ = (
    'row_service',
    'rows_path',
)
