"""Checks of a request before it is placed; each check may refuse it."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.direct.placement.crashguard import fingerprint_of
from cassiahitch.direct.placement.regionpolicy import region_policy
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.requests.budget import RetryBudget
    from cassiahitch.direct.state.catalogue import Catalogue
    from cassiahitch.direct.state.replicas import Replica

#: Retry-After, in seconds, of an entry that has no configuration or only a stale one.
UNREADY_RETRY_AFTER_S = 0.5
#: Retry-After, in seconds, for a request that has crashed backend servers.
SUSPECT_RETRY_AFTER_S = 30.0
#: Timeout of callers that do not state one, in seconds.
DEFAULT_CALLER_TIMEOUT_S = 30.0


@dataclass(slots=True)
class RequestFilters:
    """Resolves the route, the organisation and the service of a request, or refuses it."""

    entry_state: EntryState
    budget: RetryBudget
    rng: random.Random

    def check(self, call: Call) -> None:
        """Run all checks that come before the placement.

        :param call: the request; its route, deadline, organisation, service and fingerprint are
            set.
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
        :raises RequestError: ``not_ready`` until the configuration and the replica list are loaded.
        """
        catalogue = self.entry_state.catalogue
        if catalogue is None or not self.entry_state.replicas_loaded:
            detail = 'this entry has no configuration yet'
            raise RequestError(Code.not_ready, detail, HasRun.no, UNREADY_RETRY_AFTER_S)
        return catalogue

    def resolve_route(self, call: Call, catalogue: Catalogue) -> None:
        """Set the route of a request, and its deadline.

        :param call: the request.
        :param catalogue: the configuration in force.
        :raises RequestError: ``not_found`` if no route matches, ``body_too_large``, or
            ``configuration_stale``.
        """
        request = call.request
        route = catalogue.route(request.host, request.path)
        if route is None:
            self.require_current_configuration()
            raise RequestError(
                Code.not_found, 'no route matches the host and path of the request', HasRun.no
            )
        if len(request.body) > catalogue.limits.body_bytes:
            raise RequestError(
                Code.body_too_large, 'the body is larger than the configuration allows', HasRun.no
            )
        self.require_current_regions()
        call.route = route
        caller_timeout_s = (
            DEFAULT_CALLER_TIMEOUT_S
            if request.caller_timeout_s is None
            else request.caller_timeout_s
        )
        call.deadline = call.arrived_at + min(route.timeout_s, caller_timeout_s)

    def resolve_organisation(self, call: Call, catalogue: Catalogue) -> None:
        """Set the organisation of a request by its key, unless its route is public.

        :param call: the request.
        :param catalogue: the configuration in force.
        :raises RequestError: ``unauthorised`` if no organisation has the key, or
            ``configuration_stale``.
        """
        call.organisation = None
        if catalogue.organisations is None or call.require_route().public:
            return
        self.require_fresh_configuration(call.ran)
        call.organisation = catalogue.organisations.get(call.request.key)
        if call.organisation is None:
            self.require_current_configuration(call.ran)
            raise RequestError(Code.unauthorised, 'the key belongs to no organisation', call.ran)

    def choose_service(self, call: Call) -> None:
        """Choose one of the services of the route at random by weight.

        :param call: the request.
        :raises RequestError: ``no_replica`` if the route has no service with a weight.
        """
        shares = [share for share in call.require_route().shares if share.weight > 0]
        if not shares:
            raise RequestError(
                Code.no_replica, 'the route has no service with a weight above 0', HasRun.no
            )
        weights = [share.weight for share in shares]
        call.service = self.rng.choices(shares, weights)[0].service
        self.budget.record_request(call.service, call.arrived_at)

    def refuse_suspect(self, call: Call) -> None:
        """Refuse a request that has crashed backend servers.

        :param call: the request; its fingerprint is set.
        :raises RequestError: ``poison_refused``.
        """
        organisation = call.organisation.name if call.organisation else ''
        call.fingerprint = fingerprint_of(organisation, call.service, call.request)
        if self.entry_state.crashes.is_refused(call.fingerprint, call.arrived_at):
            detail = 'this request crashed the backend servers that ran it'
            raise RequestError(Code.poison_refused, detail, call.ran, SUSPECT_RETRY_AFTER_S)

    def resolve_again(self, call: Call) -> None:
        """Check right before an attempt who has the key of a request now, and where it may run.

        Load pattern: a request waits or is retried while its key is revoked, or moves to another
        organisation, or while keys become necessary, or while regions are excluded.

        :param call: the request; its organisation and the allowed regions of its route are set.
        :raises RequestError: ``unauthorised`` or ``configuration_stale``.
        """
        self.require_current_regions(call.ran)
        catalogue = self.require_catalogue()
        self.update_route_rules(call, catalogue)
        self.resolve_organisation(call, catalogue)

    def update_route_rules(self, call: Call, catalogue: Catalogue) -> None:
        """Set where a request may run, and whether without a key, by its route in a configuration.

        All else remains as it was at the arrival, also for a request whose route was removed since.

        :param call: the request; its route is set.
        :param catalogue: the configuration in force.
        """
        route = call.require_route()
        current = catalogue.route(call.request.host, call.request.path)
        if current is not None and current is not route:
            call.route = replace(
                route, allowed_regions=current.allowed_regions, public=current.public
            )

    def allows_region(self, call: Call, replica: Replica) -> bool:
        """Return whether a request may run in the region of a replica.

        :param call: the request; its organisation and route are set.
        :param replica: the replica.
        :return: whether neither its route nor its organisation excludes the region.
        """
        return region_policy(call).allows(self.entry_state.region_of(replica.failure_domain))

    def require_current_regions(self, ran: HasRun = HasRun.no) -> None:
        """Require a fresh configuration if the one in force excludes regions for some requests.

        A newer one may exclude regions for a request that has no key, too.

        :param ran: whether the request has run, which the error states.
        :raises RequestError: ``configuration_stale``.
        """
        if self.entry_state.restricts_regions:
            self.require_fresh_configuration(ran)

    def require_fresh_configuration(self, ran: HasRun = HasRun.no) -> None:
        """Require that the configuration was verified to be the newest one recently enough.

        :param ran: whether the request has run, which the error states.
        :raises RequestError: ``configuration_stale``.
        """
        if not self.entry_state.is_configuration_fresh(boot_time()):
            raise _stale_configuration_error(ran)

    def require_current_configuration(self, ran: HasRun = HasRun.no) -> None:
        """Require that no newer configuration can be in force, before a request is refused by it.

        Callers do not repeat a request that no route or no key allows, so that it would be lost if
        a newer configuration allows it.

        :param ran: whether the request has run, which the error states.
        :raises RequestError: ``configuration_stale``.
        """
        if not self.entry_state.freshness.is_current(boot_time()):
            raise _stale_configuration_error(ran)


def _stale_configuration_error(ran: HasRun) -> RequestError:
    detail = 'the configuration is stale: this entry has not confirmed it for too long'
    return RequestError(Code.configuration_stale, detail, ran, UNREADY_RETRY_AFTER_S)


__all__ = ('RequestFilters',)
