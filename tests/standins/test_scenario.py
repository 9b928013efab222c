"""Test of a rollout under requests on a complete site over loopback."""

from __future__ import annotations

from virtual_loop import virtual_time

from cassiahitch.standins.scenario import CallerResults, Progress, Scenario
from cassiahitch.standins.site import Site, SiteSize


async def roll_out() -> tuple[CallerResults, list[Progress], Site]:
    progress: list[Progress] = []
    async with Site(SiteSize()) as site:
        results = await Scenario(site, progress.append).run()
    return results, progress, site


def test_rollout_completes_while_every_caller_is_answered_correctly() -> None:
    # In real time, a busy machine may stop all hosts of the site at once for longer than a timeout.
    with virtual_time() as runner:
        results, progress, site = runner.run(roll_out())
    assert results.correct > 0
    assert results.wrong == 0
    assert not results.failures
    assert sorted(results.numbers) == list(range(1, len(results.numbers) + 1))
    assert (progress[-1].version, progress[-1].serving) == ('v2', 6)
    runs = [count for engine in site.backends.engines.values() for count in engine.runs.values()]
    assert max(runs) == 1
