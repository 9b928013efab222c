"""Decoder of the operator's configuration."""

from __future__ import annotations

from collections import defaultdict
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from cassiahitch.codes import Code
from cassiahitch.direct.state import catalogue
from cassiahitch.platform.documentmodels import (
    MAX_TIME_MS,
    CamelModel,
    NonNegativeInt32,
    NonNegativeInt64,
    PositiveInt32,
    PositiveNumber,
    Priority,
    validated,
)
from cassiahitch.platform.names import REPEAT_POLICIES

MS_PER_S = 1000
TOKENS_PER_K = 1000
PAIRS_PER_M = 1_000_000

#: Longest accepted duration in seconds, and highest rate; finite, so that sums stay finite.
MAX_COLD_S = MAX_TIME_MS / MS_PER_S
MAX_RATE_PER_S = 1e9


class _ShareModel(CamelModel):
    service: str
    weight: Annotated[float, Field(ge=0)]


class _RouteModel(CamelModel):
    name: str
    host: str
    prefix: str
    kind: Literal['idempotent', 'non_idempotent', 'streaming']
    timeout_ms: PositiveNumber
    target_latency_ms: PositiveNumber = 1000
    priority: Priority = 0
    service: str = ''
    traffic_split: tuple[_ShareModel, ...] = ()
    max_attempts: PositiveInt32 = 1
    public: bool = False
    stream_resume: bool = False
    gap_aim_ms: float = 0
    allowed_regions: tuple[str, ...] = ()

    def decoded(self) -> catalogue.Route:
        """Convert the document to a route."""
        split = self.traffic_split or (_ShareModel(service=self.service, weight=1),)
        return catalogue.Route(
            name=self.name,
            host=self.host.lower(),
            prefix=self.prefix,
            repeat_policy=catalogue.RepeatPolicy(REPEAT_POLICIES[self.kind]),
            timeout_s=self.timeout_ms / MS_PER_S,
            objective_s=self.target_latency_ms / MS_PER_S,
            priority=self.priority,
            shares=tuple(catalogue.ServiceShare(share.service, share.weight) for share in split),
            max_attempts=self.max_attempts,
            public=self.public,
            resumable=self.stream_resume,
            max_event_gap_s=self.gap_aim_ms / MS_PER_S,
            allowed_regions=frozenset(self.allowed_regions),
        )


class _MeanTokensModel(CamelModel):
    prompt: float = 1000
    answer: float = 100


class _ModelNameModel(CamelModel):
    name: str


class _EngineModel(BaseModel):
    """Speed of an engine; some of the field names are in snake case."""

    model_config = ConfigDict(frozen=True, populate_by_name=True, allow_inf_nan=False)

    models: tuple[_ModelNameModel, ...] = Field(min_length=1)
    slots: PositiveInt32
    pass_steps: PositiveInt32 = Field(default=1, alias='passSteps')
    step_ms: float = 0
    per_seq_ms: float = 0
    context_per_k: float = 0
    read_per_s: PositiveNumber = 1000
    pairs_per_m: float = 0
    usual: _MeanTokensModel = _MeanTokensModel()
    chunk_bytes: NonNegativeInt32 = Field(default=0, alias='chunkBytes')
    chunk_count: NonNegativeInt32 = Field(default=0, alias='chunkCount')
    layers: NonNegativeInt32 = 0

    def decoded(self) -> catalogue.Engine:
        """Convert the document to the speed of an engine."""
        return catalogue.Engine(
            model=self.models[0].name,
            slots=self.slots,
            pass_steps=self.pass_steps,
            step_s=self.step_ms / MS_PER_S,
            step_s_per_sequence=self.per_seq_ms / MS_PER_S,
            step_s_per_context_token=self.context_per_k / MS_PER_S / TOKENS_PER_K,
            prefill_tokens_per_s=self.read_per_s,
            attention_pair_s=self.pairs_per_m / MS_PER_S / PAIRS_PER_M,
            mean_prompt_tokens=self.usual.prompt,
            mean_output_tokens=self.usual.answer,
            chunk_bytes=self.chunk_bytes,
            chunk_count=self.chunk_count,
            layers=self.layers,
        )


class _ServiceModel(CamelModel):
    name: str
    max_connections: PositiveInt32 = 64
    engine: _EngineModel | None = None
    origin: str = ''
    zone: str = ''
    link_mbps: Annotated[float, Field(ge=0)] = 0
    cold_s: Annotated[float, Field(ge=0, le=MAX_COLD_S)] = 0
    cold_per_s: Annotated[float, Field(ge=0, le=MAX_RATE_PER_S)] = 0

    def decoded(self) -> catalogue.Service:
        """Convert the document to a service."""
        engine = self.engine.decoded() if self.engine else None
        return catalogue.Service(
            self.name,
            self.max_connections,
            engine,
            self.origin,
            self.zone,
            self.link_mbps,
            self.cold_s,
            self.cold_per_s,
        )


class _OrganisationModel(CamelModel):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: Priority | None = None
    allowed_regions: tuple[str, ...] = ()


class _LimitsModel(CamelModel):
    max_header_bytes: NonNegativeInt64 = 65_536
    max_body_bytes: NonNegativeInt64 = 16_777_216
    idle_timeout_ms: PositiveNumber = 60_000
    header_timeout_ms: PositiveNumber = 60_000


class _ConfigurationModel(CamelModel):
    version: NonNegativeInt64
    routes: tuple[_RouteModel, ...]
    services: tuple[_ServiceModel, ...]
    tenants: tuple[_OrganisationModel, ...] = ()
    limits: _LimitsModel = _LimitsModel()


def decode_catalogue(content: bytes) -> catalogue.Catalogue:
    """Decode the operator's configuration.

    :param content: content of the row, in JSON.
    :return: the configuration.
    :raises PlatformError: ``configuration_row_corrupt``.
    """
    model = validated(_ConfigurationModel, content, Code.configuration_row_corrupt)
    requires_keys = 'tenants' in model.model_fields_set
    return catalogue.Catalogue(
        version=model.version,
        routes=tuple(route.decoded() for route in model.routes),
        services={service.name: service.decoded() for service in model.services},
        organisations=_organisations(model.tenants) if requires_keys else None,
        limits=catalogue.CallerLimits(
            model.limits.max_header_bytes,
            model.limits.max_body_bytes,
            model.limits.idle_timeout_ms / MS_PER_S,
            model.limits.header_timeout_ms / MS_PER_S,
        ),
    )


def _organisations(
    tenants: tuple[_OrganisationModel, ...],
) -> dict[str, catalogue.Organisation]:
    """Return the organisations by API key.

    An empty key would admit callers without a key, and a key of two organisations does not say
    whose requests they are: neither is accepted.
    """
    owners: defaultdict[str, set[str]] = defaultdict(set)
    for owner in tenants:
        for owned_key in owner.api_keys:
            owners[owned_key].add(owner.name)
    return {
        key: catalogue.Organisation(tenant.name, tenant.priority, frozenset(tenant.allowed_regions))
        for tenant in tenants
        for key in tenant.api_keys
        if key and len(owners[key]) == 1
    }


__all__ = ('decode_catalogue',)
