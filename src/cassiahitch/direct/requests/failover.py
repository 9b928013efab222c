"""Whether a request may go on at another backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.direct.placement.placement import Assignment, NoCapacity, PlacementRequest
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call
    from cassiahitch.direct.backends.attempt import StreamState
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.placement.crashdetector import CrashDetector
    from cassiahitch.direct.placement.search import PlacementSearch
    from cassiahitch.direct.requests.budget import RetryBudget
    from cassiahitch.direct.requests.filters import RequestFilters
    from cassiahitch.direct.telemetry import Telemetry

#: Seconds after which a caller may come back when there is no retry.
RETRY_AFTER_S = 0.6
#: Seconds for which a stream that broke off waits for a place and a retry, and between two looks.
RESUME_TIMEOUT_S = 1.5
RESUME_POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class Failover:
    """Finds other places and spends retries."""

    entry_state: EntryState
    filters: RequestFilters
    placement_search: PlacementSearch
    budget: RetryBudget
    crash_detector: CrashDetector
    telemetry: Telemetry

    async def reserve_alternative(
        self, call: Call, placed: Assignment, stream: StreamState, demand: PlacementRequest
    ) -> bool:
        """Reserve another place and a retry for a request whose backend server is silent.

        :param call: the request.
        :param placed: where it is.
        :param stream: keeps the place.
        :param demand: what is to be placed.
        :return: whether both are to be had; the request stays where it is otherwise.
        """
        key = placed.candidate.replica.key
        before = call.avoided_replicas.copy()
        call.avoided_replicas.add(key)
        try:
            self.filters.require_valid_key(call)
            found = await self.next_place(call, key, demand, sent=True)
        except RequestError as error:
            call.avoided_replicas = before
            self.crash_detector.check(placed.candidate.replica)
            if stream.stalled_key != key:
                stream.stalled_key = key
                self.telemetry.request_kept(call, placed, error)
            return False
        stream.reserved = found
        return True

    async def find_other_replica(
        self, call: Call, key: str, demand: PlacementRequest
    ) -> Assignment:
        """Return a place at another backend server.

        :param call: the request.
        :param key: where it is now.
        :param demand: what is to be placed.
        :return: the place.
        :raises RequestError: if there is none.
        """
        found = await self.placement_search.find(call, demand)
        if isinstance(found, NoCapacity):
            raise RequestError(Code.overloaded, 'no other place in time', call.ran)
        if found.candidate.replica.key == key:
            raise RequestError(Code.no_replica, 'no other backend server', call.ran)
        return found

    async def resume_stream(
        self, call: Call, key: str, demand: Callable[[], PlacementRequest], *, sent: bool
    ) -> Assignment:
        """Wait for another place for a stream that has begun and broke off.

        Its caller waits for the next event anyway, and has nothing from a stream without its end.

        :param call: the request.
        :param key: where it was.
        :param demand: returns what is to be placed.
        :param sent: whether it was sent there, so that a retry is spent.
        :return: the place.
        :raises RequestError: if there was none for too long.
        """
        clock = asyncio.get_running_loop().time
        until = clock() + RESUME_TIMEOUT_S
        while clock() < until:
            with suppress(RequestError):
                return await self.next_place(call, key, demand(), sent=sent)
            await asyncio.sleep(RESUME_POLL_INTERVAL_S)
        return await self.next_place(call, key, demand(), sent=sent)

    async def next_place(
        self, call: Call, key: str, demand: PlacementRequest, *, sent: bool
    ) -> Assignment:
        """Return a place at another backend server, with a retry that is spent on it.

        :param call: the request.
        :param key: where it was.
        :param demand: what is to be placed.
        :param sent: whether it was sent there, so that a retry is spent.
        :return: the place.
        :raises RequestError: if there is no place or no retry.
        """
        found = await self.find_other_replica(call, key, demand)
        if sent:
            self.spend_retry(call)
        return found

    def spend_retry(self, call: Call) -> None:
        """Spend a retry.

        :param call: the request that is sent again.
        :raises RequestError: if there is none.
        """
        now = asyncio.get_running_loop().time()
        if not self.budget.try_spend(call.service, self.entry_state.live_entries(now), now):
            detail = 'the service gets too many repeated requests'
            raise RequestError(Code.retry_budget_spent, detail, call.ran, RETRY_AFTER_S)


__all__ = ('Failover',)
