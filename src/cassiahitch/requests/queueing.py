"""Admission queues: requests wait in the fair queue of their service until a slot is free."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.codes import HasRun
from cassiahitch.errors import RequestError
from cassiahitch.limits.api import Admission, QueuedRequest
from cassiahitch.limits.concurrency import ConcurrencyLimit
from cassiahitch.limits.fairqueue import FairQueue, QueueLimits
from cassiahitch.resources.models import Organisation

if TYPE_CHECKING:
    from collections.abc import Callable

    from cassiahitch.clock import Clock
    from cassiahitch.controllers.configuration import Configuration
    from cassiahitch.limits.api import Decision
    from cassiahitch.requests.api import Proceed, Request, Response
    from cassiahitch.routing.router import Router

#: Seconds between updates of the concurrency limits, and between checks for expired requests.
UPDATE_INTERVAL_S = 0.1


@dataclass(slots=True)
class ServiceQueue:
    """The queue of a service and its concurrency limit.

    ``pending`` holds a future for each queued request, done at its admission or rejection.
    """

    queue: FairQueue
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    pending: dict[str, asyncio.Future[None]] = field(default_factory=dict)

    def apply_decisions(self, decisions: tuple[Decision, ...]) -> None:
        """Resume admitted requests and fail rejected ones.

        :param decisions: decisions of the queue.
        """
        for decision in decisions:
            future = self.pending.pop(decision.request.request_id, None)
            if future is None or future.done():
                continue
            if isinstance(decision, Admission):
                self.limit.acquire()
                future.set_result(None)
            else:
                detail = 'too many requests are queued for this service'
                error = RequestError(decision.code, detail, HasRun.no, decision.retry_after_s)
                future.set_exception(error)

    def admit_waiting(self, now: float) -> None:
        """Admit waiting requests while the concurrency limit allows it.

        :param now: seconds.
        """
        while self.queue.length and self.limit.allows():
            self.apply_decisions(self.queue.pop(now))


@dataclass(slots=True)
class QueueFilter:
    """Filter that holds requests in the fair queue of their service until admission."""

    configuration: Configuration
    clock: Clock
    router: Router
    count_entries: Callable[[], int]
    limits: QueueLimits = QueueLimits()
    queues: dict[str, ServiceQueue] = field(default_factory=dict)

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Queue a request until it is admitted, then pass it on.

        :param request: the request.
        :param proceed: the rest of the chain.
        :return: the response.
        :raises RequestError: ``overloaded``.
        """
        service = self._service(request.service)
        await self._wait_for_slot(service, request)
        started = self.clock.monotonic()
        request.on_hold = service.limit.set_held
        with ExitStack() as stack:
            stack.callback(self._release, service)
            response = await proceed(request)
        service.queue.record_run_time(self.clock.monotonic() - started)
        return response

    @property
    def load(self) -> float:
        """Load of this entry: requests in flight and queued, relative to the concurrency limits."""
        used = sum(
            service.limit.in_flight + service.queue.length for service in self.queues.values()
        )
        bound = sum(service.limit.bound for service in self.queues.values())
        return min(1, used / bound) if bound else 0

    async def adapt_bounds(self) -> None:
        """Update the concurrency limits and expire queued requests periodically until cancelled."""
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            for name, service in self.queues.items():
                self._update(name, service)

    def _release(self, service: ServiceQueue) -> None:
        service.limit.release()
        service.admit_waiting(self.clock.monotonic())

    def _service(self, name: str) -> ServiceQueue:
        service = self.queues.get(name)
        if service is None:
            service = ServiceQueue(FairQueue(self.limits))
            self.queues[name] = service
            self._update(name, service)
        return service

    def _update(self, name: str, service: ServiceQueue) -> None:
        now = self.clock.monotonic()
        load = self.router.service_load(name, now)
        service.limit.update(load, self.count_entries(), now)
        service.apply_decisions(service.queue.expire(now))
        service.admit_waiting(now)

    async def _wait_for_slot(self, service: ServiceQueue, request: Request) -> None:
        organisation = self.configuration.resources.get(f'Organisation/{request.organisation}')
        if isinstance(organisation, Organisation):
            service.queue.set_weight(organisation.name, organisation.weight)
        queued = QueuedRequest(request.id, request.organisation, request.priority, request.deadline)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        service.pending[request.id] = future
        now = self.clock.monotonic()
        service.apply_decisions(service.queue.push(queued, now))
        service.admit_waiting(now)
        try:
            await future
        except asyncio.CancelledError:
            self._withdraw(service, queued, future)
            raise

    def _withdraw(
        self,
        service: ServiceQueue,
        queued: QueuedRequest,
        future: asyncio.Future[None],
    ) -> None:
        service.pending.pop(queued.request_id, None)
        admitted = future.done() and not future.cancelled() and future.exception() is None
        if admitted:
            service.limit.release()
        else:
            service.queue.remove(queued)
        service.admit_waiting(self.clock.monotonic())


__all__ = ('QueueFilter',)
