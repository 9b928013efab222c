"""HTTP server of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer

from cassiahitch.util.listening import bound_port, listen

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

    from tornado.web import Application

    from cassiahitch.settings.models import EntrySettings


def serve_http(application: Application, settings: EntrySettings, stack: AsyncExitStack) -> int:
    """Start an HTTP server.

    :param application: the application with the handlers.
    :param settings: address, port and size limits.
    :param stack: stops the server when it is closed.
    :return: the port that the server listens on.
    :raises OSError: if the address is in use.
    """
    server_socket = listen(settings.address, settings.http_port)
    server = HTTPServer(
        application,
        max_body_size=settings.sizes.max_body_bytes,
        max_header_size=settings.sizes.max_header_bytes,
    )
    server.add_socket(server_socket)
    stack.push_async_callback(server.close_all_connections)
    stack.callback(server.stop)
    return bound_port(server_socket)


__all__ = ('serve_http',)
