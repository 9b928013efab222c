"""Inputs and results of replica selection."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Replica:
    """A serving backend server; without ``services`` it serves every service."""

    host: str
    incarnation: int
    region: str
    failure_domain: str
    services: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a replica; ``measured_at`` is in seconds of the receiver's clock."""

    running: int
    queued: int
    capacity: int
    measured_at: float
    digest: str = ''
    load_epoch: int = 0


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """Requirements of a request on its replica.

    An empty ``digest`` accepts any loaded version, an empty ``only_host`` any host.
    """

    service: str
    prefix: str = ''
    excluded: frozenset[str] = frozenset()
    digest: str = ''
    only_host: str = ''


@dataclass(frozen=True, slots=True)
class Choice:
    """The replica selected for a request; ``score_s`` is its expected response time in seconds."""

    host: str
    incarnation: int
    score_s: float
    prefix_hit: bool = False


@dataclass(frozen=True, slots=True)
class NoReplica:
    """No replica is available for the request."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Total reported load of the replicas of a service, from all entries.

    ``measured_at`` is the mean time of the reports, in seconds.
    """

    capacity: int
    requests: int
    measured_at: float


class Outcome(StrEnum):
    """Result of a dispatched request."""

    success = 'success'
    failed = 'failed'
    timed_out = 'timed_out'
    crashed = 'crashed'
    refused = 'refused'
    cancelled = 'cancelled'


@dataclass(frozen=True, slots=True)
class LocalityPenalties:
    """Score penalties in seconds for a replica in another failure domain or region."""

    failure_domain_s: float = 0.001
    region_s: float = 0.05


__all__ = (
    'Choice',
    'LocalityPenalties',
    'LoadReport',
    'NoReplica',
    'Outcome',
    'Replica',
    'RouteQuery',
    'ServiceLoad',
)
