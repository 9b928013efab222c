"""Starts the HTTP services of a process."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer

from cassiahitch.util.listening import bound_port, listen

if TYPE_CHECKING:
    from tornado.web import Application

    from cassiahitch.util.endpoints import Endpoint


def start_server(application: Application, endpoint: Endpoint) -> tuple[HTTPServer, int]:
    """Start an HTTP server for an application.

    :param application: the application.
    :param endpoint: address to listen on; port 0 for any free port.
    :return: the server, which the caller must stop, and its port.
    """
    server = HTTPServer(application)
    server_socket = listen(endpoint.address, endpoint.port)
    server.add_socket(server_socket)
    return server, bound_port(server_socket)


def serve(application: Application, endpoint: Endpoint, stack: AsyncExitStack) -> None:
    """Serve an application until a stack is closed.

    :param application: the application.
    :param endpoint: address to listen on.
    :param stack: stops the server when it is closed.
    """
    server, _ = start_server(application, endpoint)
    stack.callback(server.stop)


__all__ = (
    'serve',
    'start_server',
)
