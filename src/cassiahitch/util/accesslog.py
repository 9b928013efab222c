"""Access log of HTTP services."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado.web import RequestHandler


def no_access_log(handler: RequestHandler) -> None:
    """Log function of a Tornado application that logs nothing.

    :param handler: handler of a completed request.
    """


__all__ = ('no_access_log',)
