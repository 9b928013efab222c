"""Names of all metrics, as they are exported."""

from __future__ import annotations

from enum import StrEnum


class CounterName(StrEnum):
    """Counters, which only increase."""

    requests_received = 'requests_received'
    requests_answered = 'requests_answered'
    requests_failed = 'requests_failed'
    requests_dispatched = 'requests_dispatched'
    requests_retried = 'requests_retried'
    requests_cancelled = 'requests_cancelled'
    requests_cut = 'requests_cut'
    requests_kept = 'requests_kept'
    requests_voided = 'requests_voided'
    offered_by_size = 'offered_by_size'
    refused_by_size = 'refused_by_size'
    served_by_size = 'served_by_size'
    output_tokens_expected = 'output_tokens_expected'
    output_tokens_counted = 'output_tokens_counted'
    output_tokens_off = 'output_tokens_off'
    returns_scheduled = 'returns_scheduled'
    runs_started = 'runs_started'
    runs_finished = 'runs_finished'
    answers_dropped = 'answers_dropped'
    claims_committed = 'claims_committed'
    claim_transactions = 'claim_transactions'
    claims_swept = 'claims_swept'
    tickets_issued = 'tickets_issued'
    suspects_marked = 'suspects_marked'
    replicas_ejected = 'replicas_ejected'
    replicas_leaving = 'replicas_leaving'
    replica_pauses = 'replica_pauses'
    rate_limits_named = 'rate_limits_named'
    replicas_cold = 'replicas_cold'
    headers_unreadable = 'headers_unreadable'
    cache_hits = 'cache_hits'
    origin_bytes = 'origin_bytes'
    region_bytes = 'region_bytes'
    chunk_bytes_received = 'chunk_bytes_received'
    chunk_bytes_sent = 'chunk_bytes_sent'
    chunks_refused = 'chunks_refused'
    manifests_refused = 'manifests_refused'
    loads_finished = 'loads_finished'
    loads_failed = 'loads_failed'
    revisions_applied = 'revisions_applied'
    resources_changed = 'resources_changed'
    leases_acquired = 'leases_acquired'
    connections_opened = 'connections_opened'
    connections_silent = 'connections_silent'
    connections_refused = 'connections_refused'
    connections_closed = 'connections_closed'
    frames_sent = 'frames_sent'
    frames_received = 'frames_received'
    frame_bytes_sent = 'frame_bytes_sent'
    frame_bytes_received = 'frame_bytes_received'
    frames_refused = 'frames_refused'
    platform_calls = 'platform_calls'
    platform_errors = 'platform_errors'
    timeline_dropped = 'timeline_dropped'


class GaugeName(StrEnum):
    """Gauges, which show a current value."""

    requests_in_flight = 'requests_in_flight'
    requests_queued = 'requests_queued'
    ledger_records = 'ledger_records'
    unknown_keys = 'unknown_keys'
    staging_bytes = 'staging_bytes'
    revision = 'revision'
    live_entries = 'live_entries'
    live_agents = 'live_agents'
    leases_held = 'leases_held'
    replicas = 'replicas'
    limited_replicas = 'limited_replicas'
    cold_replicas = 'cold_replicas'
    evacuated_domains = 'evacuated_domains'
    configuration_age_s = 'configuration_age_s'
    store_era = 'store_era'
    connections = 'connections'
    connection_bytes = 'connection_bytes'


class LatencyName(StrEnum):
    """Latencies, which are recorded in histograms."""

    request = 'request'
    first_part = 'first_part'
    queue_wait = 'queue_wait'
    run = 'run'
    prediction_error = 'prediction_error'
    claim = 'claim'
    platform_call = 'platform_call'
    chunk_fetch = 'chunk_fetch'
    load = 'load'
    configuration = 'configuration'


__all__ = (
    'CounterName',
    'GaugeName',
    'LatencyName',
)
