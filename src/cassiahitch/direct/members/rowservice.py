"""Serves the rows of tables to other processes."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus
from typing import TYPE_CHECKING

from tornado.web import Application, RequestHandler

from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.util.access import no_access_log
from cassiahitch.wire.datagrams import encode_datagram

if TYPE_CHECKING:
    from cassiahitch.direct.state.follower import TableFollower

ROWS_ROUTE = r'/rows/([A-Za-z0-9_-]+)/after/([0-9]{1,18})'


def rows_path(table: str, version: int) -> str:
    """Return where the rows of a table are that changed after a version of the store.

    :param table: the table.
    :param version: the version.
    :return: the path.
    """
    return f'/rows/{table}/after/{version}'


class RowsHandler(RequestHandler):
    """Serves the rows that changed."""

    def initialize(self, followers: Mapping[str, TableFollower]) -> None:
        """Take what it serves.

        :param followers: those who follow the tables, by their names.
        """
        self.followers = followers

    def get(self, table: str, version: str) -> None:
        """Answer with the rows, unless the asker knows more.

        :param table: the table.
        :param version: version of the store as of which the asker knows it.
        """
        follower = self.followers.get(table)
        rows = follower.rows_after(int(version), boot_time()) if follower else None
        if rows is None:
            self.set_status(HTTPStatus.NOT_FOUND)
            return
        self.set_header('Content-Type', 'application/octet-stream')
        self.finish(encode_datagram(rows))


def row_service(followers: Mapping[str, TableFollower]) -> Application:
    """Return the service of rows.

    :param followers: those who follow the tables, by their names.
    :return: the service.
    """
    return Application(
        [(ROWS_ROUTE, RowsHandler, {'followers': followers})], log_function=no_access_log
    )


__all__ = (
    'row_service',
    'rows_path',
)
