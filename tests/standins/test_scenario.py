"""The whole path over loopback."""

from __future__ import annotations

import asyncio

from cassiahitch.standins.scenario import Progress, Scenario, Tally
from cassiahitch.standins.site import Site, SiteSize


async def roll_out() -> tuple[Tally, list[Progress], Site]:
    shown: list[Progress] = []
    async with Site(SiteSize()) as site:
        tally = await Scenario(site, shown.append).run()
    return tally, shown, site


def test_rollout_completes_while_every_caller_is_answered_correctly() -> None:
    tally, shown, site = asyncio.run(roll_out())
    assert tally.correct > 0
    assert tally.wrong == 0
    assert not tally.failures
    assert sorted(tally.numbers) == list(range(1, len(tally.numbers) + 1))
    assert (shown[-1].version, shown[-1].serving) == ('v2', 6)
    runs = [count for engine in site.backends.engines.values() for count in engine.runs.values()]
    assert max(runs) == 1
