"""Records each request in the timeline and the metrics."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.errors import RequestError
from cassiahitch.metrics.names import CounterName, LatencyName
from cassiahitch.timeline.events import EventKind

if TYPE_CHECKING:
    from cassiahitch.requests.api import Proceed, Request, Response
    from cassiahitch.wire.node import Node


@dataclass(frozen=True, slots=True)
class RecordingFilter:
    """Outermost filter: records requests and their outcomes."""

    node: Node

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Record a request and its outcome.

        :param request: the request.
        :param proceed: the rest of the chain.
        :return: the response.
        """
        started = self.node.clock.monotonic()
        self.node.metrics.count(CounterName.requests_received)
        self.node.timeline.record(EventKind.request_received, request_id=request.id)
        try:
            response = await proceed(request)
        except RequestError as error:
            self._record_failure(request, error)
            raise
        self.node.metrics.count(CounterName.requests_answered, request.service)
        elapsed = self.node.clock.monotonic() - started
        self.node.metrics.latency(LatencyName.request, elapsed, request.service)
        self.node.timeline.record(EventKind.request_answered, request_id=request.id)
        return response

    def _record_failure(self, request: Request, error: RequestError) -> None:
        self.node.metrics.count(CounterName.requests_failed, error.code.name)
        self.node.timeline.record(
            EventKind.request_failed,
            request_id=request.id,
            code=error.code,
            detail=f'ran: {error.ran}',
        )


__all__ = ('RecordingFilter',)
