"""Settings of the roles that reach backend servers directly."""

from __future__ import annotations

from typing import Literal

from pydantic import Field

from cassiahitch.resources.models import Name
from cassiahitch.settings.fields import Address, EndpointText, Port
from cassiahitch.settings.limits import KIB, MIB, ResponseLimits
from cassiahitch.settings.models import LogLevel, Role, SettingsModel


class BoundSettings(SettingsModel):
    """What the deployment promises and requires, in seconds unless the name says otherwise."""

    drain_s: float = Field(gt=0, description='A draining replica gets no request after this.')
    configuration_s: float = Field(gt=0, description='A configuration is in force after this.')
    revoked_key_s: float = Field(gt=0, description='A key that was taken away is refused after.')
    weights_s: float = Field(gt=0, description='New weights replace older ones after this.')
    grace_s: float = Field(gt=0, description='A process that is told to stop is killed after this.')
    address_lifetime_s: float = Field(gt=0, description='Longest lifetime of an address answer.')
    retry_ratio: float = Field(ge=0, description='Retries of a service for each of its requests.')
    retry_slack: float = Field(ge=0, description='Retries of a service beside those.')
    retry_window_s: float = Field(gt=0, description='Window in which retries are counted.')


class DirectSettings(SettingsModel):
    """Settings that both roles have."""

    name: Name = Field(description='Name of the process, unique among all.')
    address: Address = Field(description='IP number that other processes connect to.')
    region: Name = Field(description='Region of the host.')
    failure_domain: Name = Field(description='Failure domain of the host.')
    regions: dict[str, str] = Field(description='Region of each failure domain.')
    peer_port: Port = Field(description='Port for own processes, the same on all hosts.')
    store: EndpointText = Field(description='Store of the platform.')
    bounds: BoundSettings = Field(description='Bounds of the deployment.')
    metrics_port: Port = Field(default=0, description='Port for metrics; 0 takes any.')
    log_level: LogLevel = Field(default=LogLevel.info, description='Lowest level of log lines.')


class DirectEntrySettings(DirectSettings):
    """Settings of an entry that reaches backend servers directly."""

    role: Literal[Role.entry] = Field(default=Role.entry, description='May be left out.')
    callers: EndpointText = Field(description='Address for requests of callers.')
    readiness: EndpointText = Field(description='Address for checks whether it is ready.')
    directory: EndpointText = Field(description='Address for callers that ask for entries.')
    processors: float = Field(
        default=1, gt=0, description='Processors of the host; larger hosts get more callers.'
    )
    processor_share: float = Field(
        default=1, gt=0, le=1, description='Part of the processors that the process may use.'
    )
    held_answer_kib: int = Field(
        default=256,
        gt=0,
        le=65_536,
        description='What is held of one answer, in KiB, before it is passed on piece by piece.',
    )
    held_answers_mib: int = Field(
        default=32,
        gt=0,
        le=65_536,
        description='What is held of all answers at a time, in MiB; a fraction of the memory.',
    )
    largest_answer_mib: int = Field(
        default=64,
        gt=0,
        le=1_048_576,
        description='Largest answer, in MiB; one without end is cut here.',
    )
    held_bodies_mib: int = Field(
        default=32,
        gt=0,
        le=65_536,
        description='What is held of all bodies of requests at a time, in MiB; one alone, and '
        'those up to 64 KiB, are always read.',
    )
    longest_pause_s: float = Field(
        default=30,
        gt=0,
        le=3600,
        description='Longest time for which a backend server that asks for it gets nothing; '
        'a wrong answer would shut it out for ever otherwise.',
    )
    seeds: tuple[EndpointText, ...] = Field(
        default=(),
        max_length=64,
        description='Entries to greet at first; they may be gone.',
    )

    @property
    def request_buffer_bytes(self) -> int:
        """What is held of all bodies of requests."""
        return self.held_bodies_mib * MIB

    @property
    def response_limits(self) -> ResponseLimits:
        """How much of answers is held, in bytes."""
        return ResponseLimits(
            buffer_bytes=self.held_answer_kib * KIB,
            total_buffer_bytes=self.held_answers_mib * MIB,
            max_response_bytes=self.largest_answer_mib * MIB,
        )


class DirectAgentSettings(DirectSettings):
    """Settings of an agent whose engine is reached directly."""

    role: Literal[Role.agent] = Field(default=Role.agent, description='May be left out.')
    engine: EndpointText = Field(description='Model engine of this host.')
    service: str = Field(description='Service that the engine answers.')
    region_link_mbit_s: float = Field(
        gt=0,
        description='Rate of the link between two regions, in megabits a second.',
    )
    link_mbit_s: float = Field(gt=0, description="Rate of the host's link, in megabits a second.")


__all__ = (
    'BoundSettings',
    'DirectAgentSettings',
    'DirectEntrySettings',
    'DirectSettings',
)
