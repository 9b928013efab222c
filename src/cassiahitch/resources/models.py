"""Resources that operators declare, validated at the border."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

#: Names that one list in a resource may hold.
MAX_NAMES = 1024


def check_unique(names: tuple[str, ...]) -> tuple[str, ...]:
    """Refuse a list that holds a name twice.

    :param names: the list.
    :return: the list.
    :raises ValueError: if a name is repeated.
    """
    if len(set(names)) < len(names):
        raise ValueError('a name is repeated')
    return names


#: Name of a resource: lower-case words joined by hyphens or dots.
Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]
#: Hexadecimal SHA-256 digest.
Digest = Annotated[str, Field(pattern=r'^[0-9a-f]{64}$')]

#: List of names, each at most once.
Names = Annotated[tuple[Name, ...], Field(max_length=MAX_NAMES), AfterValidator(check_unique)]


class Objective(StrEnum):
    """What a rollout spends least of."""

    time = 'time'
    origin_bytes = 'origin_bytes'


class ResourceModel(BaseModel):
    """Base of all resources."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: Name


class Model(ResourceModel):
    """A version of model weights at an origin path."""

    kind: Literal['Model'] = 'Model'
    version: Name
    origin: str = Field(min_length=1, max_length=1024)
    manifest: Digest


class Adapter(ResourceModel):
    """A version of an adapter that is loaded beside a model."""

    kind: Literal['Adapter'] = 'Adapter'
    version: Name
    model: Name
    origin: str = Field(min_length=1, max_length=1024)
    manifest: Digest


class ServiceType(StrEnum):
    """What answers the requests of a service."""

    model = 'model'
    plain = 'plain'


class Priority(StrEnum):
    """Order in which requests are served under overload."""

    desk = 'desk'
    lookup = 'lookup'
    draft = 'draft'


class Service(ResourceModel):
    """A service that callers name; ``idempotent`` calls may be repeated."""

    kind: Literal['Service'] = 'Service'
    type: ServiceType
    idempotent: bool
    priority: Priority = Priority.draft
    deadline_s: float = Field(default=30, gt=0, le=600)


class Deployment(ResourceModel):
    """Where a version of a model serves for a service."""

    kind: Literal['Deployment'] = 'Deployment'
    service: Name
    model: Name
    adapters: Names = ()
    replicas: int = Field(ge=0, le=20_000)
    failure_domains: Names = ()
    organisations: Names = ()
    objective: Objective = Objective.time


class Organisation(ResourceModel):
    """A customer of a reseller; keys are stored as SHA-256 digests only."""

    kind: Literal['Organisation'] = 'Organisation'
    key_digests: Annotated[tuple[Digest, ...], AfterValidator(check_unique)] = Field(
        default=(),
        max_length=16,
    )
    weight: float = Field(default=1, gt=0, le=1000)
    requests_per_s: float = Field(default=100, gt=0, le=1_000_000)


class Drain(ResourceModel):
    """Takes a host out of service without cutting its requests."""

    kind: Literal['Drain'] = 'Drain'
    host: Name


Resource = Annotated[
    Model | Adapter | Service | Deployment | Organisation | Drain,
    Field(discriminator='kind'),
]

KINDS: tuple[type[ResourceModel], ...] = (
    Model,
    Adapter,
    Service,
    Deployment,
    Organisation,
    Drain,
)

__all__ = (
    'KINDS',
    'Adapter',
    'Deployment',
    'Digest',
    'Drain',
    'Model',
    'Name',
    'Names',
    'Objective',
    'Organisation',
    'Priority',
    'Resource',
    'ResourceModel',
    'Service',
    'ServiceType',
)
