"""JSON and text forms of metrics."""

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

SeriesText = Annotated[str, Field(pattern=r'^[a-z0-9_]{1,64}$')]
LabelText = Annotated[str, Field(max_length=256)]


class CounterModel(BaseModel):
    """A counter in JSON."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: SeriesText
    label: LabelText = ''
    value: int = Field(ge=0)


class GaugeModel(BaseModel):
    """A gauge in JSON."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: SeriesText
    label: LabelText = ''
    value: float = Field(allow_inf_nan=False)


class LatencyModel(BaseModel):
    """A latency in JSON, as the HdrHistogram library compresses it."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: SeriesText
    label: LabelText = ''
    histogram: str = Field(max_length=MAX_ENCODED_LENGTH)


class SnapshotModel(BaseModel):
    """A snapshot in JSON."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    processes: tuple[LabelText, ...] = Field(default=(), max_length=MAX_PROCESSES)
    counters: tuple[CounterModel, ...] = Field(default=(), max_length=MAX_SERIES)
    gauges: tuple[GaugeModel, ...] = Field(default=(), max_length=MAX_SERIES)
    latencies: tuple[LatencyModel, ...] = Field(default=(), max_length=MAX_SERIES)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Write a snapshot as JSON.

    :param snapshot: the snapshot.
    :return: UTF-8 text.
    """
    model = SnapshotModel(
        processes=snapshot.processes,
        counters=tuple(
            CounterModel(name=series.name, label=series.label, value=count)
            for series, count in sorted(snapshot.counters.items())
        ),
        gauges=tuple(
            GaugeModel(name=series.name, label=series.label, value=measured)
            for series, measured in sorted(snapshot.gauges.items())
        ),
        latencies=tuple(
            LatencyModel(name=series.name, label=series.label, histogram=histogram.encode())
            for series, histogram in _by_series(snapshot.latencies)
        ),
    )
    return model.model_dump_json().encode()


def decode_snapshot(document: bytes) -> Snapshot:
    """Read a snapshot from JSON.

    :param document: UTF-8 text.
    :return: the snapshot.
    :raises CassiahitchError: ``answer_corrupt`` if it is not a snapshot.
    """
    try:
        return _from_model(SnapshotModel.model_validate_json(document))
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        path = '.'.join(str(part) for part in first['loc']) or '(top)'
        raise CassiahitchError(Code.answer_corrupt, f'metrics: {path}: {first["msg"]}') from None
    except ValueError as error:
        raise CassiahitchError(Code.answer_corrupt, f'metrics: {error}') from None


def metrics_table(snapshot: Snapshot) -> Table:
    """Lay out a snapshot as a table, one series on each line.

    :param snapshot: the snapshot.
    :return: the table; durations are in milliseconds.
    """
    table = Table('metric', 'label', 'value', 'p50 ms', 'p95 ms', 'p99 ms', 'max ms')
    for series, count in sorted(snapshot.counters.items()):
        table.add_row(series.name, _plain(series.label), str(count))
    for series, measured in sorted(snapshot.gauges.items()):
        table.add_row(series.name, _plain(series.label), f'{measured:g}')
    for series, histogram in _by_series(snapshot.latencies):
        table.add_row(f'{series.name}_latency', _plain(series.label), *_latency_cells(histogram))
    return table


def _plain(label: str) -> Text:
    return Text(Text.from_ansi(label).plain)


def _latency_cells(histogram: Histogram) -> tuple[str, ...]:
    summary = histogram.summary()
    durations = (summary.p50_s, summary.p95_s, summary.p99_s, summary.max_s)
    return (str(summary.count), *(f'{seconds * MS_PER_S:.3f}' for seconds in durations))


def _by_series(latencies: Mapping[Series, Histogram]) -> list[tuple[Series, Histogram]]:
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
