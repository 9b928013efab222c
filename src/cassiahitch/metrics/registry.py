"""Metrics of one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.metrics.histograms import Histogram
from cassiahitch.metrics.snapshots import Series, Snapshot

if TYPE_CHECKING:
    from cassiahitch.metrics.names import CounterName, GaugeName, LatencyName

MAX_LABELS = 64
OTHER = 'other'


class Metrics:
    """Counters, gauges and latencies; each may be split by one label."""

    def __init__(self, process: str) -> None:
        """Create the registry.

        :param process: the name of the process.
        """
        self.process = process
        self.counters: dict[Series, int] = {}
        self.gauges: dict[Series, float] = {}
        self.latencies: dict[Series, Histogram] = {}
        self.labels: dict[str, set[str]] = {}

    def count(self, name: CounterName, label: str = '', by: int = 1) -> None:
        """Raise a counter.

        :param name: the counter.
        :param label: what it is split by, such as the name of a code.
        :param by: how far.
        """
        series = self._series(name, label)
        self.counters[series] = self.counters.get(series, 0) + by

    def gauge(self, name: GaugeName, measured: float, label: str = '') -> None:
        """Set a gauge.

        :param name: the gauge.
        :param measured: its value now.
        :param label: what it is split by.
        """
        self.gauges[self._series(name, label)] = measured

    def latency(self, name: LatencyName, seconds: float, label: str = '') -> None:
        """Record a duration.

        :param name: the latency.
        :param seconds: the duration.
        :param label: what it is split by.
        """
        series = self._series(name, label)
        if series not in self.latencies:
            self.latencies[series] = Histogram()
        self.latencies[series].record(seconds)

    def snapshot(self) -> Snapshot:
        """Return the values now.

        :return: a snapshot that later changes do not touch.
        """
        return Snapshot(
            processes=(self.process,),
            counters=dict(self.counters),
            gauges=dict(self.gauges),
            latencies={series: histogram.copy() for series, histogram in self.latencies.items()},
        )

    def _series(self, name: str, label: str) -> Series:
        known = self.labels.setdefault(name, set())
        if label not in known and len(known) >= MAX_LABELS:
            return Series(name, OTHER)
        known.add(label)
        return Series(name, label)


__all__ = ('Metrics',)
