"""HTTP service of the metrics of a process in the Prometheus text format."""

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

_FamilyT = TypeVar('_FamilyT', CounterMetricFamily, GaugeMetricFamily)

METRICS_PATH = '/metrics'
PREFIX = 'cassiahitch'
LABELS = ('label',)
QUANTILES = (50, 90, 99)
PERCENT = 100


class MetricsCollector:
    """Collector of the Prometheus client library for a metrics registry."""

    def __init__(self, metrics: Metrics) -> None:
        """Create the collector.

        :param metrics: the metrics registry.
        """
        self.metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics with their current values.

        :yield: metric families.
        """
        snapshot = self.metrics.snapshot()
        yield from _single_value_families(snapshot.counters, CounterMetricFamily)
        yield from _single_value_families(snapshot.gauges, GaugeMetricFamily)
        yield from _latency_families(snapshot)


class MetricsHandler(RequestHandler):
    """Responds with the metrics of the process."""

    def initialize(self, registry: CollectorRegistry) -> None:
        """Set the registry whose metrics are served.

        :param registry: registry of the Prometheus client library.
        """
        self.registry = registry

    def get(self) -> None:
        """Respond with all metrics in the text format."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4; charset=utf-8')
        self.finish(generate_latest(self.registry))


def metrics_service(metrics: Metrics) -> Application:
    """Return the HTTP service of the metrics of a process.

    :param metrics: the metrics registry of the process.
    :return: the service.
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(MetricsCollector(metrics))
    return Application(
        [(METRICS_PATH, MetricsHandler, {'registry': registry})],
        log_function=no_access_log,
    )


def _single_value_families(
    series_values: Mapping[Series, float], family_type: type[_FamilyT]
) -> Iterator[Metric]:
    families: dict[str, _FamilyT] = {}
    for series, current_value in series_values.items():
        name = f'{PREFIX}_{series.name}'
        family = families.setdefault(name, family_type(name, name, labels=LABELS))
        family.add_metric((series.label,), current_value)
    yield from families.values()


def _latency_families(snapshot: Snapshot) -> Iterator[Metric]:
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


__all__ = (
    'METRICS_PATH',
    'metrics_service',
)
