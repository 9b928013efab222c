"""HTTP services for the platform's readiness checks and for address queries of callers."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from tornado.web import Application, RequestHandler

from cassiahitch.platform import names
from cassiahitch.util.accesslog import no_access_log

if TYPE_CHECKING:
    from cassiahitch.direct.platformapi import FindAddresses, IsReady


class ReadinessHandler(RequestHandler):
    """Responds to readiness checks."""

    def initialize(self, is_ready: IsReady) -> None:
        """Set the source of the readiness.

        :param is_ready: returns whether the process is ready.
        """
        self.is_ready = is_ready

    def get(self) -> None:
        """Respond with status 200 if the process is ready, else with 503."""
        ready = self.is_ready()
        self.set_status(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish()


class AddressHandler(RequestHandler):
    """Responds to callers with the addresses of entries."""

    def initialize(self, find: FindAddresses) -> None:
        """Set the source of the addresses.

        :param find: selects the entries.
        """
        self.find = find

    def get(self) -> None:
        """Respond with addresses, or with status 503 if there are none."""
        host = self.get_query_argument('name', '')
        selected = self.find(host, self.get_query_argument('region', ''))
        if not selected.endpoints:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        addresses = [str(endpoint) for endpoint in selected.endpoints]
        self.finish({'addresses': addresses, 'ttlS': selected.lifetime_s})


def readiness_service(is_ready: IsReady) -> Application:
    """Return the HTTP service of the readiness check.

    :param is_ready: returns whether the process is ready.
    :return: the service.
    """
    return Application(
        [(names.READY_PATH, ReadinessHandler, {'is_ready': is_ready})], log_function=no_access_log
    )


def address_service(find: FindAddresses) -> Application:
    """Return the HTTP service that gives callers the addresses of entries.

    :param find: selects the entries.
    :return: the service.
    """
    return Application(
        [(names.ADDRESSES_PATH, AddressHandler, {'find': find})], log_function=no_access_log
    )


__all__ = (
    'address_service',
    'readiness_service',
)
