"""Tests of the placement search, with agents that reply over a simulated network.

Guards against slots that stay reserved after a search, queries that cost more with each engine of
the fleet, and requests on engines with outdated weights.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

import pytest
from virtual_loop import virtual_time

from cassiahitch.codes import Code
from cassiahitch.direct.api import Call, CallerRequest
from cassiahitch.direct.entrystate import make_entry_state
from cassiahitch.direct.placement.assignments import Assignment, NoCapacity, PlacementRequest
from cassiahitch.direct.placement.availability import ReplicaAvailability
from cassiahitch.direct.placement.candidates import CandidateFilter
from cassiahitch.direct.placement.limiterchoice import PERMIT_LIFETIME_S
from cassiahitch.direct.placement.load import NO_REPLY_BACKOFF_S
from cassiahitch.direct.placement.placement import Placement
from cassiahitch.direct.placement.reservation import REPLY_TIMEOUT_S, ReservationClient
from cassiahitch.direct.placement.search import MAX_VERSION_QUERIES, PlacementSearch
from cassiahitch.direct.state.catalogue import (
    Catalogue,
    Engine,
    RepeatPolicy,
    Route,
    Service,
    ServiceShare,
)
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.ratelimits import LimitObservation
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.direct.state.versions import DeclaredVersion
from cassiahitch.errors import RequestError
from cassiahitch.settings.direct import DirectEntrySettings
from cassiahitch.standins.directsite import make_bounds
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import (
    DatagramMessage,
    EngineLoad,
    PermitRefusal,
    PlaceQuery,
    PlaceReturn,
)

ENGINE = Engine('m', 16, 6, 0.00673, 2.19e-5, 6.8e-9, 30_600, 6.47e-10, 964, 119)
SHARES = (ServiceShare('drafts', 1),)
ROUTE = Route('draft', 'h', '/', RepeatPolicy.stream, 6, 0.405, 1, SHARES, 2, resumable=True)
QUICK_ROUTE = replace(ROUTE, name='quick', prefix='/quick/', objective_s=0.2)
#: Seconds from a query until its reply.
ROUND_TRIP_S = 0.002
BORN_MS = 7
FULL_LOAD = EngineLoad(born_ms=BORN_MS, running=16, waiting=12, model='m', version=1)
IDLE_LOAD = EngineLoad(born_ms=BORN_MS, model='m', version=1)


def settings() -> DirectEntrySettings:
    return DirectEntrySettings(
        name='entry-1',
        address='10.0.0.9',
        region='north',
        failure_domain='north-1',
        regions={'north-1': 'north', 'south-1': 'south'},
        peer_port=7700,
        store=Endpoint('10.0.0.8', 1),
        bounds=make_bounds(),
        callers=Endpoint('10.0.0.9', 2),
        readiness=Endpoint('10.0.0.9', 3),
        directory=Endpoint('10.0.0.9', 4),
    )


@dataclass
class Site:
    """An entry and engines whose agents reply with ``loads``, by address, or None for no reply.

    ``queried`` lists the addresses of the queried agents, and ``reserved`` the reserved slots by
    address and query number.
    """

    local: int
    remote: int = 0
    loads: dict[str, EngineLoad | None] = field(default_factory=dict)
    queried: list[str] = field(default_factory=list)
    reserved: dict[tuple[str, int], int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the replicas and the search."""
        rng = random.Random(1)
        self.entry_state = make_entry_state(settings(), 1, rng)
        self.placement = Placement(rng)
        self.availability = ReplicaAvailability(rng)
        self.reservations = ReservationClient(self.placement, 7700)
        socket: Any = self
        self.reservations.socket = socket
        no_plain_replicas: Any = None
        self.placement_search = PlacementSearch(
            CandidateFilter(self.entry_state, self.placement, self.availability),
            self.placement,
            self.reservations,
            no_plain_replicas,
            rng,
        )
        services = {'drafts': Service('drafts', 100, ENGINE)}
        self.entry_state.apply_configuration(Catalogue(1, (ROUTE, QUICK_ROUTE), services))
        self.replicas = tuple(
            Replica(
                f'm-{number}',
                'drafts',
                Endpoint(f'10.0.1.{number}', 80),
                'north-1' if number < self.local else 'south-1',
                ENGINE.slots,
                born_ms=BORN_MS,
                weights=(('m', 1),),
            )
            for number in range(self.local + self.remote)
        )
        self.entry_state.replicas.replace(self.replicas, 0)

    def send(self, message: DatagramMessage, receiver: Endpoint) -> None:
        """Handle a datagram as the agent that receives it."""
        match message:
            case PlaceQuery(number=number):
                self.queried.append(receiver.address)
                load = self.loads.get(receiver.address, IDLE_LOAD)
                if load is not None:
                    self.reserved[receiver.address, number] = 1
                    reply = replace(load, number=number)
                    deliver_reply = partial(self.reservations.handle_load, reply, (), receiver)
                    asyncio.get_running_loop().call_later(ROUND_TRIP_S, deliver_reply)
            case PlaceReturn(number=number):
                reserved = self.reserved.pop((receiver.address, number), 0)
                assert reserved or self.loads.get(receiver.address, IDLE_LOAD) is None

    async def find(self, **changed: Any) -> Assignment | NoCapacity:
        """Search for a replica for a request."""
        placement_request = replace(PlacementRequest(ROUTE, 0, 964), **changed)
        request = CallerRequest('POST', '/draft/1', 'h', (), b'', 'a1')
        return await self.placement_search.find(
            Call(request, 0, route=ROUTE, service='drafts'), placement_request
        )

    async def find_address(self, **changed: Any) -> str:
        """Search for a replica and return the address of its engine."""
        result = await self.find(**changed)
        assert isinstance(result, Assignment)
        return result.candidate.replica.endpoint.address

    def set_all_loads(self, load: EngineLoad | None) -> None:
        """Let all agents reply with the same load, or None for no reply."""
        self.loads = {replica.endpoint.address: load for replica in self.replicas}


def run(site: Site, body: Callable[[Site], Awaitable[None]]) -> None:
    with virtual_time(settle_s=0) as runner:

        async def run_body() -> None:
            await body(site)

        runner.run(run_body())


def test_idle_engine_is_found_by_few_queries_and_the_other_reservations_are_released() -> None:
    async def body(site: Site) -> None:
        address = await site.find_address()
        assert len(site.queried) == 2
        assert [key[0] for key in site.reserved] == [address]

    run(Site(12), body)


@pytest.mark.parametrize('after_s', [ROUND_TRIP_S / 2, ROUND_TRIP_S, 1.5 * ROUND_TRIP_S])
@pytest.mark.parametrize('unresponsive', [0, 2])
def test_cancelled_search_releases_all_reservations(after_s: float, unresponsive: int) -> None:
    async def body(site: Site) -> None:
        site.set_all_loads(replace(FULL_LOAD, waiting=6))
        for number in range(unresponsive):
            site.loads[f'10.0.1.{number}'] = None
        search = asyncio.create_task(site.find())
        await asyncio.sleep(after_s)
        search.cancel()
        await asyncio.gather(search, return_exceptions=True)
        await asyncio.sleep(1)
        assert search.cancelled()
        assert not site.reserved
        assert not site.reservations.pending

    run(Site(4, 4), body)


def test_only_engines_of_the_own_region_are_used_while_they_are_free() -> None:
    async def body(site: Site) -> None:
        for _ in range(50):
            assert await site.find_address() in {f'10.0.1.{number}' for number in range(4)}

    run(Site(4, 4), body)


def test_engines_of_other_regions_are_used_once_those_of_the_own_region_are_full() -> None:
    async def body(site: Site) -> None:
        for number in range(4):
            site.loads[f'10.0.1.{number}'] = replace(FULL_LOAD, waiting=6)
        for _ in range(20):
            assert await site.find_address() not in {f'10.0.1.{number}' for number in range(4)}

    run(Site(4, 4), body)


def test_full_engines_are_not_queried_again_and_requests_are_refused_at_once() -> None:
    async def body(site: Site) -> None:
        site.set_all_loads(FULL_LOAD)
        assert isinstance(await site.find(), NoCapacity)
        queried = len(site.queried)
        started_at = asyncio.get_running_loop().time()
        for _ in range(10):
            assert isinstance(await site.find(), NoCapacity)
        assert asyncio.get_running_loop().time() == started_at
        assert len(site.queried) == queried
        assert not site.reserved

    run(Site(3), body)


def test_slot_that_becomes_free_is_found() -> None:
    async def body(site: Site) -> None:
        site.set_all_loads(FULL_LOAD)
        assert isinstance(await site.find(), NoCapacity)
        site.set_all_loads(IDLE_LOAD)
        await asyncio.sleep(1)
        assert await site.find_address()

    run(Site(3), body)


def test_replica_whose_agent_is_unresponsive_is_used_only_if_no_other_agent_replies() -> None:
    async def body(site: Site) -> None:
        site.set_all_loads(None)
        site.loads['10.0.1.1'] = replace(IDLE_LOAD, running=14)
        started_at = asyncio.get_running_loop().time()
        for _ in range(20):
            assert await site.find_address() == '10.0.1.1'
        # The unresponsive agent is queried once, and awaited only briefly after the other reply.
        assert asyncio.get_running_loop().time() - started_at <= REPLY_TIMEOUT_S + 20 * ROUND_TRIP_S
        assert site.queried.count('10.0.1.0') == 1
        site.loads['10.0.1.1'] = None
        assert await site.find_address() in {'10.0.1.0', '10.0.1.1'}
        await asyncio.sleep(NO_REPLY_BACKOFF_S)
        site.loads['10.0.1.0'] = IDLE_LOAD
        assert await site.find_address() == '10.0.1.0'

    run(Site(2), body)


def test_routes_of_one_service_are_admitted_by_its_mean_objective() -> None:
    async def body(site: Site) -> None:
        site.set_all_loads(replace(FULL_LOAD, running=15, waiting=1))
        for route in (ROUTE, QUICK_ROUTE):
            assert await site.find_address(route=route)

    run(Site(2), body)


def test_engines_with_outdated_weights_are_queried_for_newer_ones() -> None:
    async def body(site: Site) -> None:
        site.entry_state.versions.record_declared(DeclaredVersion('m', 2), boot_time() - 60)
        with pytest.raises(RequestError) as error_info:
            await site.find()
        assert error_info.value.code is Code.no_replica
        assert len(site.queried) == MAX_VERSION_QUERIES
        # The replica list is outdated; one agent reports newer weights.
        loaded = replace(IDLE_LOAD, version=2)
        site.loads['10.0.1.4'] = loaded
        site.reservations.handle_load(loaded, site.replicas, Endpoint('10.0.1.4', 7700))
        result = await site.find()
        assert isinstance(result, Assignment)
        assert (result.candidate.replica.id, result.candidate.version) == ('m-4', 2)

    run(Site(5), body)


def test_engine_that_loads_weights_receives_no_request() -> None:
    async def body(site: Site) -> None:
        site.loads['10.0.1.0'] = replace(IDLE_LOAD, loading=True)
        for _ in range(20):
            assert await site.find_address() == '10.0.1.1'

    run(Site(2), body)


def test_reply_of_another_incarnation_is_ignored() -> None:
    async def body(site: Site) -> None:
        site.loads['10.0.1.0'] = replace(IDLE_LOAD, born_ms=BORN_MS + 1)
        for _ in range(5):
            assert await site.find_address() == '10.0.1.1'

    run(Site(2), body)


def limit(site: Site, number: int) -> None:
    """Let the entry see that an engine names a rate limit."""
    now = asyncio.get_running_loop().time()
    rate_limits = site.reservations.rate_limits
    rate_limits.observe(site.replicas[number], LimitObservation(2, now, now), 'answer')


def limited_load(load: EngineLoad, *refusals: PermitRefusal) -> EngineLoad:
    """Return the reply of an agent that grants permits, or that refuses one."""
    now = asyncio.get_running_loop().time()
    records = (LimitObservation(2, now, now).record(now, born_ms=BORN_MS),)
    return replace(load, limits=records, refusals=refusals)


def test_limited_engine_is_queried_only_if_no_other_can_start_the_request_soon() -> None:
    async def body(site: Site) -> None:
        limit(site, 0)
        site.loads['10.0.1.0'] = limited_load(IDLE_LOAD)
        for _ in range(10):
            assert await site.find_address() != '10.0.1.0'
        assert '10.0.1.0' not in site.queried
        for number in (1, 2):
            site.loads[f'10.0.1.{number}'] = FULL_LOAD
        await asyncio.sleep(1)
        result = await site.find()
        assert isinstance(result, Assignment)
        assert result.candidate.replica.id == 'm-0'
        assert result.reservation is not None
        assert boot_time() < result.reservation.permit_until <= boot_time() + PERMIT_LIFETIME_S

    run(Site(3), body)


def test_request_without_a_permit_is_refused_with_the_time_of_the_next_one() -> None:
    async def body(site: Site) -> None:
        for number in range(3):
            limit(site, number)
            refusal = PermitRefusal(400 + 100 * number)
            site.loads[f'10.0.1.{number}'] = limited_load(FULL_LOAD, refusal)
        result = await site.find(remaining_s=6)
        assert isinstance(result, NoCapacity)
        assert result.limited == 3
        assert round(10 * result.available_in_s) == 4
        assert result.available_in_s <= result.retry_after_s <= 2
        # No agent is queried again before its next permit.
        queried = len(site.queried)
        assert isinstance(await site.find(), NoCapacity)
        assert len(site.queried) == queried

    run(Site(3), body)


def test_limited_engine_whose_agent_does_not_reply_is_not_used() -> None:
    async def body(site: Site) -> None:
        for number in range(2):
            limit(site, number)
        site.set_all_loads(None)
        assert isinstance(await site.find(), NoCapacity)
        assert isinstance(await site.find(), NoCapacity)

    run(Site(2), body)


def test_limited_engine_whose_agent_grants_no_permits_is_not_used() -> None:
    async def body(site: Site) -> None:
        limit(site, 0)
        assert isinstance(await site.find(), NoCapacity)
        assert not site.reserved

    run(Site(1), body)


def test_limit_in_the_reply_of_an_agent_applies_before_the_first_request() -> None:
    async def body(site: Site) -> None:
        site.loads['10.0.1.0'] = limited_load(IDLE_LOAD, PermitRefusal(400))
        for _ in range(10):
            assert await site.find_address() == '10.0.1.1'
        assert site.queried.count('10.0.1.0') == 1

    run(Site(2), body)
