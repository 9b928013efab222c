"""Log lines and metrics for the requests of an entry and for the state of its replicas."""

from __future__ import annotations

import asyncio
import logging
import math
import traceback
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cassiahitch.codes import Code
from cassiahitch.direct.api import Call, CallerRequest
from cassiahitch.direct.backends.outcomes import is_success
from cassiahitch.direct.placement.refusals import refusal_fields, return_label
from cassiahitch.direct.placement.regionpolicy import region_policy
from cassiahitch.direct.placement.sizes import SizeTracker
from cassiahitch.direct.replicalog import ReplicaLog
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.statelog import StateLog, rounded
from cassiahitch.metrics.names import CounterName, GaugeName, LatencyName

if TYPE_CHECKING:
    from cassiahitch.direct.backends.outcomes import Outcome
    from cassiahitch.direct.callers.progress import Progress
    from cassiahitch.direct.placement.assignments import Assignment, NoCapacity
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.errors import RequestError

REQUEST_LOGGER = logging.getLogger('cassiahitch.requests')
#: Innermost stack frames of an unexpected exception that its log line contains.
LOGGED_FRAMES = 4


@dataclass(slots=True)
class Telemetry(ReplicaLog):
    """Logs each decision about a request with its inputs and their age, and counts it."""

    sizes: SizeTracker = field(default_factory=SizeTracker)

    def request_received(self, request: CallerRequest, arrived_at: float) -> Call:
        """Count a request that was read completely.

        :param request: the request.
        :param arrived_at: when it was read, in seconds of the event loop's clock.
        :return: the state of the request while it is served.
        """
        self.metrics.count(CounterName.requests_received)
        return Call(request, arrived_at)

    def record_offered_size(self, call: Call) -> None:
        """Count a request that is about to be placed, by its size.

        :param call: the request; its ``size_rank`` is set.
        """
        generation = call.request.generation
        size = generation.prompt_tokens if generation else len(call.request.body)
        call.size_rank = self.sizes.rank(call.require_route().name, size)
        self.metrics.count(CounterName.offered_by_size, call.size_rank.label)

    def attempt_ended(
        self,
        call: Call,
        assignment: Assignment,
        outcome: Outcome,
        started_at: float,
        first_event_at: float | None,
    ) -> None:
        """Record an attempt at a backend server.

        :param call: the request.
        :param assignment: the replica that it was assigned to.
        :param outcome: how the attempt ended.
        :param started_at: when it was assigned, in seconds of the event loop's clock.
        :param first_event_at: when the first event was sent to the caller, None if none was.
        """
        now = asyncio.get_running_loop().time()
        outcome_name = type(outcome).__name__
        self.metrics.count(CounterName.requests_dispatched, outcome_name)
        self.metrics.latency(LatencyName.run, now - started_at, call.service)
        fields: dict[str, Any] = {
            'outcome': outcome_name,
            'replica': assignment.candidate.replica.id,
            'expected_s': assignment.expected_s,
            'version': assignment.candidate.version,
            'rank': assignment.rank,
            'reserved': bool(assignment.reservation and assignment.reservation.number),
            'waited_s': started_at - call.arrived_at,
            'took_s': now - started_at,
        }
        if assignment.output_tokens:
            fields['output_tokens'] = assignment.output_tokens
        fields |= self.region_fields(call, assignment.candidate.replica)
        fields |= self.limit_fields(assignment.candidate.replica)
        fields |= self.version_fields(assignment, started_at, first_event_at)
        if first_event_at is not None:
            fields['first_event_s'] = first_event_at - call.arrived_at
            self.metrics.latency(LatencyName.first_part, first_event_at - call.arrived_at)
        detail = getattr(outcome, 'detail', '')
        if detail:
            fields['detail'] = detail
        head = getattr(outcome, 'head', None)
        if head is not None:
            fields['status'] = head.status
        if call.size_rank is not None and is_success(outcome):
            self.metrics.count(CounterName.served_by_size, call.size_rank.label)
        self.log_request(logging.INFO, 'request sent', call, fields | _size_fields(call))

    def region_fields(self, call: Call, replica: Replica) -> dict[str, Any]:
        """Return the fields of a log line that tell which rules allowed the region of a replica.

        :param call: a request that was sent to it.
        :param replica: the replica.
        :return: the prefix of the route, the organisation, the region of the replica, and the
            regions that the route and the organisation allow, None if they allow all.
        """
        return {
            'prefix': call.require_route().prefix,
            'organisation': call.organisation.name if call.organisation else None,
            'region': self.entry_state.region_of(replica.failure_domain),
            'allowed_regions': region_policy(call).allowed_regions(),
        }

    def limit_fields(self, replica: Replica) -> dict[str, Any]:
        """Return the fields of a log line that tell the rate limits of a replica.

        :param replica: the replica.
        :return: the limit and how long ago it was last named, if it names one, and how long it
            stays cold, if it is.
        """
        fields: dict[str, Any] = {}
        now = asyncio.get_running_loop().time()
        rate_limits = self.entry_state.rate_limits
        limit = rate_limits.tracker(replica.key).current
        if limit.per_s < math.inf:
            fields = {'limit_per_s': limit.per_s, 'limit_named_s_ago': now - limit.received_at}
        if rate_limits.cold.is_cold(replica.key, now):
            fields['cold_left_s'] = rate_limits.cold.periods[replica.key].until - now
        return fields

    def version_fields(
        self, assignment: Assignment, started_at: float, first_event_at: float | None
    ) -> dict[str, Any]:
        """Return the fields of a log line that tell how long a request might begin on its version.

        :param assignment: the replica that it was assigned to.
        :param started_at: when it was assigned, in seconds of the event loop's clock.
        :param first_event_at: when the first event was sent to the caller, None if none was.
        :return: seconds left at both times; empty if no newer version is declared.
        """
        candidate = assignment.candidate
        now = asyncio.get_running_loop().time()
        left_s = self.entry_state.versions.left_s(candidate.model, candidate.version, boot_time())
        if left_s == math.inf:
            return {}
        fields = {'bound_left_s': left_s + now - started_at}
        if first_event_at is not None:
            fields['bound_left_first_s'] = left_s + now - first_event_at
        return fields

    def no_capacity(self, call: Call, no_capacity: NoCapacity) -> None:
        """Record that no replica has capacity to start a request in time.

        :param call: the request.
        :param no_capacity: the result of the placement.
        """
        if call.size_rank is not None:
            self.metrics.count(CounterName.refused_by_size, call.size_rank.label)
        self.metrics.count(CounterName.returns_scheduled, return_label(no_capacity))
        fields = refusal_fields(no_capacity) | _size_fields(call)
        self.log_request(logging.INFO, 'request found no place', call, fields)

    def failover_refused(self, call: Call, assignment: Assignment, error: RequestError) -> None:
        """Record that a request stays at a stalled backend server.

        :param call: the request.
        :param assignment: the replica that it is assigned to.
        :param error: why it cannot fail over to another replica.
        """
        self.metrics.count(CounterName.requests_kept, error.code.name)
        replica = assignment.candidate.replica.id
        fields = {'replica': replica, 'name_of_code': error.code.name}
        self.log_request(logging.INFO, 'request kept at a silent replica', call, fields)

    def request_failed(self, call: Call | None, error: RequestError) -> None:
        """Record that a request failed and its caller gets an error response.

        :param call: the request, None if it could not be read.
        :param error: why it failed.
        """
        self.metrics.count(CounterName.requests_failed, error.code.name)
        fields: dict[str, Any] = {
            'code': error.code.value,
            'name_of_code': error.code.name,
            'ran': error.ran.value,
            'detail': error.detail,
        }
        self.log_request(logging.WARNING, 'request failed', call, fields)

    def record_internal_error(self, request: str, exception: Exception) -> None:
        """Record an unexpected exception in this process that ended a request.

        :param request: id of the request, empty if it is unknown.
        :param exception: the exception.
        """
        self.metrics.count(CounterName.requests_failed, Code.internal.name)
        frames = traceback.extract_tb(exception.__traceback__)
        extra = {
            'request': request,
            'code': Code.internal.value,
            'error': type(exception).__name__,
            'at': [
                f'{Path(frame.filename).name}:{frame.lineno}' for frame in frames[-LOGGED_FRAMES:]
            ],
        }
        REQUEST_LOGGER.error('request failed inside', extra=extra)

    def caller_disconnected(self, call: Call | None, progress: Progress) -> None:
        """Record that a caller disconnected before it had its complete response.

        :param call: the request, None if it could not be read.
        :param progress: how far the request had come.
        """
        self.metrics.count(CounterName.requests_cancelled, progress.phase.name)
        fields: dict[str, Any] = {'phase': progress.phase.value}
        if progress.replica:
            now = asyncio.get_running_loop().time()
            fields |= {'replica': progress.replica, 'placed_s': now - progress.attempt_started_at}
        self.log_request(logging.INFO, 'caller left', call, fields)

    def update_gauges(self) -> None:
        """Set the gauges of the cached state to their current values."""
        now = asyncio.get_running_loop().time()
        age_s = self.entry_state.freshness.age_s(boot_time())
        self.metrics.gauge(GaugeName.configuration_age_s, min(age_s, 1e6))
        self.metrics.gauge(GaugeName.live_entries, self.entry_state.live_entries(now))
        self.metrics.gauge(GaugeName.replicas, len(self.entry_state.replicas.replicas))
        limited = self.entry_state.rate_limits.limited_replicas()
        self.metrics.gauge(GaugeName.limited_replicas, len(limited))
        cold = self.entry_state.rate_limits.cold.cold_count(now)
        self.metrics.gauge(GaugeName.cold_replicas, cold)
        evacuated = len(self.entry_state.evacuations.evacuated_at)
        self.metrics.gauge(GaugeName.evacuated_domains, evacuated)

    def log_request(
        self,
        level: int,
        message: str,
        call: Call | None,
        fields: dict[str, Any],
    ) -> None:
        """Log a line about a request, with its route and the age of the configuration.

        :param level: logging level.
        :param message: the decision.
        :param call: the request, None if it could not be read.
        :param fields: the inputs of the decision.
        """
        if not REQUEST_LOGGER.isEnabledFor(level):
            return
        configuration = self.entry_state.catalogue
        base: dict[str, Any] = {
            'configuration': configuration.version if configuration else None,
            'configuration_age_s': self.entry_state.freshness.age_s(boot_time()),
        }
        if call is not None:
            base |= {
                'request': call.id,
                'route': call.route.name if call.route else None,
                'service': call.service,
                'sends': call.attempt_count,
                'age_s': asyncio.get_running_loop().time() - call.arrived_at,
            }
        REQUEST_LOGGER.log(level, message, extra=rounded(base | fields))


def _size_fields(call: Call) -> dict[str, Any]:
    if call.size_rank is None:
        return {}
    return {
        'size': call.size_rank.size,
        'smaller': call.size_rank.fraction_smaller,
        'tenth': call.size_rank.decile,
    }


__all__ = (
    'StateLog',
    'Telemetry',
)
