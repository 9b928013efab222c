"""Metrics of a process as text over HTTP."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, TypeVar

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from tornado.web import Application, RequestHandler

from cassiahitch.util.accesslog import no_access_log

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cassiahitch.metrics.registry import Metrics
    from cassiahitch.metrics.snapshots import Series, Snapshot

_Plain = TypeVar('_Plain', CounterMetricFamily, GaugeMetricFamily)

METRICS_PATH = '/metrics'
PREFIX = 'cassiahitch'
LABELS = ('label',)
QUANTILES = (50, 90, 99)
PERCENT = 100


class MetricsCollector:
    """Gives the values of a registry to the exposition library."""

    def __init__(self, metrics: Metrics) -> None:
        """Create it.

        :param metrics: the registry.
        """
        self.metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics as they are now.

        :yield: metrics.
        """
        snapshot = self.metrics.snapshot()
        yield from _plain(snapshot.counters, CounterMetricFamily)
        yield from _plain(snapshot.gauges, GaugeMetricFamily)
        yield from _latencies(snapshot)


class MetricsHandler(RequestHandler):
    """Serves the metrics."""

    def initialize(self, registry: CollectorRegistry) -> None:
        """Take what it serves.

        :param registry: the registry of the library.
        """
        self.registry = registry

    def get(self) -> None:
        """Answer with all metrics."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4; charset=utf-8')
        self.finish(generate_latest(self.registry))


def metrics_service(metrics: Metrics) -> Application:
    """Return the service of the metrics of a process.

    :param metrics: the registry.
    :return: the service.
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(MetricsCollector(metrics))
    return Application(
        [(METRICS_PATH, MetricsHandler, {'registry': registry})],
        log_function=no_access_log,
    )


def _plain(series_values: Mapping[Series, float], kind: type[_Plain]) -> Iterator[Metric]:
    families: dict[str, _Plain] = {}
    for series, measured in series_values.items():
        name = f'{PREFIX}_{series.name}'
        family = families.setdefault(name, kind(name, name, labels=LABELS))
        family.add_metric((series.label,), measured)
    yield from families.values()


def _latencies(snapshot: Snapshot) -> Iterator[Metric]:
    families: dict[str, SummaryMetricFamily] = {}
    for series, histogram in snapshot.latencies.items():
        name = f'{PREFIX}_{series.name}_seconds'
        family = families.setdefault(name, SummaryMetricFamily(name, name, labels=LABELS))
        summary = histogram.summary()
        family.add_metric((series.label,), summary.count, 0)
        for percent in QUANTILES:
            labels = {'label': series.label, 'quantile': str(percent / PERCENT)}
            family.add_sample(name, labels, histogram.percentile(percent))
    yield from families.values()


__all__ = ('metrics_service',)
