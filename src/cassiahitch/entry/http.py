"""The HTTP server of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer

from cassiahitch.util.listening import bound_port, listen

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

    from tornado.web import Application

    from cassiahitch.settings.models import EntrySettings


def serve_http(application: Application, settings: EntrySettings, stack: AsyncExitStack) -> int:
    """Serve HTTP until the stack closes.

    :param application: the handlers.
    :param settings: address, port and bounds.
    :param stack: owns the server from now on.
    :return: the port.
    :raises OSError: if the address is in use.
    """
    own = listen(settings.address, settings.http_port)
    server = HTTPServer(
        application,
        max_body_size=settings.sizes.max_body_bytes,
        max_header_size=settings.sizes.max_header_bytes,
    )
    server.add_socket(own)
    stack.push_async_callback(server.close_all_connections)
    stack.callback(server.stop)
    return bound_port(own)


__all__ = ('serve_http',)
