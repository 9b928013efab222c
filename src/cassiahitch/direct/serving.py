"""HTTP services of a process."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer

from cassiahitch.util.listening import bound_port, listen

if TYPE_CHECKING:
    from tornado.web import Application

    from cassiahitch.util.endpoints import Endpoint


def start_server(application: Application, endpoint: Endpoint) -> tuple[HTTPServer, int]:
    """Serve an application.

    :param application: the application.
    :param endpoint: where it listens; port 0 for any.
    :return: the server, to be stopped, and its port.
    """
    server = HTTPServer(application)
    own = listen(endpoint.address, endpoint.port)
    server.add_socket(own)
    return server, bound_port(own)


def serve(application: Application, endpoint: Endpoint, stack: AsyncExitStack) -> None:
    """Serve an application until a stack is closed.

    :param application: the application.
    :param endpoint: where it listens.
    :param stack: closes the service.
    """
    server, _ = start_server(application, endpoint)
    stack.callback(server.stop)


__all__ = (
    'serve',
    'start_server',
)
