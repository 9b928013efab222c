"""Models of the settings of the roles, which are validated when a process starts."""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path
from typing import Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from cassiahitch.resources.models import Name
from cassiahitch.settings.fields import (
    Address,
    DigestList,
    EndpointText,
    Port,
    SecretFile,
    Url,
)

#: Minimum ratio of silent_after_s to heartbeat_s, so that one heartbeat may be lost.
MIN_SILENT_HEARTBEATS = 2


class Role(StrEnum):
    """Role of a process of the system."""

    entry = 'entry'
    agent = 'agent'


class EngineKind(StrEnum):
    """Kind of the backend server on a host."""

    model = 'model'
    plain = 'plain'


class LogLevel(StrEnum):
    """Lowest level of the log lines that are written."""

    debug = 'DEBUG'
    info = 'INFO'
    warning = 'WARNING'
    error = 'ERROR'


class SettingsModel(BaseModel):
    """Base class of the models of settings; unknown keys are refused."""

    model_config = ConfigDict(
        extra='forbid',
        frozen=True,
        populate_by_name=True,
        hide_input_in_errors=True,
    )


class PlatformSettings(SettingsModel):
    """URLs of the platform's services."""

    table_service_url: Url = Field(description='URL of the table service.')
    object_store_url: Url = Field(description='URL of the object store.')
    origin_url: Url = Field(description='URL of the weight origin.')
    host_list_url: Url = Field(
        description='URL of the list of live hosts and of those that are being removed.'
    )


class TimeoutSettings(SettingsModel):
    """Intervals and timeouts of a process, in seconds."""

    heartbeat_s: float = Field(
        default=1,
        ge=0.05,
        le=60,
        description='Seconds between heartbeats on a connection.',
    )
    silent_after_s: float = Field(
        default=4,
        ge=0.1,
        le=600,
        description='Seconds without a message after which a connection is considered lost.',
    )
    connect_s: float = Field(
        default=2,
        gt=0,
        le=60,
        description='Timeout of a connection attempt, in seconds.',
    )
    platform_s: float = Field(
        default=3,
        gt=0,
        le=60,
        description='Timeout of a call to the platform, in seconds.',
    )
    engine_s: float = Field(
        default=20,
        gt=0,
        le=600,
        description='Seconds without progress after which a request at the backend server fails.',
    )

    @model_validator(mode='after')
    def check_silent_after(self) -> Self:
        """Require that a connection survives the loss of a heartbeat.

        :return: the settings.
        :raises ValueError: if ``silent_after_s`` is too short.
        """
        if self.silent_after_s < MIN_SILENT_HEARTBEATS * self.heartbeat_s:
            raise ValueError(
                f'silent_after_s must be at least {MIN_SILENT_HEARTBEATS} times heartbeat_s',
            )
        return self


class SizeSettings(SettingsModel):
    """Maximum sizes of messages, queues and buffers of a process."""

    max_body_bytes: int = Field(
        default=1_048_576,
        ge=1024,
        le=67_108_864,
        description='Maximum size of a request body.',
    )
    max_header_bytes: int = Field(
        default=16_384,
        ge=1024,
        le=1_048_576,
        description='Maximum size of the headers of a request.',
    )
    max_frame_bytes: int = Field(
        default=4_194_304,
        ge=65_536,
        le=67_108_864,
        description='Maximum size of a frame between processes of the system.',
    )
    request_queue_length: int = Field(
        default=1024,
        ge=1,
        le=100_000,
        description='Maximum number of requests that are queued in a process.',
    )
    send_queue_length: int = Field(
        default=1024,
        ge=1,
        le=100_000,
        description='Maximum number of messages that are queued on a connection.',
    )
    timeline_events: int = Field(
        default=8192,
        ge=16,
        le=1_000_000,
        description='Number of events that the time line of a process keeps.',
    )


class CommonSettings(SettingsModel):
    """Settings that all roles have in common."""

    name: Name = Field(description='Unique name of the process.')
    host: Name = Field(description='Name of the host, as in the host list.')
    region: Name = Field(description='Region of the host.')
    failure_domain: Name = Field(description='Failure domain of the host.')
    address: Address = Field(description='IP address that other processes connect to.')
    port: Port = Field(
        default=0, description='Port for the processes of the system; 0 selects any free port.'
    )
    http_port: Port = Field(default=0, description='Port for HTTP; 0 selects any free port.')
    system_key: SecretFile = Field(
        validation_alias='system_key_file',
        exclude=True,
        description='File with the shared secret of the processes of the system, 32 to 4096 bytes.',
    )
    entries: tuple[EndpointText, ...] = Field(
        default=(),
        max_length=64,
        description='Entries to connect to at the start, each as ADDRESS:PORT.',
    )
    platform: PlatformSettings = Field(description='URLs of the services of the platform.')
    timeouts: TimeoutSettings = Field(
        default_factory=TimeoutSettings,
        description='Periods.',
    )
    sizes: SizeSettings = Field(default_factory=SizeSettings, description='Bounds.')
    log_level: LogLevel = Field(
        default=LogLevel.info,
        description='Lowest level of the log lines that are written.',
    )


class EntrySettings(CommonSettings):
    """Settings of an entry."""

    role: Literal[Role.entry] = Field(
        default=Role.entry, description='Role of the process; may be omitted.'
    )
    operator_token_digests: DigestList = Field(
        default=(),
        description='SHA-256 digests of operator tokens: a list, or a file with one on each line.',
    )
    leave_grace_s: float = Field(
        default=36,
        ge=0,
        le=600,
        description='Seconds for which a stopping entry still serves requests; at least the '
        'maximum lifetime of a list of addresses.',
    )


class AgentSettings(CommonSettings):
    """Settings of an agent."""

    role: Literal[Role.agent] = Field(
        default=Role.agent, description='Role of the process; may be omitted.'
    )
    engine_url: Url = Field(description='URL of the backend server on this host.')
    engine_kind: EngineKind = Field(
        default=EngineKind.model,
        description='Whether the backend server is a model engine or a plain service.',
    )
    service: Name | Literal[''] = Field(
        default='',
        description='Service that a plain backend server serves.',
    )
    checks_fencing_numbers: bool = Field(
        default=False,
        description='Whether the engine refuses a load with an outdated fencing number.',
    )
    staging_path: Path = Field(
        default=Path('/run/cassiahitch'),
        description='Folder in a memory file system where weights are staged for the engine.',
    )
    staging_bytes: int = Field(
        default=8_589_934_592,
        ge=1_048_576,
        description='Maximum size of the staging folder, in bytes.',
    )
    link_bytes_per_s: int = Field(
        default=125_000_000,
        ge=1000,
        description="Bandwidth of the host's link in each direction, in bytes per second.",
    )


__all__ = (
    'AgentSettings',
    'CommonSettings',
    'EngineKind',
    'EntrySettings',
    'LogLevel',
    'PlatformSettings',
    'Role',
    'SettingsModel',
    'SizeSettings',
    'TimeoutSettings',
)
