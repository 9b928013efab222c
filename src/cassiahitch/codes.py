"""Numbered result codes of responses and errors."""

from __future__ import annotations

from enum import IntEnum, StrEnum


class HasRun(StrEnum):
    """Whether the backend server has run a request that failed."""

    no = 'no'
    yes = 'yes'
    unknown = 'unknown'


class Code(IntEnum):
    """Result codes; the thousands digit stands for the area."""

    ok = 0

    # 1000: requests
    bad_request = 1000
    unauthorised = 1001
    forbidden = 1002
    body_too_large = 1003
    unknown_service = 1004
    deadline_exceeded = 1005
    overloaded = 1006
    organisation_limit = 1007
    no_replica = 1008
    poison_refused = 1009
    leaving = 1010
    outcome_unknown = 1011
    answer_corrupt = 1012
    answer_cut_short = 1013
    weights_changed = 1014
    backend_failed = 1015
    caller_gone = 1016
    retry_budget_spent = 1017
    not_ready = 1018
    not_found = 1019
    method_not_allowed = 1020
    header_too_large = 1021
    configuration_stale = 1022
    region_unavailable = 1023

    # 1100: requests that run at most once
    key_reused = 1100
    key_expired = 1101
    ticket_invalid = 1102
    ticket_voided = 1103
    ticket_owner_gone = 1104
    claim_store_down = 1105
    claim_unclear = 1106
    claimed_elsewhere = 1107
    wrong_incarnation = 1108
    dispatch_too_late = 1109
    request_voided = 1110
    request_in_progress = 1111
    ledger_full = 1112
    answer_not_kept = 1113

    # 2000: resources and configuration
    resource_invalid = 2000
    resource_missing = 2001
    revision_conflict = 2002
    resource_exists = 2003
    resource_in_use = 2004
    precondition_missing = 2005
    unknown_kind = 2006
    watch_too_old = 2007
    configuration_row_corrupt = 2008
    revision_regressed = 2009

    # 2100: leases and members
    lease_lost = 2100
    fencing_number_old = 2101
    host_unknown = 2102
    host_list_corrupt = 2103

    # 3000: weights
    manifest_corrupt = 3000
    manifest_changed = 3001
    chunk_corrupt = 3002
    chunk_missing = 3003
    chunk_stalled = 3004
    origin_unavailable = 3005
    staging_full = 3006
    load_refused = 3007
    load_failed = 3008
    rollout_cancelled = 3009
    plan_corrupt = 3010
    loaded_digest_wrong = 3011

    # 4000: platform
    store_unavailable = 4000
    store_outcome_unknown = 4001
    store_row_corrupt = 4002
    store_busy = 4003
    object_missing = 4004
    object_corrupt = 4005
    engine_unavailable = 4006
    engine_answer_corrupt = 4007
    engine_event_corrupt = 4008
    plain_service_unavailable = 4009

    # 5000: connections between processes of the system
    handshake_refused = 5000
    frame_too_large = 5001
    frame_corrupt = 5002
    message_unknown = 5003
    connection_silent = 5004
    connection_closed = 5005
    queue_full = 5006
    protocol_mismatch = 5007

    # 6000: command-line programs
    settings_invalid = 6000
    settings_missing = 6001
    usage_invalid = 6002
    address_in_use = 6003
    bench_unknown = 6004
    bench_failed = 6005
    soak_ended = 6006
    soak_not_ready = 6007
    internal = 6999


__all__ = (
    'Code',
    'HasRun',
)
