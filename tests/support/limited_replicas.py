"""Load on a site whose replicas name rate limits, and what those replicas received."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from direct_callers import CallerResponse, send_request

from cassiahitch.standins.backends import BackendStandin
from cassiahitch.standins.directsite import DirectSite

#: Path of streams of engines that name limits in their responses only, not in reports to agents.
UNREPORTED_PATH = '/draft/unreported'
#: Length of the windows in which the requests of a limited replica are counted, in seconds.
WINDOW_S = 4.0
#: Seconds after a replica has named a limit from which the windows are counted.
STABLE_S = 3.0
#: The excess over the limit that is allowed in each window: a factor, and a number of requests.
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5


def backends_of(site: DirectSite, path: str) -> list[BackendStandin]:
    """Return the replicas of a path; the engines of one path name no limits in their reports."""
    if not path.startswith('/draft'):
        return site.plain
    for model in site.models:
        model.reports_limit = path != UNREPORTED_PATH
    return site.models


def most_in_window(arrivals: list[float], since: float) -> int:
    """Return the largest number of requests that arrived within a window that begins later."""
    later = [at for at in arrivals if at >= since]
    return max((sum(first <= at < first + WINDOW_S for at in later) for first in later), default=0)


def allowed_in_window(limit_per_s: float) -> float:
    """Return the number of requests that a replica with a limit may get in a window."""
    return EXCESS_FACTOR * limit_per_s * WINDOW_S + EXCESS_REQUESTS


@dataclass
class Load:
    """Sends requests at random times to random entries; ``responses`` holds all responses.

    Entries before ``first_entry`` get none.
    """

    site: DirectSite
    path: str
    per_s: float
    first_entry: int = 0
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    responses: list[CallerResponse] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Send requests for some time, and wait for their responses."""
        clock = asyncio.get_running_loop().time
        began = clock()
        while clock() < began + seconds:
            self.tasks.append(asyncio.create_task(self.send()))
            await asyncio.sleep(self.rng.expovariate(self.per_s))
        await asyncio.gather(*self.tasks)

    async def send(self) -> None:
        """Send one request to a random entry."""
        entry = self.rng.choice(self.site.entries[self.first_entry :])
        self.responses.append(await send_request(entry, self.path))


__all__ = (
    'Load',
    'STABLE_S',
    'UNREPORTED_PATH',
    'allowed_in_window',
    'backends_of',
    'most_in_window',
)
