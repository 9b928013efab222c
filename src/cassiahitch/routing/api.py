"""What the choice of a replica takes in and gives out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Replica:
    """A backend server host that serves; no ``services`` means that it serves all."""

    host: str
    incarnation: int
    region: str
    failure_domain: str
    services: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a replica; ``at`` is when it was measured, in the receiver's clock."""

    running: int
    queued: int
    capacity: int
    at: float
    digest: str = ''
    load_epoch: int = 0


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """A request that needs a replica.

    An empty ``digest`` accepts any loaded version, an empty ``only`` any host.
    """

    service: str
    prefix: str = ''
    excluded: frozenset[str] = frozenset()
    digest: str = ''
    only_host: str = ''


@dataclass(frozen=True, slots=True)
class Choice:
    """The replica chosen for a request."""

    host: str
    incarnation: int
    score_s: float
    prefix_hit: bool = False


@dataclass(frozen=True, slots=True)
class NoReplica:
    """No replica may take the request now."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Reported load of the replicas of a service, by all entries, at a moment of the past."""

    capacity: int
    requests: int
    at: float


class Outcome(StrEnum):
    """How a dispatched request ended."""

    success = 'success'
    failed = 'failed'
    timed_out = 'timed_out'
    crashed = 'crashed'
    refused = 'refused'
    cancelled = 'cancelled'


@dataclass(frozen=True, slots=True)
class Distances:
    """Costs in seconds of leaving the own failure domain or region."""

    failure_domain_s: float = 0.001
    region_s: float = 0.05


__all__ = (
    'Choice',
    'Distances',
    'LoadReport',
    'NoReplica',
    'Outcome',
    'Replica',
    'RouteQuery',
    'ServiceLoad',
)
