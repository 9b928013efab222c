"""Moves requests from a failing or stalled backend server to another one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.direct.placement.assignments import Assignment, NoCapacity, PlacementRequest
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call
    from cassiahitch.direct.backends.streamstate import StreamState
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.placement.crashdetector import CrashDetector
    from cassiahitch.direct.placement.search import PlacementSearch
    from cassiahitch.direct.requests.budget import RetryBudget
    from cassiahitch.direct.requests.filters import RequestFilters
    from cassiahitch.direct.telemetry import Telemetry

#: Retry-After, in seconds, for callers of a service whose retry budget is spent.
BUDGET_RETRY_AFTER_S = 0.6
#: Longest time that an interrupted stream waits for an assignment and a retry, in seconds.
RESUME_TIMEOUT_S = 1.5
#: Time between two tries to get an assignment and a retry for such a stream, in seconds.
RESUME_POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class Failover:
    """Assigns requests to other replicas and spends the retries for that."""

    entry_state: EntryState
    filters: RequestFilters
    placement_search: PlacementSearch
    budget: RetryBudget
    crash_detector: CrashDetector
    telemetry: Telemetry

    async def reserve_alternative(
        self,
        call: Call,
        assignment: Assignment,
        stream: StreamState,
        placement_request: PlacementRequest,
    ) -> bool:
        """Reserve another assignment and a retry for a request whose backend server is stalled.

        :param call: the request.
        :param assignment: its current assignment.
        :param stream: the response so far; the new assignment is stored as ``reserved``.
        :param placement_request: what to place.
        :return: whether both are available; otherwise the request stays where it is.
        """
        key = assignment.candidate.replica.key
        previously_avoided = call.avoided_replicas.copy()
        call.avoided_replicas.add(key)
        try:
            self.filters.resolve_again(call)
            alternative = await self.assign_other_replica(call, key, placement_request, sent=True)
        except RequestError as error:
            call.avoided_replicas = previously_avoided
            self.crash_detector.check(assignment.candidate.replica)
            if stream.stalled_key != key:
                stream.stalled_key = key
                self.telemetry.failover_refused(call, assignment, error)
            return False
        stream.reserved = alternative
        return True

    @contextmanager
    def releasing_reserved(self, stream: StreamState) -> Iterator[None]:
        """Release the reserved assignment of a request that does not use it.

        :param stream: the response so far.
        :yield: while the request is served.
        """
        try:
            yield
        finally:
            if stream.reserved is not None:
                self.placement_search.release(stream.reserved)
            stream.end()

    async def find_other_replica(
        self, call: Call, key: str, placement_request: PlacementRequest
    ) -> Assignment:
        """Find an assignment at another replica.

        :param call: the request.
        :param key: key of its current replica.
        :param placement_request: what to place.
        :return: the assignment.
        :raises RequestError: ``overloaded`` if no replica has capacity, ``no_replica`` if there is
            no other one.
        """
        result = await self.placement_search.find(call, placement_request)
        if isinstance(result, NoCapacity):
            raise RequestError(
                Code.overloaded,
                'no backend server has capacity to repeat the request in time',
                call.ran,
            )
        if result.candidate.replica.key == key:
            self.placement_search.release(result)
            raise RequestError(
                Code.no_replica, 'no other backend server of the service is available', call.ran
            )
        return result

    async def resume_stream(
        self, call: Call, key: str, placement_request: Callable[[], PlacementRequest], *, sent: bool
    ) -> Assignment:
        """Wait for another assignment for a stream that was interrupted after its start.

        Its caller waits for the next event anyway, and cannot use an incomplete stream.

        :param call: the request.
        :param key: key of the replica that it was assigned to.
        :param placement_request: returns what to place.
        :param sent: whether the request was sent to that replica, so that a retry is spent.
        :return: the assignment.
        :raises RequestError: if there was no assignment or no retry until the timeout.
        """
        clock = asyncio.get_running_loop().time
        retry_until = clock() + RESUME_TIMEOUT_S
        while clock() < retry_until:
            with suppress(RequestError):
                return await self.assign_other_replica(call, key, placement_request(), sent=sent)
            await asyncio.sleep(RESUME_POLL_INTERVAL_S)
        return await self.assign_other_replica(call, key, placement_request(), sent=sent)

    async def assign_other_replica(
        self, call: Call, key: str, placement_request: PlacementRequest, *, sent: bool
    ) -> Assignment:
        """Assign a request to another replica and spend a retry.

        :param call: the request.
        :param key: key of the replica that it was assigned to.
        :param placement_request: what to place.
        :param sent: whether the request was sent to that replica, so that a retry is spent.
        :return: the assignment.
        :raises RequestError: if there is no assignment or no retry.
        """
        assignment = await self.find_other_replica(call, key, placement_request)
        try:
            if sent:
                self.spend_retry(call)
        except RequestError:
            self.placement_search.release(assignment)
            raise
        return assignment

    def spend_retry(self, call: Call) -> None:
        """Spend a retry of the service.

        :param call: the request that is sent again.
        :raises RequestError: ``retry_budget_spent`` if there is none.
        """
        now = asyncio.get_running_loop().time()
        if not self.budget.try_spend(call.service, self.entry_state.live_entries(now), now):
            detail = 'the retry budget of the service is spent'
            raise RequestError(Code.retry_budget_spent, detail, call.ran, BUDGET_RETRY_AFTER_S)


__all__ = ('Failover',)
