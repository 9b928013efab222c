"""Settings of the roles that connect to backend servers directly."""

from __future__ import annotations

import os
import resource
from typing import ClassVar, Literal

from pydantic import Field

from cassiahitch.resources.models import Name
from cassiahitch.settings.fields import Address, EndpointText, Port
from cassiahitch.settings.limits import KIB, MIB, ResponseLimits
from cassiahitch.settings.models import LogLevel, Role, SettingsModel

#: Largest fraction of the memory that responses may use before they are forwarded.
RESPONSE_MEMORY_SHARE = 0.125
#: Descriptors that are assumed if the process has no limit on them.
UNLIMITED_DESCRIPTORS = 1_048_576
#: Fraction of the descriptors of a process that connections to its HTTP ports may use.
CONNECTION_DESCRIPTOR_SHARE = 0.75


class BoundSettings(SettingsModel):
    """Limits that the deployment guarantees or requires."""

    drain_s: float = Field(
        gt=0, description='Seconds after which a draining replica receives no new request.'
    )
    configuration_s: float = Field(
        gt=0, description='Seconds after which a changed configuration is in force.'
    )
    revoked_key_s: float = Field(gt=0, description='Seconds after which a revoked key is refused.')
    weights_s: float = Field(
        gt=0, description='Seconds after which new weights have replaced older ones.'
    )
    grace_s: float = Field(
        gt=0, description='Seconds after which a process that was asked to stop is killed.'
    )
    address_lifetime_s: float = Field(
        gt=0, description='Maximum lifetime of a list of addresses, in seconds.'
    )
    retry_ratio: float = Field(ge=0, description='Retries that a service may use per request.')
    retry_slack: float = Field(
        ge=0, description='Retries that a service may use on top of retry_ratio.'
    )
    retry_window_s: float = Field(
        gt=0, description='Seconds for which retries and requests are counted.'
    )


class DirectSettings(SettingsModel):
    """Settings that both roles have in common."""

    name: Name = Field(description='Unique name of the process.')
    address: Address = Field(description='IP address that other processes connect to.')
    region: Name = Field(description='Region of the host.')
    failure_domain: Name = Field(description='Failure domain of the host.')
    regions: dict[str, str] = Field(description='Region of each failure domain.')
    peer_port: Port = Field(
        description='Port for the processes of the system, the same on all hosts.'
    )
    store: EndpointText = Field(description='Table store of the platform.')
    bounds: BoundSettings = Field(description='Limits of the deployment.')
    metrics_port: Port = Field(default=0, description='Port for metrics; 0 selects any free port.')
    memory_mib: float | None = Field(
        default=None,
        gt=0,
        description='Memory of the host that the process may use, in MiB; by default the physical '
        'memory of the machine.',
    )
    max_descriptors: int | None = Field(
        default=None,
        ge=64,
        description='Maximum number of open file descriptors of the process; by default its '
        'resource limit.',
    )
    connection_memory_mib: float | None = Field(
        default=None,
        gt=0,
        description='MiB that are held for all connections to the HTTP ports together; by default '
        'a quarter of memory_mib at an entry and a sixteenth at an agent.',
    )
    log_level: LogLevel = Field(
        default=LogLevel.info, description='Lowest level of the log lines that are written.'
    )

    #: Fraction of the memory that is held for connections unless the settings name it.
    connection_memory_share: ClassVar[float]

    @property
    def connection_bytes(self) -> int:
        """Maximum number of bytes that are held for all connections."""
        if self.connection_memory_mib is not None:
            return round(self.connection_memory_mib * MIB)
        return round(self.connection_memory_share * self.memory_bytes)

    @property
    def memory_bytes(self) -> float:
        """Memory of the host that the process may use, in bytes."""
        if self.memory_mib is not None:
            return self.memory_mib * MIB
        return os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')

    @property
    def max_connections(self) -> int:
        """Maximum number of open connections to all HTTP ports; the rest is for other sockets."""
        descriptors = self.max_descriptors
        if descriptors is None:
            descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors == resource.RLIM_INFINITY:
            descriptors = UNLIMITED_DESCRIPTORS
        return int(CONNECTION_DESCRIPTOR_SHARE * descriptors)


class DirectEntrySettings(DirectSettings):
    """Settings of an entry that connects to backend servers directly."""

    connection_memory_share = 0.25

    role: Literal[Role.entry] = Field(
        default=Role.entry, description='Role of the process; may be omitted.'
    )
    callers: EndpointText = Field(description='Endpoint for the requests of callers.')
    readiness: EndpointText = Field(description='Endpoint for readiness checks.')
    directory: EndpointText = Field(
        description='Endpoint that returns the addresses of entries to callers.'
    )
    processors: float = Field(
        default=1,
        gt=0,
        description='Number of processors of the host; callers prefer larger hosts.',
    )
    processor_share: float = Field(
        default=1, gt=0, le=1, description='Fraction of the processors that the process may use.'
    )
    held_answer_kib: int = Field(
        default=256,
        gt=0,
        le=65_536,
        description='KiB that are buffered of one response before it is forwarded in parts.',
    )
    held_answers_mib: int = Field(
        default=32,
        gt=0,
        le=65_536,
        description='MiB that are buffered of all responses together, at most an eighth of '
        'memory_mib.',
    )
    largest_answer_mib: int = Field(
        default=64,
        gt=0,
        le=1_048_576,
        description='Maximum size of a response, in MiB; an endless response is cut off here.',
    )
    held_bodies_mib: int = Field(
        default=32,
        gt=0,
        le=65_536,
        description='MiB that are buffered of all request bodies together; a single body, and '
        'bodies of up to 64 KiB, are always read.',
    )
    longest_pause_s: float = Field(
        default=600,
        gt=0,
        le=3600,
        description='Maximum pause, in seconds, that a backend server can request; a longer one '
        'is taken for a mistake and cut, since it would exclude the server forever.',
    )
    place_by_cost: bool = Field(
        default=False,
        description='Whether requests are placed by the work that they and those in progress are '
        'expected to cost, as learned from completed ones, instead of by the number of requests.',
    )
    seeds: tuple[EndpointText, ...] = Field(
        default=(),
        max_length=64,
        description='Entries to contact at the start; some may no longer exist.',
    )

    @property
    def request_buffer_bytes(self) -> int:
        """Maximum number of bytes that are buffered of all request bodies."""
        return self.held_bodies_mib * MIB

    @property
    def response_limits(self) -> ResponseLimits:
        """Limits of the responses that are forwarded, in bytes."""
        return ResponseLimits(
            buffer_bytes=self.held_answer_kib * KIB,
            total_buffer_bytes=min(
                self.held_answers_mib * MIB, round(RESPONSE_MEMORY_SHARE * self.memory_bytes)
            ),
            max_response_bytes=self.largest_answer_mib * MIB,
        )


class DirectAgentSettings(DirectSettings):
    """Settings of an agent whose engine receives requests directly from entries."""

    connection_memory_share = 0.0625

    role: Literal[Role.agent] = Field(
        default=Role.agent, description='Role of the process; may be omitted.'
    )
    engine: EndpointText = Field(description='Endpoint of the engine on this host.')
    service: str = Field(description='Service that the engine serves.')
    region_link_mbit_s: float = Field(
        gt=0,
        description='Bandwidth of the link between two regions, in megabits per second.',
    )
    link_mbit_s: float = Field(
        gt=0, description="Bandwidth of the host's link, in megabits per second."
    )


__all__ = (
    'BoundSettings',
    'DirectAgentSettings',
    'DirectEntrySettings',
    'DirectSettings',
)
