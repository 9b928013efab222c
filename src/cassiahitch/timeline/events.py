"""Events of the time line and filters for them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

from pydantic import Field

from cassiahitch.codes import Code
from cassiahitch.timeline.clock import Timestamp

MAX_ID_LENGTH = 256
MAX_DETAIL_LENGTH = 1024


class EventKind(StrEnum):
    """Kinds of events."""

    process_started = 'process_started'
    process_leaving = 'process_leaving'
    process_stopped = 'process_stopped'

    request_received = 'request_received'
    request_refused = 'request_refused'
    request_queued = 'request_queued'
    replica_chosen = 'replica_chosen'
    request_dispatched = 'request_dispatched'
    request_started = 'request_started'
    request_finished = 'request_finished'
    request_retried = 'request_retried'
    request_answered = 'request_answered'
    request_failed = 'request_failed'
    request_cancelled = 'request_cancelled'
    request_voided = 'request_voided'
    request_settled = 'request_settled'
    answer_dropped = 'answer_dropped'
    ticket_issued = 'ticket_issued'
    claim_committed = 'claim_committed'
    claim_refused = 'claim_refused'
    suspect_marked = 'suspect_marked'
    suspect_cleared = 'suspect_cleared'

    rollout_planned = 'rollout_planned'
    rollout_joined = 'rollout_joined'
    rollout_cancelled = 'rollout_cancelled'
    rollout_finished = 'rollout_finished'
    chunk_received = 'chunk_received'
    chunk_refused = 'chunk_refused'
    source_replaced = 'source_replaced'
    weights_verified = 'weights_verified'
    load_ordered = 'load_ordered'
    load_finished = 'load_finished'
    load_refused = 'load_refused'

    resource_changed = 'resource_changed'
    revision_applied = 'revision_applied'
    revision_in_force = 'revision_in_force'
    lease_acquired = 'lease_acquired'
    lease_lost = 'lease_lost'

    host_joined = 'host_joined'
    host_leaving = 'host_leaving'
    host_gone = 'host_gone'
    replica_ejected = 'replica_ejected'
    replica_restored = 'replica_restored'
    connection_opened = 'connection_opened'
    connection_silent = 'connection_silent'
    connection_closed = 'connection_closed'
    platform_down = 'platform_down'
    platform_up = 'platform_up'


@dataclass(frozen=True, slots=True)
class Event:
    """Event in a process; identifiers that do not apply are empty."""

    clock: Timestamp
    process: Annotated[str, Field(min_length=1, max_length=MAX_ID_LENGTH)]
    kind: EventKind
    request_id: Annotated[str, Field(max_length=MAX_ID_LENGTH)] = ''
    rollout_id: Annotated[str, Field(max_length=MAX_ID_LENGTH)] = ''
    code: Code = Code.ok
    detail: Annotated[str, Field(max_length=MAX_DETAIL_LENGTH)] = ''


@dataclass(frozen=True, slots=True)
class EventFilter:
    """Selects events; an empty field matches all events."""

    request_id: str = ''
    rollout_id: str = ''
    kinds: frozenset[EventKind] = frozenset()

    def accepts(self, event: Event) -> bool:
        """Return whether an event is selected.

        :param event: the event.
        :return: whether all non-empty fields match the event.
        """
        if self.request_id not in {'', event.request_id}:
            return False
        if self.rollout_id not in {'', event.rollout_id}:
            return False
        return not self.kinds or event.kind in self.kinds


__all__ = (
    'MAX_DETAIL_LENGTH',
    'MAX_ID_LENGTH',
    'Event',
    'EventFilter',
    'EventKind',
)
