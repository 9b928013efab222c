"""A prompt segment that crashes engines is refused by all entries after a few crashes."""

from __future__ import annotations

import asyncio
import random

import pytest
from direct_callers import run_site_in_virtual_time
from segment_load import (
    COUNTED_CRASHES,
    ENGINES,
    STABLE_S,
    SegmentLoad,
    late_sends,
    prepare_engines,
)

from cassiahitch.standins.directsite import DirectSite, DirectSiteSize

NINE_ENTRIES = DirectSiteSize(entries=9, models=ENGINES, plain=0)
QUIET_S = 3.0
LOAD_S = 14.0
#: Sends with the segment that are allowed after the time in which all entries learn of it.
ALLOWED_SENDS = 3
#: Crashes until all entries refuse the segment: fewer than those from which sends are counted.
MAX_CRASHES = COUNTED_CRASHES - 1


@pytest.mark.parametrize('seed', range(1, 5))
def test_segment_that_crashes_engines_reaches_few_of_them(seed: int) -> None:
    async def body(site: DirectSite) -> None:
        crashes = prepare_engines(site)
        load = SegmentLoad(site, rng=random.Random(seed))
        await load.run(LOAD_S)
        assert 1 <= len(crashes.crashes) <= MAX_CRASHES
        assert late_sends(crashes) <= ALLOWED_SENDS

    run_site_in_virtual_time(body, NINE_ENTRIES)


@pytest.mark.parametrize('seed', range(1, 5))
def test_sound_requests_begin_beside_a_segment_that_crashes_engines(seed: int) -> None:
    async def body(site: DirectSite) -> None:
        crashes = prepare_engines(site)
        load = SegmentLoad(site, crashing_share=0, rng=random.Random(seed))
        await load.run(QUIET_S)
        quiet = load.begun_share(0)
        load.crashing_share = 0.08
        began = asyncio.get_running_loop().time()
        await load.run(LOAD_S)
        assert crashes.crashes
        assert load.begun_share(began + 2 * STABLE_S) >= 0.5 * quiet

    run_site_in_virtual_time(body, NINE_ENTRIES)
