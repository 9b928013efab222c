"""Tests of the metrics registry, and of merging and encoding its snapshots."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.metrics.encoding import decode_snapshot, encode_snapshot
from cassiahitch.metrics.histograms import Histogram
from cassiahitch.metrics.names import CounterName, GaugeName, LatencyName
from cassiahitch.metrics.registry import MAX_LABELS, OTHER, Metrics
from cassiahitch.metrics.snapshots import Series, merge_snapshots

DURATIONS = st.lists(st.floats(0.0001, 500), min_size=1, max_size=30)


def test_counters_gauges_and_latencies_are_kept_by_label() -> None:
    metrics = Metrics('entry-1')
    metrics.count(CounterName.requests_failed, 'overloaded')
    metrics.count(CounterName.requests_failed, 'overloaded', by=2)
    metrics.gauge(GaugeName.revision, 7)
    metrics.latency(LatencyName.request, 0.25)
    snapshot = metrics.snapshot()
    metrics.count(CounterName.requests_failed, 'overloaded')
    metrics.latency(LatencyName.request, 0.25)
    assert snapshot.counters == {Series('requests_failed', 'overloaded'): 3}
    assert snapshot.gauges == {Series('revision', ''): 7}
    assert snapshot.latencies[Series('request', '')].summary().count == 1


def test_labels_over_the_bound_share_one_series() -> None:
    metrics = Metrics('entry-1')
    for number in range(MAX_LABELS + 5):
        metrics.count(CounterName.requests_received, f'organisation-{number}')
    counters = metrics.snapshot().counters
    assert len(counters) == MAX_LABELS + 1
    assert counters[Series('requests_received', OTHER)] == 5


@given(DURATIONS, DURATIONS)
def test_merged_histogram_equals_histogram_of_all_durations(
    left: list[float], right: list[float]
) -> None:
    processes = [Metrics('a'), Metrics('b')]
    combined = Histogram()
    for metrics, durations in zip(processes, (left, right), strict=True):
        metrics.count(CounterName.requests_received, by=len(durations))
        for seconds in durations:
            metrics.latency(LatencyName.request, seconds)
            combined.record(seconds)
    received = [decode_snapshot(encode_snapshot(metrics.snapshot())) for metrics in processes]
    merged = merge_snapshots(received)
    assert merged.processes == ('a', 'b')
    assert merged.counters[Series('requests_received', '')] == len(left) + len(right)
    assert merged.latencies[Series('request', '')].summary() == combined.summary()


def test_percentiles_are_within_one_percent() -> None:
    histogram = Histogram()
    for milliseconds in range(1, 1001):
        histogram.record(milliseconds / 1000)
    summary = histogram.summary()
    assert summary.p50_s == pytest.approx(0.5, rel=0.01)
    assert summary.p99_s == pytest.approx(0.99, rel=0.01)


def test_durations_out_of_range_count_as_the_nearest() -> None:
    histogram = Histogram()
    for seconds in (-1, 0, 1e9):
        histogram.record(seconds)
    assert histogram.summary().count == 3


@pytest.mark.parametrize(
    'document',
    [
        pytest.param(b'[]', id='list'),
        pytest.param(b'{"counters":[{"name":"a","value":-1}]}', id='negative'),
        pytest.param(b'{"gauges":[{"name":"a","value":NaN}]}', id='not-a-number'),
        pytest.param(b'{"latencies":[{"name":"a","histogram":"HISTFAAAAB14"}]}', id='cut'),
        pytest.param(b'{"latencies":[{"name":"a","histogram":"\xc3\xa4"}]}', id='not-ascii'),
    ],
)
def test_other_json_gives_numbered_error(document: bytes) -> None:
    with pytest.raises(CassiahitchError) as raised:
        decode_snapshot(document)
    assert raised.value.code is Code.answer_corrupt
