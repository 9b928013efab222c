"""Values of metrics at one moment, of one process or of many."""

from __future__ import annotations

from dataclasses import dataclass
from functools import reduce
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from cassiahitch.metrics.histograms import Histogram

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


Number = TypeVar('Number', int, float)


class Series(NamedTuple):
    """A metric, or the part of it that has one label."""

    name: str
    label: str


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Values of metrics of ``processes``."""

    processes: tuple[str, ...]
    counters: Mapping[Series, int]
    gauges: Mapping[Series, float]
    latencies: Mapping[Series, Histogram]


EMPTY = Snapshot(processes=(), counters={}, gauges={}, latencies={})


def merge_snapshots(snapshots: Iterable[Snapshot]) -> Snapshot:
    """Merge the snapshots of many processes.

    :param snapshots: one of each process.
    :return: the sums of counters and gauges, and the joint histograms.
    """
    return reduce(_merge_two, snapshots, EMPTY)


def _merge_two(left: Snapshot, right: Snapshot) -> Snapshot:
    return Snapshot(
        processes=(*left.processes, *right.processes),
        counters=_add(left.counters, right.counters),
        gauges=_add(left.gauges, right.gauges),
        latencies=_join(left.latencies, right.latencies),
    )


def _add(
    left: Mapping[Series, Number],
    right: Mapping[Series, Number],
) -> dict[Series, Number]:
    return {
        series: left.get(series, 0) + right.get(series, 0) for series in left.keys() | right.keys()
    }


def _join(
    left: Mapping[Series, Histogram],
    right: Mapping[Series, Histogram],
) -> dict[Series, Histogram]:
    joint = {series: histogram.copy() for series, histogram in left.items()}
    for series, histogram in right.items():
        joint.setdefault(series, Histogram()).merge(histogram)
    return joint


__all__ = (
    'Series',
    'Snapshot',
    'merge_snapshots',
)
