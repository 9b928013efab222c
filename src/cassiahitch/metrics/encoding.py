"""Encoding of metrics snapshots as JSON, and their table for the terminal."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from rich.table import Table
from rich.text import Text

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.metrics.histograms import MAX_ENCODED_LENGTH, Histogram
from cassiahitch.metrics.snapshots import Series, Snapshot

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_SERIES = 8192
MAX_PROCESSES = 65_536
MS_PER_S = 1000

SeriesName = Annotated[str, Field(pattern=r'^[a-z0-9_]{1,64}$')]
LabelValue = Annotated[str, Field(max_length=256)]


class CounterModel(BaseModel):
    """JSON document of a counter."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: SeriesName
    label: LabelValue = ''
    value: int = Field(ge=0)


class GaugeModel(BaseModel):
    """JSON document of a gauge."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: SeriesName
    label: LabelValue = ''
    value: float = Field(allow_inf_nan=False)


class LatencyModel(BaseModel):
    """JSON document of a latency; the histogram is compressed by the HdrHistogram library."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: SeriesName
    label: LabelValue = ''
    histogram: str = Field(max_length=MAX_ENCODED_LENGTH)


class SnapshotModel(BaseModel):
    """JSON document of a snapshot."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    processes: tuple[LabelValue, ...] = Field(default=(), max_length=MAX_PROCESSES)
    counters: tuple[CounterModel, ...] = Field(default=(), max_length=MAX_SERIES)
    gauges: tuple[GaugeModel, ...] = Field(default=(), max_length=MAX_SERIES)
    latencies: tuple[LatencyModel, ...] = Field(default=(), max_length=MAX_SERIES)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot as JSON.

    :param snapshot: the snapshot.
    :return: JSON in UTF-8.
    """
    model = SnapshotModel(
        processes=snapshot.processes,
        counters=tuple(
            CounterModel(name=series.name, label=series.label, value=count)
            for series, count in sorted(snapshot.counters.items())
        ),
        gauges=tuple(
            GaugeModel(name=series.name, label=series.label, value=gauge_value)
            for series, gauge_value in sorted(snapshot.gauges.items())
        ),
        latencies=tuple(
            LatencyModel(name=series.name, label=series.label, histogram=histogram.encode())
            for series, histogram in _sorted_by_series(snapshot.latencies)
        ),
    )
    return model.model_dump_json().encode()


def decode_snapshot(document: bytes) -> Snapshot:
    """Decode a snapshot from JSON.

    :param document: JSON in UTF-8.
    :return: the snapshot.
    :raises CassiahitchError: ``answer_corrupt`` if the document is not a valid snapshot.
    """
    try:
        return _from_model(SnapshotModel.model_validate_json(document))
    except ValidationError as error:
        first_error = error.errors(include_url=False, include_input=False)[0]
        path = '.'.join(str(part) for part in first_error['loc']) or '(top)'
        raise CassiahitchError(
            Code.answer_corrupt, f'metrics: {path}: {first_error["msg"]}'
        ) from None
    except ValueError as error:
        raise CassiahitchError(Code.answer_corrupt, f'metrics: {error}') from None


def metrics_table(snapshot: Snapshot) -> Table:
    """Return a table with one row for each series of a snapshot.

    :param snapshot: the snapshot.
    :return: the table; durations are in milliseconds.
    """
    table = Table('metric', 'label', 'value', 'p50 ms', 'p95 ms', 'p99 ms', 'max ms')
    for series, count in sorted(snapshot.counters.items()):
        table.add_row(series.name, _without_escapes(series.label), str(count))
    for series, gauge_value in sorted(snapshot.gauges.items()):
        table.add_row(series.name, _without_escapes(series.label), f'{gauge_value:g}')
    for series, histogram in _sorted_by_series(snapshot.latencies):
        table.add_row(
            f'{series.name}_latency', _without_escapes(series.label), *_latency_cells(histogram)
        )
    return table


def _without_escapes(label: str) -> Text:
    return Text(Text.from_ansi(label).plain)


def _latency_cells(histogram: Histogram) -> tuple[str, ...]:
    summary = histogram.summary()
    durations = (summary.p50_s, summary.p95_s, summary.p99_s, summary.max_s)
    return (str(summary.count), *(f'{seconds * MS_PER_S:.3f}' for seconds in durations))


def _sorted_by_series(latencies: Mapping[Series, Histogram]) -> list[tuple[Series, Histogram]]:
    return sorted(latencies.items(), key=lambda pair: pair[0])


def _from_model(model: SnapshotModel) -> Snapshot:
    return Snapshot(
        processes=model.processes,
        counters=dict((Series(entry.name, entry.label), entry.value) for entry in model.counters),
        gauges=dict((Series(entry.name, entry.label), entry.value) for entry in model.gauges),
        latencies=dict(
            (Series(entry.name, entry.label), Histogram.decode(entry.histogram))
            for entry in model.latencies
        ),
    )


__all__ = (
    'decode_snapshot',
    'encode_snapshot',
    'metrics_table',
)
