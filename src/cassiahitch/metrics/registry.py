"""Registry of the metrics of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.metrics.histograms import Histogram
from cassiahitch.metrics.snapshots import Series, Snapshot

if TYPE_CHECKING:
    from cassiahitch.metrics.names import CounterName, GaugeName, LatencyName

#: Largest number of different labels of a metric.
MAX_LABELS = 64
#: Label that replaces all labels above that number.
OTHER = 'other'


class Metrics:
    """Counters, gauges and latencies, each of which may have one label."""

    def __init__(self, process: str) -> None:
        """Create the registry.

        :param process: name of the process.
        """
        self.process = process
        self.counters: dict[Series, int] = {}
        self.gauges: dict[Series, float] = {}
        self.latencies: dict[Series, Histogram] = {}
        self.labels: dict[str, set[str]] = {}

    def count(self, name: CounterName, label: str = '', by: int = 1) -> None:
        """Increase a counter.

        :param name: name of the counter.
        :param label: label of the series, such as the name of a result code.
        :param by: the increment.
        """
        series = self._series(name, label)
        self.counters[series] = self.counters.get(series, 0) + by

    def gauge(self, name: GaugeName, measured: float, label: str = '') -> None:
        """Set a gauge.

        :param name: name of the gauge.
        :param measured: its current value.
        :param label: label of the series.
        """
        self.gauges[self._series(name, label)] = measured

    def latency(self, name: LatencyName, seconds: float, label: str = '') -> None:
        """Record a duration in a histogram.

        :param name: name of the latency.
        :param seconds: duration in seconds.
        :param label: label of the series.
        """
        series = self._series(name, label)
        if series not in self.latencies:
            self.latencies[series] = Histogram()
        self.latencies[series].record(seconds)

    def snapshot(self) -> Snapshot:
        """Return the current values.

        :return: a snapshot that later changes do not affect.
        """
        return Snapshot(
            processes=(self.process,),
            counters=dict(self.counters),
            gauges=dict(self.gauges),
            latencies={series: histogram.copy() for series, histogram in self.latencies.items()},
        )

    def _series(self, name: str, label: str) -> Series:
        used_labels = self.labels.setdefault(name, set())
        if label not in used_labels and len(used_labels) >= MAX_LABELS:
            return Series(name, OTHER)
        used_labels.add(label)
        return Series(name, label)


__all__ = ('Metrics',)
