"""Base classes of the HTTP servers that stand in for external systems."""

from __future__ import annotations

from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from cassiahitch.util.listening import bound_port, listen

#: Largest body that a stand-in accepts, in bytes.
MAX_BODY_BYTES = 64 * 1024 * 1024


class StandInHandler(RequestHandler):
    """A request handler with the object that it serves."""

    def initialize(self, target: Any) -> None:
        """Set the object that the handler serves.

        :param target: the stand-in behind the server.
        """
        self.target = target

    def log_exception(self, *_args: Any) -> None:
        """Log nothing, since tests provoke failures of stand-ins."""


def _log_nothing(_handler: object) -> None:
    """Log no access."""


Routes = list[tuple[str, type[StandInHandler]]]


class StandInServer:
    """An HTTP server on a free loopback port."""

    def __init__(self, routes: Routes, target: Any) -> None:
        """Start the server within a running event loop.

        :param routes: patterns and their handlers.
        :param target: the stand-in that the handlers serve.
        """
        rules = [(pattern, handler, {'target': target}) for pattern, handler in routes]
        listener = listen('127.0.0.1', 0)
        self.port = bound_port(listener)
        self.server = HTTPServer(
            Application(rules, log_function=_log_nothing), max_body_size=MAX_BODY_BYTES
        )
        self.server.add_socket(listener)

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f'http://127.0.0.1:{self.port}'

    async def close(self) -> None:
        """Stop the server and close its connections."""
        self.server.stop()
        await self.server.close_all_connections()


__all__ = (
    'StandInHandler',
    'StandInServer',
)
