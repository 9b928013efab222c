"""Answers to the platform's checks and to callers that ask for addresses."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from tornado.web import Application, RequestHandler

from cassiahitch.platform import names
from cassiahitch.util.accesslog import no_access_log

if TYPE_CHECKING:
    from cassiahitch.direct.platformapi import FindAddresses, IsReady


class ReadinessHandler(RequestHandler):
    """Says whether the process is ready."""

    def initialize(self, is_ready: IsReady) -> None:
        """Take what it asks.

        :param is_ready: tells whether the process is ready.
        """
        self.is_ready = is_ready

    def get(self) -> None:
        """Answer a check."""
        ready = self.is_ready()
        self.set_status(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish()


class AddressHandler(RequestHandler):
    """Names entries to a caller."""

    def initialize(self, find: FindAddresses) -> None:
        """Take what it asks.

        :param find: chooses the entries.
        """
        self.find = find

    def get(self) -> None:
        """Answer a caller; without any entry it has to ask elsewhere."""
        answer = self.find(self.get_query_argument('region', ''))
        if not answer.endpoints:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        addresses = [str(endpoint) for endpoint in answer.endpoints]
        self.finish({'addresses': addresses, 'ttlS': answer.lifetime_s})


def readiness_service(is_ready: IsReady) -> Application:
    """Return the service that says whether the process is ready.

    :param is_ready: tells it.
    :return: the service.
    """
    return Application(
        [(names.READY_PATH, ReadinessHandler, {'is_ready': is_ready})], log_function=no_access_log
    )


def address_service(find: FindAddresses) -> Application:
    """Return the service that names entries to callers.

    :param find: chooses the entries.
    :return: the service.
    """
    return Application(
        [(names.ADDRESSES_PATH, AddressHandler, {'find': find})], log_function=no_access_log
    )


__all__ = (
    'address_service',
    'readiness_service',
)
