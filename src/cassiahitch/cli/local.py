"""The ``local`` command, which runs a complete site in one process as a demonstration."""

from __future__ import annotations

import asyncio
import time

from rich.console import Console
from rich.progress import Progress as Display

from cassiahitch.standins.scenario import CallerResults, Progress, Scenario
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
        results = asyncio.run(_run_local(SiteSize(entries, hosts), display))
    elapsed_s = time.monotonic() - started
    return _report(console, results, elapsed_s)


async def _run_local(size: SiteSize, display: Display) -> CallerResults:
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


def _report(console: Console, results: CallerResults, elapsed_s: float) -> int:
    duplicates = len(results.numbers) - len(set(results.numbers))
    console.print(f'every replica serves v2 after {elapsed_s:.1f} s')
    console.print(
        f'{results.correct} right answers, {results.wrong} wrong, {duplicates} doubled numbers, '
        f'{sum(results.failures.values())} failures {dict(results.failures)}',
    )
    passed = results.correct > 0 and not (results.wrong or duplicates or results.failures)
    return 0 if passed else 1


__all__ = ('local',)
