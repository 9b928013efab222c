"""Settings of the roles, validated when a process starts."""

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

MIN_HEARTBEATS_BEFORE_SILENT = 2


class Role(StrEnum):
    """What a process of the system does."""

    entry = 'entry'
    agent = 'agent'


class EngineKind(StrEnum):
    """What the backend server of a host is."""

    model = 'model'
    plain = 'plain'


class LogLevel(StrEnum):
    """Lowest level of the log lines that are written."""

    debug = 'DEBUG'
    info = 'INFO'
    warning = 'WARNING'
    error = 'ERROR'


class SettingsModel(BaseModel):
    """Base of all parts of the settings."""

    model_config = ConfigDict(
        extra='forbid',
        frozen=True,
        populate_by_name=True,
        hide_input_in_errors=True,
    )


class PlatformSettings(SettingsModel):
    """Where the platform's services are."""

    table_service_url: Url = Field(description='Table service.')
    object_store_url: Url = Field(description='Object store.')
    origin_url: Url = Field(description='Origin of weights.')
    host_list_url: Url = Field(description='List of live and leaving hosts.')


class TimeoutSettings(SettingsModel):
    """Periods after which a process acts or gives up, in seconds."""

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
        description='Seconds without a message after which a connection counts as silent.',
    )
    connect_s: float = Field(
        default=2,
        gt=0,
        le=60,
        description='Seconds until an attempt to connect fails.',
    )
    platform_s: float = Field(
        default=3,
        gt=0,
        le=60,
        description='Seconds until a call to the platform fails.',
    )
    engine_s: float = Field(
        default=20,
        gt=0,
        le=600,
        description='Seconds without progress after which a run on the backend server fails.',
    )

    @model_validator(mode='after')
    def check_silence(self) -> Self:
        """Require that a few heartbeats may be lost before a connection counts as silent.

        :return: the settings.
        :raises ValueError: if the period is too short.
        """
        if self.silent_after_s < MIN_HEARTBEATS_BEFORE_SILENT * self.heartbeat_s:
            raise ValueError(
                f'silent_after_s must be at least {MIN_HEARTBEATS_BEFORE_SILENT} heartbeat_s',
            )
        return self


class SizeSettings(SettingsModel):
    """Bounds of what a process reads and keeps."""

    max_body_bytes: int = Field(
        default=1_048_576,
        ge=1024,
        le=67_108_864,
        description='Largest body of a request.',
    )
    max_header_bytes: int = Field(
        default=16_384,
        ge=1024,
        le=1_048_576,
        description='Largest header of a request.',
    )
    max_frame_bytes: int = Field(
        default=4_194_304,
        ge=65_536,
        le=67_108_864,
        description='Largest frame between own processes.',
    )
    request_queue_length: int = Field(
        default=1024,
        ge=1,
        le=100_000,
        description='Requests that may wait in a process.',
    )
    send_queue_length: int = Field(
        default=1024,
        ge=1,
        le=100_000,
        description='Messages that may wait on a connection.',
    )
    timeline_events: int = Field(
        default=8192,
        ge=16,
        le=1_000_000,
        description='Events that the time line of a process keeps.',
    )


class CommonSettings(SettingsModel):
    """Settings that all roles have."""

    name: Name = Field(description='Name of the process, unique among all.')
    host: Name = Field(description='Name of the host, as in the host list.')
    region: Name = Field(description='Region of the host.')
    failure_domain: Name = Field(description='Failure domain of the host.')
    address: Address = Field(description='IP number that other processes connect to.')
    port: Port = Field(default=0, description='Port for own processes; 0 takes any.')
    http_port: Port = Field(default=0, description='Port for HTTP; 0 takes any.')
    system_key: SecretFile = Field(
        validation_alias='system_key_file',
        exclude=True,
        description='File with the secret that all own processes share, 32 to 4096 bytes.',
    )
    entries: tuple[EndpointText, ...] = Field(
        default=(),
        max_length=64,
        description='Entries to connect to at first, each ADDRESS:PORT.',
    )
    platform: PlatformSettings = Field(description='Services of the platform.')
    timeouts: TimeoutSettings = Field(
        default_factory=TimeoutSettings,
        description='Periods.',
    )
    sizes: SizeSettings = Field(default_factory=SizeSettings, description='Bounds.')
    log_level: LogLevel = Field(
        default=LogLevel.info,
        description='Lowest level of log lines.',
    )


class EntrySettings(CommonSettings):
    """Settings of an entry."""

    role: Literal[Role.entry] = Field(default=Role.entry, description='May be left out.')
    operator_token_digests: DigestList = Field(
        default=(),
        description='SHA-256 digests of the tokens of operators: a list, or a file of lines.',
    )
    leave_grace_s: float = Field(
        default=36,
        ge=0,
        le=600,
        description='Seconds for which a leaving entry serves on, the longest address lifetime.',
    )


class AgentSettings(CommonSettings):
    """Settings of an agent."""

    role: Literal[Role.agent] = Field(default=Role.agent, description='May be left out.')
    engine_url: Url = Field(description='Backend server of this host.')
    engine_kind: EngineKind = Field(
        default=EngineKind.model,
        description='Whether it is a model engine or a plain service.',
    )
    service: Name | Literal[''] = Field(
        default='',
        description='Service that a plain backend server answers.',
    )
    checks_fencing_numbers: bool = Field(
        default=False,
        description='Whether the engine refuses an order with an old fencing number.',
    )
    staging_path: Path = Field(
        default=Path('/run/cassiahitch'),
        description='Folder in a memory file system for weights on their way to the engine.',
    )
    staging_bytes: int = Field(
        default=8_589_934_592,
        ge=1_048_576,
        description='Most bytes that the folder may hold.',
    )
    link_bytes_per_s: int = Field(
        default=125_000_000,
        ge=1000,
        description="Rate of the host's link, each way, in bytes a second.",
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
