"""Records each request on the time line and in the metrics."""

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
    """The outermost filter."""

    node: Node

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Record a request and how it ended.

        :param request: the request.
        :param proceed: the rest of the chain.
        :return: the answer.
        """
        started = self.node.clock.monotonic()
        self.node.metrics.count(CounterName.requests_received)
        self.node.timeline.record(EventKind.request_received, request_id=request.id)
        try:
            answer = await proceed(request)
        except RequestError as error:
            self._failed(request, error)
            raise
        self.node.metrics.count(CounterName.requests_answered, request.service)
        elapsed = self.node.clock.monotonic() - started
        self.node.metrics.latency(LatencyName.request, elapsed, request.service)
        self.node.timeline.record(EventKind.request_answered, request_id=request.id)
        return answer

    def _failed(self, request: Request, error: RequestError) -> None:
        self.node.metrics.count(CounterName.requests_failed, error.code.name)
        self.node.timeline.record(
            EventKind.request_failed,
            request_id=request.id,
            code=error.code,
            detail=f'ran: {error.ran}',
        )


__all__ = ('RecordingFilter',)
