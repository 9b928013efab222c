"""The configuration in force: routes, services, organisations and the limits of callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from statistics import fmean
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class Repeat(StrEnum):
    """What may be sent to a backend server more than once."""

    idempotent = 'idempotent'
    once = 'once'
    stream = 'stream'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service of a route and its weight among all services of the route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and a path go, and what they may expect.

    ``objective_s`` is the time to the first byte of a stream, or to a whole answer.
    ``pause_s`` is the longest pause between events of a stream that is still on time.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout_s: float
    objective_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    pause_s: float = 0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after a run whose outcome is unknown."""
        return self.repeat is Repeat.idempotent

    @property
    def may_resume(self) -> bool:
        """Whether a stream may go on at another replica."""
        return self.repeat is Repeat.stream and self.resumable

    @property
    def runs_once(self) -> bool:
        """Whether a request must not be sent again once it may have run."""
        return not (self.repeatable or self.may_resume)

    @property
    def outlives_caller(self) -> bool:
        """Whether a request goes on after its caller has left; a stream is of no use then."""
        return self.runs_once and self.repeat is not Repeat.stream


@dataclass(frozen=True, slots=True)
class Engine:
    """Speed of the model engine of a service.

    ``prefill_tokens_per_s`` is the rate of reading prompts, ``step_s`` the time of one token step,
    ``step_s_per_sequence`` and ``step_s_per_context_token`` what each running request and each of its tokens of context
    add to a step. A pass runs ``pass_steps`` steps. ``usual_*`` are mean numbers of tokens.
    Weights come in chunks of ``chunk_bytes``.
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


@dataclass(frozen=True, slots=True)
class Service:
    """A service; ``max_connections`` bounds those of one replica from all its callers.

    ``origin`` is the address of the origin of weights, if it is that; it stands in
    ``failure_domain`` and sends ``link_mbit_s`` megabits a second, 0 if that is not known.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    origin: str = ''
    failure_domain: str = ''
    link_mbit_s: float = 0


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation; its priority, if any, goes before that of the route."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send: bytes of a header and of a body."""

    header_bytes: int = 65_536
    body_bytes: int = 16_777_216
    idle_s: float = 60


@dataclass(frozen=True)
class Catalogue:
    """One version of the configuration; ``organisations`` are found by their keys.

    ``objectives_s`` has the mean objective of the routes of each service.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    by_host: dict[str, dict[str, Route]] = field(init=False, default_factory=dict)
    objectives_s: dict[str, float] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        """Index the routes by host and prefix, and take the mean objective of each service."""
        objectives: dict[str, list[float]] = {}
        for route in self.routes:
            self.by_host.setdefault(route.host, {})[route.prefix] = route
            for share in route.shares:
                if share.weight > 0:
                    objectives.setdefault(share.service, []).append(route.objective_s)
        for service, found in objectives.items():
            self.objectives_s[service] = fmean(found)

    def route(self, host: str, path: str) -> Route | None:
        """Find the route of a request: the one with the longest prefix of its path.

        :param host: the host that the caller named, with or without a port.
        :param path: the path, with or without a query.
        :return: the route, or nothing if no prefix begins the path.
        """
        prefixes = self.by_host.get(host.rpartition(':')[0].lower() or host.lower())
        if prefixes is None:
            return None
        prefix = path.partition('?')[0]
        while prefix:
            prefix = prefix[: prefix.rfind('/') + 1]
            found = prefixes.get(prefix)
            if found is not None:
                return found
            prefix = prefix[:-1]
        return None

    def models(self) -> Mapping[str, Service]:
        """Return the services that run model engines, by the names of their models.

        :return: services.
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
    'Repeat',
    'Route',
    'Service',
    'ServiceShare',
)
