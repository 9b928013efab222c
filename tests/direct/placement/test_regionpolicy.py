"""Tests of the regions in which requests may be served.

Guards against first sends, retries and resumed streams at replicas of a region that the route or
the organisation of the request excludes, and against requests that wait for such a replica.
"""

from __future__ import annotations

import random
from collections.abc import Coroutine

import pytest
from virtual_loop import virtual_time

from cassiahitch.codes import Code, HasRun
from cassiahitch.direct.api import Call, CallerRequest
from cassiahitch.direct.callers.errorresponses import error_response
from cassiahitch.direct.entrystate import EntryState, make_entry_state
from cassiahitch.direct.placement.assignments import Assignment, PlacementRequest
from cassiahitch.direct.placement.availability import ReplicaAvailability
from cassiahitch.direct.placement.candidates import CandidateFilter
from cassiahitch.direct.placement.placement import Placement
from cassiahitch.direct.placement.plainsearch import PlainSearch
from cassiahitch.direct.placement.regionpolicy import RegionPolicy
from cassiahitch.direct.placement.reservation import ReservationClient
from cassiahitch.direct.placement.search import PlacementSearch
from cassiahitch.direct.state.catalogue import (
    Catalogue,
    Organisation,
    RepeatPolicy,
    Route,
    Service,
    ServiceShare,
)
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.errors import RequestError
from cassiahitch.settings.direct import DirectEntrySettings
from cassiahitch.standins.directsite import make_bounds
from cassiahitch.util.endpoints import Endpoint

REGIONS = ('north', 'east', 'south')


def make_call(route_regions: tuple[str, ...], owner_regions: tuple[str, ...]) -> Call:
    route = Route(
        'status',
        'h',
        '/',
        RepeatPolicy.idempotent,
        1,
        0.2,
        0,
        (ServiceShare('desk', 1),),
        2,
        allowed_regions=frozenset(route_regions),
    )
    owner = Organisation('school', allowed_regions=frozenset(owner_regions))
    request = CallerRequest('GET', '/status', 'h', (), b'', 'a1')
    return Call(request, 0, route=route, service='desk', organisation=owner)


def make_state() -> EntryState:
    settings = DirectEntrySettings(
        name='entry-1',
        address='10.0.0.9',
        region='north',
        failure_domain='north-1',
        regions={f'{region}-1': region for region in REGIONS},
        peer_port=7700,
        store=Endpoint('10.0.0.8', 1),
        bounds=make_bounds(),
        callers=Endpoint('10.0.0.9', 2),
        readiness=Endpoint('10.0.0.9', 3),
        directory=Endpoint('10.0.0.9', 4),
    )
    state = make_entry_state(settings, 1, random.Random(1))
    state.apply_configuration(Catalogue(1, (), {'desk': Service('desk', 100)}))
    state.replicas.replace(
        (
            Replica(f'd-{region}', 'desk', Endpoint(f'10.0.{number}.1', 80), f'{region}-1', 6)
            for number, region in enumerate(REGIONS)
        ),
        0,
    )
    return state


def run(body: Coroutine[None, None, None]) -> None:
    with virtual_time(0) as runner:
        runner.run(body)


def make_search(state: EntryState) -> PlacementSearch:
    rng = random.Random(2)
    placement = Placement(rng)
    reservations = ReservationClient(placement, 7700, rate_limits=state.rate_limits)
    candidates = CandidateFilter(state, placement, ReplicaAvailability(rng))
    no_permits: object = None
    plain = PlainSearch(placement, state.rate_limits, no_permits, rng)  # type: ignore[arg-type]
    return PlacementSearch(candidates, placement, reservations, plain, rng)


@pytest.mark.parametrize(
    ('route_regions', 'owner_regions', 'expected'),
    [
        ((), (), set(REGIONS)),
        (('east', 'south'), (), {'east', 'south'}),
        ((), ('north',), {'north'}),
        (('east', 'south'), ('south', 'north'), {'south'}),
        (('east',), ('north',), set()),
    ],
)
def test_route_and_organisation_both_restrict_the_replicas(
    route_regions: tuple[str, ...], owner_regions: tuple[str, ...], expected: set[str]
) -> None:
    policy = RegionPolicy((frozenset(route_regions), frozenset(owner_regions)))
    assert {region for region in REGIONS if policy.allows(region)} == expected
    candidates = make_search(make_state()).candidates
    call = make_call(route_regions, owner_regions)

    async def body() -> None:
        found = {replica.id.removeprefix('d-') for replica in candidates.replicas(call, 0)}
        assert found == expected
        assert candidates.sendable_count(call) == len(expected)

    run(body())


def test_second_send_stays_in_the_allowed_regions() -> None:
    search = make_search(make_state())
    call = make_call(('east', 'south'), ())
    used = []

    async def body() -> None:
        for _ in range(2):
            result = await search.find(call, PlacementRequest(call.require_route(), 0))
            assert isinstance(result, Assignment)
            replica = result.candidate.replica
            call.avoided_replicas.add(replica.key)
            used.append(replica.failure_domain)

    run(body())
    assert sorted(used) == ['east-1', 'south-1']


def test_request_without_a_replica_in_an_allowed_region_is_refused_at_once() -> None:
    state = make_state()
    state.replicas.remove('d-east', 100)
    search = make_search(state)
    call = make_call(('east',), ())

    async def body() -> None:
        await search.find(call, PlacementRequest(call.require_route(), 0))

    with pytest.raises(RequestError) as refused:
        run(body())
    assert refused.value.code is Code.region_unavailable
    assert refused.value.ran is HasRun.no
    assert refused.value.retry_after_s
    assert error_response(refused.value)[0] == 503
