"""Identification of the organisation of a request by its key."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import RequestError
from cassiahitch.resources.models import Organisation

if TYPE_CHECKING:
    from cassiahitch.controllers.configuration import Configuration
    from cassiahitch.requests.api import Proceed, Request, Response


@dataclass(slots=True)
class IdentificationFilter:
    """Filter that sets the organisation; its index of keys is rebuilt for each revision."""

    configuration: Configuration
    revision: int = -1
    names: dict[str, str] = field(default_factory=dict)

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Set the organisation of a request.

        :param request: the request.
        :param proceed: the rest of the chain.
        :return: the response.
        :raises RequestError: ``not_ready`` without a configuration, ``unauthorised`` for an
            unknown key.
        """
        if not self.configuration.ready:
            raise RequestError(
                Code.not_ready, 'this entry has no configuration yet', HasRun.no, retry_after_s=1
            )
        request.organisation = self.find_organisation(request.secret)
        if not request.organisation:
            raise RequestError(Code.unauthorised, 'no organisation has this key', HasRun.no)
        return await proceed(request)

    def find_organisation(self, secret: str) -> str:
        """Return the organisation of a key.

        :param secret: the key.
        :return: its name, empty if no organisation has the key.
        """
        if self.revision != self.configuration.revision:
            self._rebuild()
        return self.names.get(hashlib.sha256(secret.encode()).hexdigest(), '')

    def _rebuild(self) -> None:
        self.names = {
            digest: resource.name
            for resource in self.configuration.resources.values()
            if isinstance(resource, Organisation)
            for digest in resource.key_digests
        }
        self.revision = self.configuration.revision


__all__ = ('IdentificationFilter',)
