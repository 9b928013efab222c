"""Lets requests wait in a fair queue of their service until a slot is free."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.codes import Ran
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

#: Seconds between updates of the bounds, and looks at requests that waited too long.
UPDATE_S = 0.1


@dataclass(slots=True)
class ServiceQueue:
    """The queue of a service and the bound on its requests in flight."""

    queue: FairQueue
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    admitted: dict[str, asyncio.Future[None]] = field(default_factory=dict)

    def settle(self, verdicts: tuple[Decision, ...]) -> None:
        """Tell requests what became of them.

        :param verdicts: what the queue decided.
        """
        for verdict in verdicts:
            future = self.admitted.pop(verdict.request.request_id, None)
            if future is None or future.done():
                continue
            if isinstance(verdict, Admission):
                self.limit.acquire()
                future.set_result(None)
            else:
                detail = 'too many requests wait for this service'
                error = RequestError(verdict.code, detail, Ran.no, verdict.retry_after_s)
                future.set_exception(error)

    def pump(self, now: float) -> None:
        """Admit waiting requests while the bound allows it.

        :param now: seconds.
        """
        while self.queue.length and self.limit.allows():
            self.settle(self.queue.pop(now))


@dataclass(slots=True)
class QueueFilter:
    """One fair queue for each service."""

    configuration: Configuration
    clock: Clock
    router: Router
    count_entries: Callable[[], int]
    limits: QueueLimits = QueueLimits()
    queues: dict[str, ServiceQueue] = field(default_factory=dict)

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Let a request wait for its turn, then pass it on.

        :param request: the request.
        :param proceed: the rest of the chain.
        :return: the answer.
        :raises RequestError: ``overloaded``.
        """
        service = self._service(request.service)
        await self._admitted(service, request)
        started = self.clock.monotonic()
        request.on_hold = service.limit.hold
        with ExitStack() as stack:
            stack.callback(self._release, service)
            answer = await proceed(request)
        service.queue.record_run_time(self.clock.monotonic() - started)
        return answer

    @property
    def load(self) -> float:
        """How full this entry is: requests in flight and waiting, over what it may have."""
        used = sum(one.limit.in_flight + one.queue.length for one in self.queues.values())
        bound = sum(one.limit.bound for one in self.queues.values())
        return min(1, used / bound) if bound else 0

    async def adapt_bounds(self) -> None:
        """Adapt the bounds until cancelled."""
        while True:
            await asyncio.sleep(UPDATE_S)
            for name, service in self.queues.items():
                self._update(name, service)

    def _release(self, service: ServiceQueue) -> None:
        service.limit.release()
        service.pump(self.clock.monotonic())

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
        service.settle(service.queue.expire(now))
        service.pump(now)

    async def _admitted(self, service: ServiceQueue, request: Request) -> None:
        organisation = self.configuration.resources.get(f'Organisation/{request.organisation}')
        if isinstance(organisation, Organisation):
            service.queue.set_weight(organisation.name, organisation.weight)
        waiting = QueuedRequest(
            request.id, request.organisation, request.priority, request.deadline
        )
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        service.admitted[request.id] = future
        now = self.clock.monotonic()
        service.settle(service.queue.push(waiting, now))
        service.pump(now)
        try:
            await future
        except asyncio.CancelledError:
            self._withdraw(service, waiting, future)
            raise

    def _withdraw(
        self,
        service: ServiceQueue,
        waiting: QueuedRequest,
        future: asyncio.Future[None],
    ) -> None:
        service.admitted.pop(waiting.request_id, None)
        admitted = future.done() and not future.cancelled() and future.exception() is None
        if admitted:
            service.limit.release()
        else:
            service.queue.remove(waiting)
        service.pump(self.clock.monotonic())


__all__ = ('QueueFilter',)
