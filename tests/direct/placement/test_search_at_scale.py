"""Tests that the search for places costs the same in any fleet, under overload, in virtual time."""

from __future__ import annotations

from dataclasses import replace
from functools import cache

import pytest
from modelled_engine import ENGINE
from overload_model import Overload, Result

#: Engines with fewer places that are slower, in five regions.
LARGE = replace(ENGINE, slots=8, pass_steps=7, step_s=0.0101, prefill_tokens_per_s=20_400)
SECONDS = 6
#: Requests for a part of what the engines can begin.
CALM = 0.8
OVERLOAD = 1.4
#: Engines and entries.
SMALL = (15, 25)
FLEET = (60, 100)
#: Most datagrams for a request in calm: questions to two engines, answers, and one return, once
#: in each of two rounds.
CALM_DATAGRAMS = 12
#: Bytes of a draft that its caller gets, of which the search may add a tenth to the links.
DRAFT_BYTES = 6000


@cache
def played(size: tuple[int, int], load: float) -> Result:
    engines, entries = size
    run = Overload(load, 1, SECONDS, engines=engines, entries=entries, regions=5, engine=LARGE)
    return run.play()


def datagrams(size: tuple[int, int], load: float) -> float:
    result = played(size, load)
    return result.datagrams / len(result.asked)


@pytest.mark.parametrize('size', [SMALL, FLEET])
def test_search_takes_few_datagrams_in_calm(size: tuple[int, int]) -> None:
    assert datagrams(size, CALM) <= CALM_DATAGRAMS


def test_search_under_overload_takes_no_more_datagrams_as_the_fleet_grows_fourfold() -> None:
    assert datagrams(FLEET, OVERLOAD) <= 1.5 * datagrams(SMALL, OVERLOAD)


def test_overload_of_many_entries_serves_as_many_in_time_as_that_of_few() -> None:
    small, large = played(SMALL, OVERLOAD).in_time, played(FLEET, OVERLOAD).in_time
    assert large >= 0.9 * small


@pytest.mark.parametrize('load', [CALM, OVERLOAD])
def test_search_adds_little_to_the_links_between_regions(load: float) -> None:
    result = played(FLEET, load)
    far_bytes = result.far_bytes / len(result.asked)
    assert far_bytes <= DRAFT_BYTES / 10
