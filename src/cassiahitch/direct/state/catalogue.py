"""The configuration in force: routes, services, organisations and the limits of callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property
from statistics import fmean
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class RepeatPolicy(StrEnum):
    """Whether a request may be sent to a backend server more than once.

    ``idempotent`` requests may be repeated, ``once`` requests must not run twice, and a ``stream``
    may resume at another replica if its route is resumable.
    """

    idempotent = 'idempotent'
    once = 'once'
    stream = 'stream'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service of a route and its share of the traffic relative to the other services."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule and service objectives for the requests of a host and a path prefix.

    ``objective_s`` is the target time until the first byte of a stream, or until a complete
    response. ``max_event_gap_s`` is the target for the longest gap between events of a stream.
    ``allowed_regions`` are the regions whose replicas may serve it; all if there is none.
    """

    name: str
    host: str
    prefix: str
    repeat_policy: RepeatPolicy
    timeout_s: float
    objective_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    max_event_gap_s: float = 0
    allowed_regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after an attempt whose outcome is unknown."""
        return self.repeat_policy is RepeatPolicy.idempotent

    @property
    def may_resume(self) -> bool:
        """Whether an interrupted stream may continue at another replica."""
        return self.repeat_policy is RepeatPolicy.stream and self.resumable

    @property
    def runs_once(self) -> bool:
        """Whether a request must not be retried once it may have run."""
        return not (self.repeatable or self.may_resume)

    @property
    def runs_without_caller(self) -> bool:
        """Whether a request continues after its caller disconnected.

        Streams are cancelled, since only their caller could use the rest.
        """
        return self.runs_once and self.repeat_policy is not RepeatPolicy.stream


@dataclass(frozen=True, slots=True)
class Engine:
    """Performance model and weights of the model engine of a service.

    An engine processes prompts (prefill) at ``prefill_tokens_per_s``, plus ``attention_pair_s``
    for each pair of prompt tokens. It generates tokens in passes of ``pass_steps`` decode steps.
    A step takes ``step_s``, plus ``step_s_per_sequence`` for each running request and
    ``step_s_per_context_token`` for each token of their contexts. ``slots`` requests run at once.
    Weights are split into ``chunk_count`` chunks of ``chunk_bytes``, and have ``layers`` layers, 0
    if that is unknown.
    """

    model: str
    slots: int
    pass_steps: int
    step_s: float
    step_s_per_sequence: float
    step_s_per_context_token: float
    prefill_tokens_per_s: float
    attention_pair_s: float
    mean_prompt_tokens: float
    mean_output_tokens: float
    chunk_bytes: int = 0
    chunk_count: int = 0
    layers: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A service that requests are routed to.

    ``max_connections`` is the limit of one replica for all entries together. The service that is
    the origin of weights has its address in ``origin``, its ``failure_domain``, and the bandwidth
    of its link in ``link_mbit_s``, 0 if unknown. Its replicas are cold for ``cold_s`` after they
    start, and then accept ``cold_per_s`` requests per second from all entries together; 0 means
    that there is no such limit.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    origin: str = ''
    failure_domain: str = ''
    link_mbit_s: float = 0
    cold_s: float = 0
    cold_per_s: float = 0


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation; its priority, if set, overrides that of the route.

    ``allowed_regions`` are the regions whose replicas may serve it; all if there is none.
    """

    name: str
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits of a request in bytes, and times in seconds.

    ``idle_s`` is the idle timeout of a caller's connection, ``header_s`` the time for a header.
    """

    header_bytes: int = 65_536
    body_bytes: int = 16_777_216
    idle_s: float = 60
    header_s: float = 60


@dataclass(frozen=True)
class Catalogue:
    """One version of the configuration.

    ``organisations`` is keyed by API key; it is empty if no organisation has one, and None if
    requests need no key. ``mean_objectives_s`` holds the mean objective of the routes of each
    service, and ``ranked_services`` are the services whose routes differ in priority.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    organisations: Mapping[str, Organisation] | None = None
    limits: CallerLimits = CallerLimits()
    routes_by_host: dict[str, dict[str, Route]] = field(init=False, default_factory=dict)
    mean_objectives_s: dict[str, float] = field(init=False, default_factory=dict)
    ranked_services: set[str] = field(init=False, default_factory=set)

    def __post_init__(self) -> None:
        """Index the routes by host and prefix, and compute the mean objective of each service."""
        objectives: dict[str, list[float]] = {}
        priorities: dict[str, set[int]] = {}
        for route in self.routes:
            self.routes_by_host.setdefault(route.host, {})[route.prefix] = route
            for share in route.shares:
                if share.weight > 0:
                    objectives.setdefault(share.service, []).append(route.objective_s)
                    priorities.setdefault(share.service, set()).add(route.priority)
        for service, values in objectives.items():
            self.mean_objectives_s[service] = fmean(values)
        self.ranked_services.update(name for name, found in priorities.items() if len(found) > 1)

    @cached_property
    def restricts_regions(self) -> bool:
        """Whether a route or an organisation has allowed regions."""
        organisations = (self.organisations or {}).values()
        return any(route.allowed_regions for route in self.routes) or any(
            organisation.allowed_regions for organisation in organisations
        )

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, which has the longest matching path prefix.

        :param host: value of the Host header, with or without a port.
        :param path: request path, with or without a query.
        :return: the route, or None if no prefix of the host matches.
        """
        prefixes = self.routes_by_host.get(host.rpartition(':')[0].lower() or host.lower())
        if prefixes is None:
            return None
        prefix = path.partition('?')[0]
        while prefix:
            prefix = prefix[: prefix.rfind('/') + 1]
            route = prefixes.get(prefix)
            if route is not None:
                return route
            prefix = prefix[:-1]
        return None

    def host_regions(self, host: str) -> frozenset[str]:
        """Return the regions whose entries may be named to callers of a host.

        :param host: value of the Host header, with or without a port.
        :return: the regions that all restricted routes of the host allow, or, if they have none in
            common, those that one of them allows; empty if no route is restricted.
        """
        name = host.rpartition(':')[0].lower() or host.lower()
        restrictions = [
            route.allowed_regions
            for route in self.routes_by_host.get(name, {}).values()
            if route.allowed_regions
        ]
        if not restrictions:
            return frozenset()
        return frozenset.intersection(*restrictions) or frozenset.union(*restrictions)

    def cold_rates(self) -> Mapping[str, float]:
        """Return the cold rates of the services that have one.

        :return: requests per second by service.
        """
        return {
            service.name: service.cold_per_s
            for service in self.services.values()
            if service.cold_per_s > 0
        }

    def services_by_model(self) -> Mapping[str, Service]:
        """Return the services that run model engines, by model name.

        :return: services by model.
        """
        return {
            service.engine.model: service
            for service in self.services.values()
            if service.engine is not None
        }


__all__ = (
    'CallerLimits',
    'Catalogue',
    'Engine',
    'Organisation',
    'RepeatPolicy',
    'Route',
    'Service',
    'ServiceShare',
)
