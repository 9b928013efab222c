"""Tests of the outstanding work that an agent derives from announcements and engine reports.

Guards against engines that are chosen by the number of their requests although these are about to
end or have just begun, and against work of requests that have ended or were never sent.
"""

from __future__ import annotations

import pytest
from modelled_engine import ENGINE

from cassiahitch.direct.placement.load import slot_occupancy_s
from cassiahitch.direct.staging.announcedrequests import ARRIVAL_S, MAX_REQUESTS, AnnouncedRequests
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import EngineLoad, EngineWork, PlaceQuery, RequestCost
from cassiahitch.wire.datagrams import encode_datagram
from cassiahitch.wire.structs import MAX_INT32

ENTRY = Endpoint('10.1.0.1', 7700)
POLL_S = 0.1


def announce(
    announced: AnnouncedRequests, number: int, prompt: int, output: int, now: float = 0
) -> None:
    query = PlaceQuery(number, prompt, costs=(RequestCost(output),))
    announced.announce(ENTRY, query, now)


def apply_reports(announced: AnnouncedRequests, running: int, began: float, until: float) -> None:
    """Apply reports of an engine whose numbers of requests do not change."""
    now = began
    while now < until:
        announced.apply_report(ENGINE, running, 0, 1, now)
        now += POLL_S


def test_running_requests_have_less_left_the_longer_they_run() -> None:
    announced = AnnouncedRequests()
    for number in range(4):
        announce(announced, number, 500, 100)
    announced.apply_report(ENGINE, 4, 0, 1, 0)
    fresh = announced.work(0)[0]
    apply_reports(announced, 4, 0, slot_occupancy_s(ENGINE, 1, 4) / 2)
    later = announced.work(0)[0]
    assert later.remaining_tokens < fresh.remaining_tokens
    apply_reports(announced, 4, 0, 60)
    overdue = announced.work(0)[0]
    assert 0 < overdue.remaining_tokens < later.remaining_tokens


def test_engine_whose_requests_are_long_has_more_work_than_one_with_as_many_short_ones() -> None:
    long, short = AnnouncedRequests(), AnnouncedRequests()
    for number in range(4):
        announce(long, number, 500, 300)
        announce(short, number, 500, 30)
    for announced in (long, short):
        announced.apply_report(ENGINE, 4, 0, 1, POLL_S)
    assert long.work(0)[0].remaining_tokens > 5 * short.work(0)[0].remaining_tokens


def test_ended_request_is_the_one_that_wrote_most_beyond_its_expectation() -> None:
    announced = AnnouncedRequests()
    announce(announced, 1, 500, 300)
    announce(announced, 2, 500, 30)
    apply_reports(announced, 2, 0, 1)
    announced.apply_report(ENGINE, 1, 0, 1, 1)
    assert [request.output_tokens for request in announced.requests.values()] == [300]


def test_request_on_its_way_is_not_taken_for_one_that_has_ended() -> None:
    announced = AnnouncedRequests()
    announce(announced, 1, 500, 100)
    announced.apply_report(ENGINE, 0, 0, 1, ARRIVAL_S / 2)
    assert len(announced.requests) == 1
    announced.apply_report(ENGINE, 0, 0, 1, 2 * ARRIVAL_S)
    assert not announced.requests


def test_released_request_is_no_work() -> None:
    announced = AnnouncedRequests()
    announce(announced, 1, 500, 100)
    announced.release(ENTRY, 1)
    announced.release(ENTRY, 1)
    assert not announced.requests


def test_prompts_of_waiting_requests_are_those_of_the_latest_ones() -> None:
    announced = AnnouncedRequests()
    announce(announced, 1, 100, 100)
    announce(announced, 2, 3000, 100)
    announce(announced, 3, 700, 100)
    announced.apply_report(ENGINE, 1, 0, 1, 0)
    assert announced.work(0)[0].prompt_tokens == 0
    assert announced.work(2)[0].prompt_tokens == 3700


@pytest.mark.parametrize(('announced', 'is_known'), [(0, False), (2, False), (3, True)])
def test_work_is_reported_only_if_that_of_most_requests_is_known(
    announced: int, *, is_known: bool
) -> None:
    requests = AnnouncedRequests()
    for number in range(announced):
        announce(requests, number, 500, 100)
    requests.apply_report(ENGINE, 4, 0, 1, 0)
    assert bool(requests.work(1)) == is_known


def test_queries_of_entries_that_name_no_cost_are_not_counted() -> None:
    announced = AnnouncedRequests()
    announced.announce(ENTRY, PlaceQuery(1, 500), 0)
    announced.apply_report(None, 1, 0, 1, 0)
    assert announced.work(0) == ()


def test_work_of_any_announcement_fits_into_a_message() -> None:
    announced = AnnouncedRequests()
    for number in range(2 * MAX_REQUESTS):
        announce(announced, number, MAX_INT32, MAX_INT32)
    announce(announced, 0, -5, -5)
    announced.apply_report(ENGINE, 1, 0, 0, 0)
    assert len(announced.requests) == MAX_REQUESTS
    work = announced.work(10 * MAX_REQUESTS // 6)
    assert encode_datagram(EngineLoad(work=work))


def test_restarted_engine_has_no_work() -> None:
    announced = AnnouncedRequests()
    announce(announced, 1, 500, 100)
    apply_reports(announced, 1, 0, 1)
    announced.apply_report(ENGINE, 0, 0, 1, 1)
    assert announced.work(0) == ()
    assert announced.work(1) == ()


def test_long_requests_that_wait_count_as_well() -> None:
    short, long = AnnouncedRequests(), AnnouncedRequests()
    for announced, output in ((short, 30), (long, 300)):
        announce(announced, 1, 500, 100)
        announce(announced, 2, 500, output)
        announced.apply_report(ENGINE, 1, 0, 1, 0)
    assert short.work(1)[0].remaining_tokens < long.work(1)[0].remaining_tokens


def test_work_of_a_single_request_is_its_expected_rest() -> None:
    announced = AnnouncedRequests()
    announce(announced, 1, 400, 100)
    announced.apply_report(ENGINE, 1, 0, 1, 0)
    assert announced.work(0) == (EngineWork(170, 0),)
