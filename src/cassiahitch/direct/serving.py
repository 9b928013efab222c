"""Starts the HTTP services of a process."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer

from cassiahitch.direct.connections.server import GuardedServer
from cassiahitch.util.listening import bound_port, listen

if TYPE_CHECKING:
    from tornado.web import Application

    from cassiahitch.direct.connections.guard import ConnectionGuard
    from cassiahitch.util.endpoints import Endpoint

#: Largest body of a request, in bytes; the requests of these services need none.
MAX_BODY_BYTES = 65_536
#: Time after which a connection without a request is closed, in seconds.
IDLE_TIMEOUT_S = 60.0


def start_server(application: Application, endpoint: Endpoint) -> tuple[HTTPServer, int]:
    """Start an HTTP server without limits for an application of a stand-in.

    :param application: the application.
    :param endpoint: address to listen on; port 0 for any free port.
    :return: the server, which the caller must stop, and its port.
    """
    server = HTTPServer(application)
    server_socket = listen(endpoint.address, endpoint.port)
    server.add_socket(server_socket)
    return server, bound_port(server_socket)


def serve(
    application: Application, endpoint: Endpoint, guard: ConnectionGuard, stack: AsyncExitStack
) -> None:
    """Serve an application until a stack is closed.

    :param application: the application.
    :param endpoint: address to listen on.
    :param guard: limits what is held for its connections.
    :param stack: stops the server when it is closed.
    """
    server = GuardedServer(
        application,
        guard,
        max_body_size=MAX_BODY_BYTES,
        idle_connection_timeout=IDLE_TIMEOUT_S,
    )
    server.add_socket(listen(endpoint.address, endpoint.port))
    stack.callback(server.stop)


__all__ = (
    'serve',
    'start_server',
)
