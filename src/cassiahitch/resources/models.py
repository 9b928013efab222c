"""Models of the resources that operators declare."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from cassiahitch.util.digests import SHA256_PATTERN

#: Maximum number of names in one list of a resource.
MAX_NAMES = 1024


def check_unique(names: tuple[str, ...]) -> tuple[str, ...]:
    """Check that a list contains no name twice.

    :param names: the list.
    :return: the same list.
    :raises ValueError: if a name is repeated.
    """
    if len(set(names)) < len(names):
        raise ValueError('the list contains a name twice')
    return names


#: Name of a resource: lower-case letters, digits, hyphens and dots.
Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]
#: Hexadecimal SHA-256 digest.
Digest = Annotated[str, Field(pattern=f'^{SHA256_PATTERN}$')]

#: List of distinct names.
Names = Annotated[tuple[Name, ...], Field(max_length=MAX_NAMES), AfterValidator(check_unique)]


class Objective(StrEnum):
    """Quantity that a rollout minimises: its duration or the bytes read from the origin."""

    time = 'time'
    origin_bytes = 'origin_bytes'


class ResourceModel(BaseModel):
    """Base class of all resources; unknown keys are refused."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: Name


class Model(ResourceModel):
    """A version of model weights at an origin path."""

    kind: Literal['Model'] = 'Model'
    version: Name
    origin: str = Field(min_length=1, max_length=1024)
    manifest: Digest


class Adapter(ResourceModel):
    """A version of an adapter that is loaded together with a model."""

    kind: Literal['Adapter'] = 'Adapter'
    version: Name
    model: Name
    origin: str = Field(min_length=1, max_length=1024)
    manifest: Digest


class ServiceType(StrEnum):
    """Kind of the backend servers of a service."""

    model = 'model'
    plain = 'plain'


class Priority(StrEnum):
    """Priority class of a service under overload, from the highest to the lowest."""

    desk = 'desk'
    lookup = 'lookup'
    draft = 'draft'


class Service(ResourceModel):
    """A service that callers can use; requests of ``idempotent`` services may be retried."""

    kind: Literal['Service'] = 'Service'
    type: ServiceType
    idempotent: bool
    priority: Priority = Priority.draft
    deadline_s: float = Field(default=30, gt=0, le=600)


class Deployment(ResourceModel):
    """Replicas that serve a version of a model for a service."""

    kind: Literal['Deployment'] = 'Deployment'
    service: Name
    model: Name
    adapters: Names = ()
    replicas: int = Field(ge=0, le=20_000)
    failure_domains: Names = ()
    organisations: Names = ()
    objective: Objective = Objective.time


class Organisation(ResourceModel):
    """A customer of a reseller; its keys are stored only as SHA-256 digests."""

    kind: Literal['Organisation'] = 'Organisation'
    key_digests: Annotated[tuple[Digest, ...], AfterValidator(check_unique)] = Field(
        default=(),
        max_length=16,
    )
    weight: float = Field(default=1, gt=0, le=1000)
    requests_per_s: float = Field(default=100, gt=0, le=1_000_000)


class Drain(ResourceModel):
    """Takes a host out of service after its running requests have ended."""

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
