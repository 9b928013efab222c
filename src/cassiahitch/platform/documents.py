"""Decoders of the platform's JSON documents: table rows, engine reports and manifests."""

from __future__ import annotations

from itertools import pairwise
from operator import attrgetter
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from cassiahitch.codes import Code
from cassiahitch.direct.staging.enginestate import EngineReport
from cassiahitch.direct.staging.layout import ManifestDocument
from cassiahitch.direct.state.layers import NO_LAYERS, LayerRange
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.direct.state.versions import DeclaredVersion
from cassiahitch.errors import PlatformError
from cassiahitch.platform.documentmodels import (
    BoundedTime,
    CamelModel,
    NonNegativeInt32,
    NonNegativeInt64,
    validated,
)
from cassiahitch.util.endpoints import parse_endpoint
from cassiahitch.wire.structs import MAX_INT32

#: Highest accepted pace of an engine; a higher number means a slower engine.
MAX_PACE = 1e6


class _LayerRangeModel(BaseModel):
    """Range of loaded layers, without the layer ``to`` itself."""

    first: NonNegativeInt32 = Field(alias='from')
    end: NonNegativeInt32 = Field(alias='to')
    version: NonNegativeInt32


class _ModelVersionModel(CamelModel):
    name: str
    version: NonNegativeInt32 = 0


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
    seq: NonNegativeInt64
    born: NonNegativeInt64
    cold_ms: BoundedTime
    models: tuple[_ModelVersionModel, ...] = ()
    layers: _LayerRangeModel | tuple[_LayerRangeModel, ...] | None = None


class _VersionModel(CamelModel):
    model: str
    version: NonNegativeInt32


class _ReportModel(CamelModel):
    models: tuple[_ModelVersionModel, ...] = ()
    layers: _LayerRangeModel | tuple[_LayerRangeModel, ...] | None = None
    busy: bool = False
    seq: NonNegativeInt64 = 0
    waiting: NonNegativeInt32 = 0
    running: NonNegativeInt32 = 0
    pace: Annotated[float, Field(ge=0, le=MAX_PACE)] = 1
    born: NonNegativeInt64 = 0


class _ManifestModel(CamelModel):
    model: str
    version: NonNegativeInt32
    chunk_bytes: NonNegativeInt32 | None = None
    layers: NonNegativeInt32 | None = None
    chunk_digests: tuple[str, ...]


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


def decode_replica(replica_id: str, content: bytes) -> Replica:
    """Decode the row of a backend server.

    :param replica_id: key of the row.
    :param content: content of the row, in JSON.
    :return: the replica.
    :raises PlatformError: ``store_row_corrupt``; the replica of such a row cannot be used.
    """
    model = validated(_ReplicaModel, content, Code.store_row_corrupt)
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
    model = validated(_VersionModel, content, Code.store_row_corrupt)
    return DeclaredVersion(model.model, model.version)


def decode_report(content: bytes) -> EngineReport:
    """Decode the state report of an engine.

    :param content: body of the response, in JSON.
    :return: the report.
    :raises PlatformError: ``engine_answer_corrupt``.
    """
    model = validated(_ReportModel, content, Code.engine_answer_corrupt)
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
    model = validated(_ManifestModel, content, Code.manifest_corrupt)
    return ManifestDocument(
        digests=model.chunk_digests,
        model=model.model,
        version=model.version,
        chunk_bytes=model.chunk_bytes,
        layer_count=model.layers,
    )


__all__ = (
    'decode_manifest',
    'decode_replica',
    'decode_report',
    'decode_version',
)
