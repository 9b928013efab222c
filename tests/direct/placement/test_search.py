"""Tests of the search for a place among engines, with agents that answer over a modelled wire."""

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
from cassiahitch.direct.placement.availability import ReplicaAvailability
from cassiahitch.direct.placement.candidates import CandidateFilter
from cassiahitch.direct.placement.load import NO_REPLY_BACKOFF_S
from cassiahitch.direct.placement.placement import (
    Assignment,
    NoCapacity,
    Placement,
    PlacementRequest,
)
from cassiahitch.direct.placement.reservation import REPLY_TIMEOUT_S, ReservationClient
from cassiahitch.direct.placement.search import UNCERTAIN, PlacementSearch
from cassiahitch.direct.state.catalogue import (
    Catalogue,
    Engine,
    Repeat,
    Route,
    Service,
    ServiceShare,
)
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.direct.state.versions import DeclaredVersion
from cassiahitch.errors import RequestError
from cassiahitch.settings.direct import DirectEntrySettings
from cassiahitch.standins.directsite import make_bounds
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.beats import Beat, EngineLoad, PlaceQuery, PlaceReturn

ENGINE = Engine('m', 16, 6, 0.00673, 2.19e-5, 6.8e-9, 30_600, 6.47e-10, 964, 119)
SHARES = (ServiceShare('drafts', 1),)
ROUTE = Route('draft', 'h', '/', Repeat.stream, 6, 0.405, 1, SHARES, 2, resumable=True)
QUICK = replace(ROUTE, name='quick', prefix='/quick/', objective_s=0.2)
#: Seconds that a question and its answer take.
WAY_S = 0.002
BORN_MS = 7
FULL = EngineLoad(born_ms=BORN_MS, running=16, waiting=12, model='m', version=1)
IDLE = EngineLoad(born_ms=BORN_MS, model='m', version=1)


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
    """An entry before engines; ``loads`` are what their agents answer, by address."""

    near: int
    far: int = 0
    loads: dict[str, EngineLoad | None] = field(default_factory=dict)
    asked: list[str] = field(default_factory=list)
    held: dict[tuple[str, int], int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the search."""
        rng = random.Random(1)
        self.entry_state = make_entry_state(settings(), 1, rng)
        self.placement = Placement(rng)
        self.availability = ReplicaAvailability(rng)
        self.reservations = ReservationClient(self.placement, 7700)
        socket: Any = self
        self.reservations.socket = socket
        self.places = PlacementSearch(
            CandidateFilter(self.entry_state, self.placement, self.availability),
            self.placement,
            self.reservations,
            rng,
        )
        services = {'drafts': Service('drafts', 100, ENGINE)}
        self.entry_state.apply(Catalogue(1, (ROUTE, QUICK), services))
        self.replicas = tuple(
            Replica(
                f'm-{number}',
                'drafts',
                Endpoint(f'10.0.1.{number}', 80),
                'north-1' if number < self.near else 'south-1',
                ENGINE.slots,
                born_ms=BORN_MS,
                weights=(('m', 1),),
            )
            for number in range(self.near + self.far)
        )
        self.entry_state.replicas.replace(self.replicas, 0)

    def send(self, message: Beat, receiver: Endpoint) -> None:
        """Let an agent answer."""
        match message:
            case PlaceQuery(number=number):
                self.asked.append(receiver.address)
                load = self.loads.get(receiver.address, IDLE)
                if load is not None:
                    self.held[receiver.address, number] = 1
                    answer = replace(load, number=number)
                    handle_load = partial(self.reservations.handle_load, answer, (), receiver)
                    asyncio.get_running_loop().call_later(WAY_S, handle_load)
            case PlaceReturn(number=number):
                held = self.held.pop((receiver.address, number), 0)
                assert held or self.loads.get(receiver.address, IDLE) is None

    async def find(self, **changed: Any) -> Assignment | NoCapacity:
        """Search for a place for a request."""
        demand = replace(PlacementRequest(ROUTE, 0, 964), **changed)
        request = CallerRequest('POST', '/draft/1', 'h', (), b'', 'a1')
        return await self.places.find(Call(request, 0, route=ROUTE, service='drafts'), demand)

    async def placed(self, **changed: Any) -> str:
        """Search for a place and return the address of its engine."""
        found = await self.find(**changed)
        assert isinstance(found, Assignment)
        return found.candidate.replica.endpoint.address

    def all_answer(self, load: EngineLoad | None) -> None:
        """Let all agents answer alike."""
        self.loads = {replica.endpoint.address: load for replica in self.replicas}


def play(site: Site, body: Callable[[Site], Awaitable[None]]) -> None:
    with virtual_time(settle_s=0) as runner:

        async def whole() -> None:
            await body(site)

        runner.run(whole())


def test_idle_engine_is_found_by_few_questions_and_the_other_places_are_given_back() -> None:
    async def body(site: Site) -> None:
        address = await site.placed()
        assert len(site.asked) == 2
        assert [held[0] for held in site.held] == [address]

    play(Site(12), body)


@pytest.mark.parametrize('after_s', [WAY_S / 2, WAY_S, 1.5 * WAY_S])
@pytest.mark.parametrize('silent', [0, 2])
def test_search_of_a_caller_that_leaves_gives_all_places_back(after_s: float, silent: int) -> None:
    async def body(site: Site) -> None:
        site.all_answer(replace(FULL, waiting=6))
        for number in range(silent):
            site.loads[f'10.0.1.{number}'] = None
        search = asyncio.create_task(site.find())
        await asyncio.sleep(after_s)
        search.cancel()
        await asyncio.gather(search, return_exceptions=True)
        await asyncio.sleep(1)
        assert search.cancelled()
        assert not site.held
        assert not site.reservations.pending

    play(Site(4, 4), body)


def test_engines_of_other_regions_are_left_to_their_own_callers_while_near_ones_are_free() -> None:
    async def body(site: Site) -> None:
        for _ in range(50):
            assert await site.placed() in {f'10.0.1.{number}' for number in range(4)}

    play(Site(4, 4), body)


def test_engines_of_other_regions_are_used_once_near_ones_are_crowded() -> None:
    async def body(site: Site) -> None:
        for number in range(4):
            site.loads[f'10.0.1.{number}'] = replace(FULL, waiting=6)
        for _ in range(20):
            assert await site.placed() not in {f'10.0.1.{number}' for number in range(4)}

    play(Site(4, 4), body)


def test_full_engines_are_not_asked_again_and_the_request_is_refused_at_once() -> None:
    async def body(site: Site) -> None:
        site.all_answer(FULL)
        assert isinstance(await site.find(), NoCapacity)
        asked = len(site.asked)
        began = asyncio.get_running_loop().time()
        for _ in range(10):
            assert isinstance(await site.find(), NoCapacity)
        assert asyncio.get_running_loop().time() == began
        assert len(site.asked) == asked
        assert not site.held

    play(Site(3), body)


def test_place_that_becomes_free_is_found_again() -> None:
    async def body(site: Site) -> None:
        site.all_answer(FULL)
        assert isinstance(await site.find(), NoCapacity)
        site.all_answer(IDLE)
        await asyncio.sleep(1)
        assert await site.placed()

    play(Site(3), body)


def test_replica_whose_agent_is_silent_is_used_only_when_no_other_is_heard() -> None:
    async def body(site: Site) -> None:
        site.all_answer(None)
        site.loads['10.0.1.1'] = replace(IDLE, running=14)
        began = asyncio.get_running_loop().time()
        for _ in range(20):
            assert await site.placed() == '10.0.1.1'
        # The silent one was waited for once, and not for long beside one that answers.
        assert asyncio.get_running_loop().time() - began <= REPLY_TIMEOUT_S + 20 * WAY_S
        assert site.asked.count('10.0.1.0') == 1
        site.loads['10.0.1.1'] = None
        assert await site.placed() in {'10.0.1.0', '10.0.1.1'}
        await asyncio.sleep(NO_REPLY_BACKOFF_S)
        site.loads['10.0.1.0'] = IDLE
        assert await site.placed() == '10.0.1.0'

    play(Site(2), body)


def test_routes_of_one_service_find_places_by_its_usual_objective() -> None:
    async def body(site: Site) -> None:
        site.all_answer(replace(FULL, running=15, waiting=1))
        for route in (ROUTE, QUICK):
            assert await site.placed(route=route)

    play(Site(2), body)


def test_engines_with_weights_that_are_too_old_are_asked_whether_they_have_newer_ones() -> None:
    async def body(site: Site) -> None:
        now = asyncio.get_running_loop().time()
        site.entry_state.versions.declare(DeclaredVersion('m', 2), now - 60)
        with pytest.raises(RequestError) as caught:
            await site.find()
        assert caught.value.code is Code.no_replica
        assert len(site.asked) == UNCERTAIN
        # The list is late; one agent has told of its load.
        loaded = replace(IDLE, version=2)
        site.loads['10.0.1.4'] = loaded
        site.reservations.handle_load(loaded, site.replicas, Endpoint('10.0.1.4', 7700))
        found = await site.find()
        assert isinstance(found, Assignment)
        assert (found.candidate.replica.id, found.candidate.version) == ('m-4', 2)

    play(Site(5), body)


def test_engine_that_loads_gets_no_request() -> None:
    async def body(site: Site) -> None:
        site.loads['10.0.1.0'] = replace(IDLE, loading=True)
        for _ in range(20):
            assert await site.placed() == '10.0.1.1'

    play(Site(2), body)


def test_answer_of_another_incarnation_or_host_is_not_that_of_the_engine() -> None:
    async def body(site: Site) -> None:
        site.loads['10.0.1.0'] = replace(IDLE, born_ms=BORN_MS + 1)
        for _ in range(5):
            assert await site.placed() == '10.0.1.1'

    play(Site(2), body)
