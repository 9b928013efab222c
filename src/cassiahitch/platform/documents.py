"""Decoders of the platform's JSON documents: table rows, engine reports and manifests."""

from __future__ import annotations

from collections import defaultdict
from itertools import pairwise
from operator import attrgetter
from typing import Annotated, Any, Literal, TypeVar

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
    alias_generators,
)

from cassiahitch.codes import Code
from cassiahitch.direct.staging.enginestate import EngineReport
from cassiahitch.direct.staging.layout import ManifestDocument
from cassiahitch.direct.state import catalogue
from cassiahitch.direct.state.layers import NO_LAYERS, LayerRange
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.direct.state.versions import DeclaredVersion
from cassiahitch.errors import PlatformError
from cassiahitch.platform.names import REPEAT_POLICIES
from cassiahitch.util.endpoints import parse_endpoint
from cassiahitch.wire.structs import MAX_INT32, MAX_INT64

MS_PER_S = 1000
TOKENS_PER_K = 1000
PAIRS_PER_M = 1_000_000

ModelT = TypeVar('ModelT', bound=BaseModel)
#: Longest accepted duration, in milliseconds.
MAX_TIME_MS = 1e12
#: Longest accepted duration in seconds, and highest rate; finite, so that sums stay finite.
MAX_COLD_S = MAX_TIME_MS / MS_PER_S
MAX_RATE_PER_S = 1e9
#: Highest accepted pace of an engine; a higher number means a slower engine.
MAX_PACE = 1e6


def _bounded_time(milliseconds: Any) -> Any:
    """Return a duration within bounds; anything but a number is left for the validation."""
    is_number = isinstance(milliseconds, int | float) and not isinstance(milliseconds, bool)
    return max(0, min(milliseconds, MAX_TIME_MS)) if is_number else milliseconds


_NonNegativeInt64 = Annotated[int, Field(ge=0, le=MAX_INT64)]
_NonNegativeInt32 = Annotated[int, Field(ge=0, le=MAX_INT32)]
_BoundedTime = Annotated[float, BeforeValidator(_bounded_time)]
_PositiveNumber = Annotated[float, Field(gt=0, le=MAX_TIME_MS)]
_PositiveInt32 = Annotated[int, Field(ge=1, le=MAX_INT32)]
_Priority = Annotated[int, Field(ge=-MAX_INT32, le=MAX_INT32)]


class CamelModel(BaseModel):
    """Base of documents with field names in camel case; unknown fields are ignored."""

    model_config = ConfigDict(
        alias_generator=alias_generators.to_camel,
        populate_by_name=True,
        frozen=True,
        hide_input_in_errors=True,
        allow_inf_nan=False,
    )


class _ShareModel(CamelModel):
    service: str
    weight: Annotated[float, Field(ge=0)]


class _RouteModel(CamelModel):
    name: str
    host: str
    prefix: str
    kind: Literal['idempotent', 'non_idempotent', 'streaming']
    timeout_ms: _PositiveNumber
    target_latency_ms: _PositiveNumber = 1000
    priority: _Priority = 0
    service: str = ''
    traffic_split: tuple[_ShareModel, ...] = ()
    max_attempts: _PositiveInt32 = 1
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
    slots: _PositiveInt32
    pass_steps: _PositiveInt32 = Field(default=1, alias='passSteps')
    step_ms: float = 0
    per_seq_ms: float = 0
    context_per_k: float = 0
    read_per_s: _PositiveNumber = 1000
    pairs_per_m: float = 0
    usual: _MeanTokensModel = _MeanTokensModel()
    chunk_bytes: _NonNegativeInt32 = Field(default=0, alias='chunkBytes')
    chunk_count: _NonNegativeInt32 = Field(default=0, alias='chunkCount')
    layers: _NonNegativeInt32 = 0

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
    max_connections: _PositiveInt32 = 64
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
    priority: _Priority | None = None
    allowed_regions: tuple[str, ...] = ()


class _LimitsModel(CamelModel):
    max_header_bytes: _NonNegativeInt64 = 65_536
    max_body_bytes: _NonNegativeInt64 = 16_777_216
    idle_timeout_ms: _PositiveNumber = 60_000
    header_timeout_ms: _PositiveNumber = 60_000


class _ConfigurationModel(CamelModel):
    version: _NonNegativeInt64
    routes: tuple[_RouteModel, ...]
    services: tuple[_ServiceModel, ...]
    tenants: tuple[_OrganisationModel, ...] = ()
    limits: _LimitsModel = _LimitsModel()


class _LayerRangeModel(BaseModel):
    """Range of loaded layers, without the layer ``to`` itself."""

    first: _NonNegativeInt32 = Field(alias='from')
    end: _NonNegativeInt32 = Field(alias='to')
    version: _NonNegativeInt32


class _ModelVersionModel(CamelModel):
    name: str
    version: _NonNegativeInt32 = 0


class _ReplicaModel(CamelModel):
    """A row that a replica wrote itself, which has all of these fields.

    Other writers may leave rows that lack some, or have others in their place; conversions such as
    that of text to a number would accept them.
    """

    model_config = ConfigDict(strict=True)

    service: str
    address: str
    zone: str
    version: str
    state: Literal['ready', 'draining']
    slots: Annotated[int, Field(le=MAX_INT32)]
    seq: _NonNegativeInt64
    born: _NonNegativeInt64
    cold_ms: _BoundedTime
    models: tuple[_ModelVersionModel, ...] = ()
    layers: _LayerRangeModel | tuple[_LayerRangeModel, ...] | None = None


class _VersionModel(CamelModel):
    model: str
    version: _NonNegativeInt32


class _ReportModel(CamelModel):
    models: tuple[_ModelVersionModel, ...] = ()
    layers: _LayerRangeModel | tuple[_LayerRangeModel, ...] | None = None
    busy: bool = False
    seq: _NonNegativeInt64 = 0
    waiting: _NonNegativeInt32 = 0
    running: _NonNegativeInt32 = 0
    pace: Annotated[float, Field(ge=0, le=MAX_PACE)] = 1
    born: _NonNegativeInt64 = 0


class _ManifestModel(CamelModel):
    model: str
    version: _NonNegativeInt32
    chunk_bytes: _NonNegativeInt32 | None = None
    layers: _NonNegativeInt32 | None = None
    chunk_digests: tuple[str, ...]


def _validated(model: type[ModelT], content: bytes, code: Code) -> ModelT:
    try:
        return model.model_validate_json(content)
    except ValidationError as error:
        first_error = error.errors(include_url=False, include_input=False)[0]
        path = '.'.join(str(part) for part in first_error['loc'])
        raise PlatformError(code, f'{path}: {first_error["msg"]}') from error


def _loaded_weights(
    models: tuple[_ModelVersionModel, ...],
    layers: _LayerRangeModel | tuple[_LayerRangeModel, ...] | None,
) -> tuple[tuple[str, int], ...]:
    ranges = (layers,) if isinstance(layers, _LayerRangeModel) else layers
    if ranges is not None and not any(
        layer_range.end > layer_range.first for layer_range in ranges
    ):
        return ()
    return tuple((model.name, model.version) for model in models if model.version)


def _loaded_layers(
    models: tuple[_ModelVersionModel, ...],
    layers: _LayerRangeModel | tuple[_LayerRangeModel, ...] | None,
) -> LayerRange | None:
    """Return the loaded layers, None if none are reported.

    Ranges with a gap, or not all of the version that is reported as loaded, are no whole model: the
    result is empty then.
    """
    ranges = (layers,) if isinstance(layers, _LayerRangeModel) else layers
    if not ranges:
        return None
    ordered = sorted(ranges, key=attrgetter('first'))
    versions = {layer_range.version for layer_range in ordered}
    is_gapless = all(before.end == after.first for before, after in pairwise(ordered))
    is_one_version = len(versions) == 1 and versions <= {model.version for model in models}
    if is_gapless and is_one_version:
        return LayerRange(ordered[0].first, ordered[-1].end)
    return NO_LAYERS


def decode_catalogue(content: bytes) -> catalogue.Catalogue:
    """Decode the operator's configuration.

    :param content: content of the row, in JSON.
    :return: the configuration.
    :raises PlatformError: ``configuration_row_corrupt``.
    """
    model = _validated(_ConfigurationModel, content, Code.configuration_row_corrupt)
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


def decode_replica(replica_id: str, content: bytes) -> Replica:
    """Decode the row of a backend server.

    :param replica_id: key of the row.
    :param content: content of the row, in JSON.
    :return: the replica.
    :raises PlatformError: ``store_row_corrupt``; the replica of such a row cannot be used.
    """
    model = _validated(_ReplicaModel, content, Code.store_row_corrupt)
    try:
        endpoint = parse_endpoint(model.address)
    except ValueError as error:
        raise PlatformError(Code.store_row_corrupt, f'address: {error}') from error
    return Replica(
        id=replica_id,
        service=model.service,
        endpoint=endpoint,
        failure_domain=model.zone,
        slots=max(model.slots, 1),
        draining=model.state == 'draining',
        born_ms=model.born,
        weights=_loaded_weights(model.models, model.layers),
        layers=_loaded_layers(model.models, model.layers),
        cold_ms=model.cold_ms,
    )


def decode_version(content: bytes) -> DeclaredVersion:
    """Decode a declared version of weights.

    :param content: content of the row, in JSON.
    :return: the version.
    :raises PlatformError: ``store_row_corrupt``.
    """
    model = _validated(_VersionModel, content, Code.store_row_corrupt)
    return DeclaredVersion(model.model, model.version)


def decode_report(content: bytes) -> EngineReport:
    """Decode the state report of an engine.

    :param content: body of the response, in JSON.
    :return: the report.
    :raises PlatformError: ``engine_answer_corrupt``.
    """
    model = _validated(_ReportModel, content, Code.engine_answer_corrupt)
    return EngineReport(
        weights=_loaded_weights(model.models, model.layers),
        layers=_loaded_layers(model.models, model.layers),
        loading=model.busy,
        load_orders=model.seq,
        waiting=model.waiting,
        running=model.running,
        pace=model.pace,
        born_ms=model.born,
    )


def decode_manifest(content: bytes) -> ManifestDocument:
    """Decode the manifest of a version of weights.

    :param content: body of the response, in JSON.
    :return: the manifest, not yet compared with the configuration.
    :raises PlatformError: ``manifest_corrupt``.
    """
    model = _validated(_ManifestModel, content, Code.manifest_corrupt)
    return ManifestDocument(
        digests=model.chunk_digests,
        model=model.model,
        version=model.version,
        chunk_bytes=model.chunk_bytes,
        layer_count=model.layers,
    )


__all__ = (
    'decode_catalogue',
    'decode_manifest',
    'decode_replica',
    'decode_report',
    'decode_version',
)
