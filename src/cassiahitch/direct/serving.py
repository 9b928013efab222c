"""HTTP services of a process."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer

from cassiahitch.util.listening import listen

if TYPE_CHECKING:
    from tornado.web import Application

    from cassiahitch.util.endpoints import Endpoint


def serve(application: Application, endpoint: Endpoint, stack: AsyncExitStack) -> None:
    """Serve an application until a stack is closed.

    :param application: the application.
    :param endpoint: where it listens.
    :param stack: closes the service.
    """
    server = HTTPServer(application)
    server.add_socket(listen(endpoint.address, endpoint.port))
    stack.callback(server.stop)


__all__ = ('serve',)
