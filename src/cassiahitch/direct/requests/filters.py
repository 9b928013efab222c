"""Checks of a request before it is placed, in order; each may refuse it."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.direct.placement.crashguard import fingerprint_of
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.requests.budget import RetryBudget
    from cassiahitch.direct.state.catalogue import Catalogue

#: Seconds after which a caller may come back to an entry that does not know enough.
UNREADY_RETRY_AFTER_S = 0.5
#: Seconds after which a refused suspect may come back.
SUSPECT_RETRY_AFTER_S = 30.0
#: Seconds for which a caller waits that does not say it.
DEFAULT_CALLER_TIMEOUT_S = 30.0


@dataclass(slots=True)
class RequestFilters:
    """Finds the route, the organisation and the service of a request."""

    entry_state: EntryState
    budget: RetryBudget
    rng: random.Random

    def check(self, call: Call) -> None:
        """Run all checks.

        :param call: the request; its route, organisation and deadline are filled in.
        :raises RequestError: if it is refused.
        """
        catalogue = self.require_catalogue()
        self.resolve_route(call, catalogue)
        self.resolve_organisation(call, catalogue)
        self.choose_service(call)
        self.refuse_suspect(call)

    def require_catalogue(self) -> Catalogue:
        """Return the configuration in force.

        :return: the configuration.
        :raises RequestError: ``not_ready`` before there is one.
        """
        known = self.entry_state.catalogue
        if known is None or not self.entry_state.replicas_loaded:
            detail = 'this entry has no configuration yet'
            raise RequestError(Code.not_ready, detail, HasRun.no, UNREADY_RETRY_AFTER_S)
        return known

    def resolve_route(self, call: Call, catalogue: Catalogue) -> None:
        """Find the route and from it the deadline.

        :param call: the request.
        :param catalogue: the configuration in force.
        :raises RequestError: ``not_found`` if no route leads there, ``body_too_large``.
        """
        request = call.request
        route = catalogue.route(request.host, request.path)
        if route is None:
            self.require_fresh_configuration()
            raise RequestError(Code.not_found, 'no route leads there', HasRun.no)
        if len(request.body) > catalogue.limits.body_bytes:
            raise RequestError(Code.body_too_large, 'the body is too large', HasRun.no)
        call.route = route
        caller_timeout_s = (
            DEFAULT_CALLER_TIMEOUT_S
            if request.caller_timeout_s is None
            else request.caller_timeout_s
        )
        call.deadline = call.arrived_at + min(route.timeout_s, caller_timeout_s)

    def resolve_organisation(self, call: Call, catalogue: Catalogue) -> None:
        """Find the organisation that holds the key of a request.

        :param call: the request.
        :param catalogue: the configuration in force.
        :raises RequestError: ``unauthorised`` if no organisation holds it.
        """
        if not catalogue.organisations or call.require_route().public:
            return
        self.require_fresh_configuration()
        call.organisation = catalogue.organisations.get(call.request.key)
        if call.organisation is None:
            raise RequestError(Code.unauthorised, 'no organisation holds this key', HasRun.no)

    def choose_service(self, call: Call) -> None:
        """Draw one of the services of the route by their weights.

        :param call: the request.
        :raises RequestError: ``no_replica`` if the route leads to none.
        """
        shares = [share for share in call.require_route().shares if share.weight > 0]
        if not shares:
            raise RequestError(Code.no_replica, 'the route has no service', HasRun.no)
        weights = [share.weight for share in shares]
        call.service = self.rng.choices(shares, weights)[0].service
        self.budget.record_request(call.service, call.arrived_at)

    def refuse_suspect(self, call: Call) -> None:
        """Refuse a request that crashed backend servers.

        :param call: the request.
        :raises RequestError: ``poison_refused``.
        """
        organisation = call.organisation.name if call.organisation else ''
        call.fingerprint = fingerprint_of(organisation, call.service, call.request)
        if self.entry_state.crashes.is_refused(call.fingerprint, call.arrived_at):
            detail = 'this request crashed the backend servers that ran it'
            raise RequestError(Code.poison_refused, detail, call.ran, SUSPECT_RETRY_AFTER_S)

    def require_valid_key(self, call: Call) -> None:
        """Check right before a send that the key is still held.

        :param call: the request.
        :raises RequestError: ``unauthorised`` or ``configuration_stale``.
        """
        if call.organisation is None:
            return
        self.require_fresh_configuration(call.ran)
        if call.request.key not in self.require_catalogue().organisations:
            raise RequestError(Code.unauthorised, 'the key was taken away', call.ran)

    def require_fresh_configuration(self, ran: HasRun = HasRun.no) -> None:
        """Require that the configuration was the newest one a short time ago.

        :param ran: whether the request has run.
        :raises RequestError: ``configuration_stale``.
        """
        if not self.entry_state.freshness.is_valid(boot_time()):
            detail = 'this entry has not reached the store for too long'
            raise RequestError(Code.configuration_stale, detail, ran, UNREADY_RETRY_AFTER_S)


__all__ = ('RequestFilters',)
