"""Tests of metrics in the Prometheus text format."""

from __future__ import annotations

import pytest
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.parser import text_string_to_metric_families

from cassiahitch.metrics.exposition import MetricsCollector
from cassiahitch.metrics.names import CounterName, GaugeName, LatencyName
from cassiahitch.metrics.registry import Metrics


def test_counters_gauges_and_latencies_are_written_with_their_labels() -> None:
    metrics = Metrics('entry-1')
    metrics.count(CounterName.requests_failed, 'overloaded', 3)
    metrics.gauge(GaugeName.live_entries, 9)
    for milliseconds in (10, 20, 1000):
        metrics.latency(LatencyName.first_part, milliseconds / 1000)
    registry = CollectorRegistry(auto_describe=False)
    registry.register(MetricsCollector(metrics))
    text = generate_latest(registry).decode()
    samples = {
        (sample.name, sample.labels.get('label'), sample.labels.get('quantile')): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }
    assert samples['cassiahitch_requests_failed_total', 'overloaded', None] == 3
    assert samples['cassiahitch_live_entries', '', None] == 9
    assert samples['cassiahitch_first_part_seconds_count', '', None] == 3
    assert samples['cassiahitch_first_part_seconds', '', '0.99'] == pytest.approx(1, rel=0.05)
