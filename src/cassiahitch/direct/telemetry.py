"""Log lines and metrics of the decisions of an entry."""

from __future__ import annotations

import asyncio
import logging
import traceback
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cassiahitch.codes import Code
from cassiahitch.direct.api import Call, CallerRequest
from cassiahitch.direct.backends.attempt import Answered, Delivered
from cassiahitch.direct.placement.sizes import SizeTracker
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.metrics.names import CounterName, GaugeName, LatencyName

if TYPE_CHECKING:
    from cassiahitch.direct.backends.attempt import Outcome
    from cassiahitch.direct.callers.progress import Progress
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.placement.availability import ExpiredAnnouncement
    from cassiahitch.direct.placement.placement import Assignment, NoCapacity
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.errors import RequestError
    from cassiahitch.metrics.registry import Metrics

LOGGER = logging.getLogger('cassiahitch.requests')
STATE_LOGGER = logging.getLogger('cassiahitch.beliefs')
DIGITS = 4
#: Innermost places of a fault that its line names.
FRAMES = 4


class StateLog:
    """Writes one line for each change of what a process believes."""

    def state_changed(self, message: str, **fields: Any) -> None:
        """Record a change of what this process believes.

        :param message: the change.
        :param fields: its inputs.
        """
        STATE_LOGGER.info(message, extra=_rounded(fields))


@dataclass(slots=True)
class Telemetry(StateLog):
    """Writes one line for each decision, with the inputs that decided and their age."""

    entry_state: EntryState
    metrics: Metrics
    sizes: SizeTracker = field(default_factory=SizeTracker)

    def request_received(self, request: CallerRequest, arrived: float) -> Call:
        """Count a request that was read.

        :param request: the request.
        :param arrived: when it was read, in seconds.
        :return: the request on its way.
        """
        self.metrics.count(CounterName.requests_received)
        return Call(request, arrived)

    def record_offered_size(self, call: Call) -> None:
        """Count a request that is to be placed, by its size.

        :param call: the request.
        """
        generation = call.request.generation
        size = generation.prompt_tokens if generation else len(call.request.body)
        call.size_rank = self.sizes.rank(call.require_route().name, size)
        self.metrics.count(CounterName.offered_by_size, call.size_rank.label)

    def attempt_ended(
        self,
        call: Call,
        placed: Assignment,
        outcome: Outcome,
        began: float,
        first_event_at: float | None,
    ) -> None:
        """Record one send.

        :param call: the request.
        :param placed: where it went.
        :param outcome: how it ended.
        :param began: when it was placed, in seconds.
        :param first_event_at: when its caller got the first event, if it did.
        """
        now = asyncio.get_running_loop().time()
        kind = type(outcome).__name__
        self.metrics.count(CounterName.requests_dispatched, kind)
        self.metrics.latency(LatencyName.run, now - began, call.service)
        fields: dict[str, Any] = {
            'outcome': kind,
            'replica': placed.candidate.replica.id,
            'expected_s': placed.expected_s,
            'version': placed.candidate.version,
            'rank': placed.rank,
            'waited_s': began - call.arrived_at,
            'took_s': now - began,
        }
        if first_event_at is not None:
            fields['first_event_s'] = first_event_at - call.arrived_at
            self.metrics.latency(LatencyName.first_part, first_event_at - call.arrived_at)
        detail = getattr(outcome, 'detail', '')
        if detail:
            fields['detail'] = detail
        head = getattr(outcome, 'head', None)
        if head is not None:
            fields['status'] = head.status
        if call.size_rank is not None and _is_success(outcome):
            self.metrics.count(CounterName.served_by_size, call.size_rank.label)
        self.log_request(logging.INFO, 'request sent', call, fields | _size_fields(call))

    def no_capacity(self, call: Call, placed: NoCapacity) -> None:
        """Record that no replica could take a request in time.

        :param call: the request.
        :param placed: what was found.
        """
        if call.size_rank is not None:
            self.metrics.count(CounterName.refused_by_size, call.size_rank.label)
        best = {'best_s': placed.best_expected_s, 'retry_after_s': placed.retry_after_s}
        self.log_request(logging.INFO, 'request found no place', call, best | _size_fields(call))

    def request_kept(self, call: Call, placed: Assignment, error: RequestError) -> None:
        """Record that a request stays at a silent backend server.

        :param call: the request.
        :param placed: where it is.
        :param error: why it can go nowhere else.
        """
        self.metrics.count(CounterName.requests_kept, error.code.name)
        replica = placed.candidate.replica.id
        fields = {'replica': replica, 'name_of_code': error.code.name}
        self.log_request(logging.INFO, 'request kept at a silent replica', call, fields)

    def request_failed(self, call: Call | None, error: RequestError) -> None:
        """Record the final answer to a request that failed.

        :param call: the request, if it could be read.
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

    def record_fault(self, request: str, fault: Exception) -> None:
        """Record a fault inside this process that ended a request.

        :param request: id of the request, if it is known.
        :param fault: what was raised.
        """
        self.metrics.count(CounterName.requests_failed, Code.internal.name)
        frames = traceback.extract_tb(fault.__traceback__)
        extra = {
            'request': request,
            'code': Code.internal.value,
            'error': type(fault).__name__,
            'at': [f'{Path(frame.filename).name}:{frame.lineno}' for frame in frames[-FRAMES:]],
        }
        LOGGER.error('request failed inside', extra=extra)

    def caller_disconnected(self, call: Call | None, progress: Progress) -> None:
        """Record that a caller left before its answer.

        :param call: the request.
        :param progress: how far it had come.
        """
        self.metrics.count(CounterName.requests_cancelled, progress.phase.name)
        fields: dict[str, Any] = {'phase': progress.phase.value}
        if progress.replica:
            now = asyncio.get_running_loop().time()
            fields |= {'replica': progress.replica, 'placed_s': now - progress.attempt_started_at}
        self.log_request(logging.INFO, 'caller left', call, fields)

    def replica_stopping(self, replica: Replica, source: str) -> None:
        """Record that a backend server says that it leaves.

        :param replica: the backend server.
        :param source: where that is known from.
        """
        self.metrics.count(CounterName.replicas_leaving, replica.service)
        fields = {'replica': replica.id, 'born_ms': replica.born_ms, 'source': source}
        self.state_changed('replica says that it leaves', service=replica.service, **fields)

    def replica_paused(self, replica: Replica, seconds: float) -> None:
        """Record that a backend server wants no requests for a time.

        :param replica: the backend server.
        :param seconds: how long.
        """
        self.metrics.count(CounterName.replica_pauses, replica.service)
        fields = {'replica': replica.id, 'born_ms': replica.born_ms, 'pause_s': seconds}
        self.state_changed('replica asks for a pause', service=replica.service, **fields)

    def holdoff_expired(self, ended: ExpiredAnnouncement) -> None:
        """Record that what a backend server said of itself holds no longer.

        :param ended: what has ended.
        """
        message = (
            'replica that leaves is forgotten' if ended.stopping else 'pause of a replica is over'
        )
        self.state_changed(message, replica=ended.key, after_s=ended.after_s)

    def header_ignored(self, replica: Replica, name: str) -> None:
        """Record that a header of a backend server could not be read and is ignored.

        :param replica: the backend server.
        :param name: name of the header.
        """
        self.metrics.count(CounterName.headers_unreadable, name)
        self.state_changed('header ignored', replica=replica.id, header=name)

    def replica_crashed(self, replica: Replica, requests: int) -> None:
        """Record the crash of a backend server.

        :param replica: the backend server.
        :param requests: how many requests were in flight here.
        """
        self.metrics.count(CounterName.suspects_marked, by=requests)
        fields = {'replica': replica.id, 'service': replica.service, 'in_flight': requests}
        self.state_changed('backend server crashed', **fields)

    def update_gauges(self) -> None:
        """Set the gauges."""
        now = asyncio.get_running_loop().time()
        age_s = self.entry_state.freshness.age_s(boot_time())
        self.metrics.gauge(GaugeName.configuration_age_s, min(age_s, 1e6))
        self.metrics.gauge(GaugeName.live_entries, self.entry_state.live_entries(now))
        self.metrics.gauge(GaugeName.replicas, len(self.entry_state.replicas.replicas))

    def log_request(
        self,
        level: int,
        message: str,
        call: Call | None,
        fields: dict[str, Any],
    ) -> None:
        """Write a line about a request.

        :param level: its level.
        :param message: the decision.
        :param call: the request, if it could be read.
        :param fields: the inputs that decided.
        """
        if not LOGGER.isEnabledFor(level):
            return
        known = self.entry_state.catalogue
        base: dict[str, Any] = {
            'configuration': known.version if known else None,
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
        LOGGER.log(level, message, extra=_rounded(base | fields))


def _is_success(outcome: Outcome) -> bool:
    match outcome:
        case Delivered():
            return True
        case Answered(head=head):
            return head.status < HTTPStatus.BAD_REQUEST
    return False


def _size_fields(call: Call) -> dict[str, Any]:
    if call.size_rank is None:
        return {}
    return {
        'size': call.size_rank.size,
        'smaller': call.size_rank.fraction_smaller,
        'tenth': call.size_rank.decile,
    }


def _rounded(fields: dict[str, Any]) -> dict[str, Any]:
    return {
        name: round(value, DIGITS) if isinstance(value, float) else value
        for name, value in fields.items()
    }


__all__ = (
    'StateLog',
    'Telemetry',
)
