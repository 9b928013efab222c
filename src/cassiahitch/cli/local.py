"""The ``local`` command, which runs a complete site in one process as a demonstration."""

from __future__ import annotations

import asyncio
import time

from rich.console import Console
from rich.progress import Progress as Display

from cassiahitch.standins.scenario import Progress, Scenario, Tally
from cassiahitch.standins.site import Site, SiteSize


def local(*, entries: int = 3, hosts: int = 6) -> int:
    """Roll out a model over loopback while the site serves callers.

    :param entries: number of entries.
    :param hosts: number of hosts with model engines.
    :return: 0 if every replica serves the new version and every response was correct.
    """
    console = Console()
    started = time.monotonic()
    with Display(console=console) as display:
        tally = asyncio.run(_run_local(SiteSize(entries, hosts), display))
    elapsed_s = time.monotonic() - started
    return _report(console, tally, elapsed_s)


async def _run_local(size: SiteSize, display: Display) -> Tally:
    async with Site(size) as site:
        bars = _Bars(display)
        return await Scenario(site, bars.show).run()


class _Bars:
    """A progress bar for each version."""

    def __init__(self, display: Display) -> None:
        self.display = display
        self.tasks: dict[str, object] = {}

    def show(self, progress: Progress) -> None:
        """Update the progress bar of a version.

        :param progress: the progress of the rollout of that version.
        """
        text = f'{progress.version}: {progress.chunks} chunks, {progress.answers} right answers'
        if progress.version not in self.tasks:
            self.tasks[progress.version] = self.display.add_task(text, total=progress.replicas)
        self.display.update(
            self.tasks[progress.version],  # type: ignore[arg-type]
            completed=progress.serving,
            description=text,
        )


def _report(console: Console, tally: Tally, elapsed_s: float) -> int:
    duplicates = len(tally.numbers) - len(set(tally.numbers))
    console.print(f'every replica serves v2 after {elapsed_s:.1f} s')
    console.print(
        f'{tally.correct} right answers, {tally.wrong} wrong, {duplicates} doubled numbers, '
        f'{sum(tally.failures.values())} failures {dict(tally.failures)}',
    )
    passed = tally.correct > 0 and not (tally.wrong or duplicates or tally.failures)
    return 0 if passed else 1


__all__ = ('local',)
