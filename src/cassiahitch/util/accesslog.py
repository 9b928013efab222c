"""Access logs of HTTP services."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado.web import RequestHandler


def no_access_log(handler: RequestHandler) -> None:
    """Leave the calls of a service out of the log; a service takes it as its log function.

    :param handler: a call that was answered.
    """


__all__ = ('no_access_log',)
