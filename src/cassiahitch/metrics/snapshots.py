"""Snapshots of the metrics of one process or of several."""

from __future__ import annotations

from dataclasses import dataclass
from functools import reduce
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from cassiahitch.metrics.histograms import Histogram

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


Number = TypeVar('Number', int, float)


class Series(NamedTuple):
    """Time series of a metric with one label; the label may be empty."""

    name: str
    label: str


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Values of the metrics of ``processes`` at one time."""

    processes: tuple[str, ...]
    counters: Mapping[Series, int]
    gauges: Mapping[Series, float]
    latencies: Mapping[Series, Histogram]


EMPTY = Snapshot(processes=(), counters={}, gauges={}, latencies={})


def merge_snapshots(snapshots: Iterable[Snapshot]) -> Snapshot:
    """Merge the snapshots of several processes.

    :param snapshots: one snapshot of each process.
    :return: the sums of the counters and gauges, and the merged histograms.
    """
    return reduce(_merge_two, snapshots, EMPTY)


def _merge_two(left: Snapshot, right: Snapshot) -> Snapshot:
    return Snapshot(
        processes=(*left.processes, *right.processes),
        counters=_add_values(left.counters, right.counters),
        gauges=_add_values(left.gauges, right.gauges),
        latencies=_merge_histograms(left.latencies, right.latencies),
    )


def _add_values(
    left: Mapping[Series, Number],
    right: Mapping[Series, Number],
) -> dict[Series, Number]:
    return {
        series: left.get(series, 0) + right.get(series, 0) for series in left.keys() | right.keys()
    }


def _merge_histograms(
    left: Mapping[Series, Histogram],
    right: Mapping[Series, Histogram],
) -> dict[Series, Histogram]:
    merged = {series: histogram.copy() for series, histogram in left.items()}
    for series, histogram in right.items():
        merged.setdefault(series, Histogram()).merge(histogram)
    return merged


__all__ = (
    'Series',
    'Snapshot',
    'merge_snapshots',
)
