"""Times in which the kernel let a process wait for a processor, as its own figures say."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from cassiahitch.soak.records import SOAK, Disturbance, Record

#: Seconds between two looks.
LOOK_S = 0.5
#: Part of the time between two looks from which waiting counts as a slow-down.
WAITED_PART = 0.5
NS_PER_S = 1_000_000_000


@dataclass
class StarvationMonitor:
    """Notes slow-downs of processes; ``pids`` returns their ids by name."""

    record: Record
    pids: Callable[[], dict[str, int]]
    waited_s: dict[tuple[str, int], float] = field(default_factory=dict)
    sampled_at: float = 0

    async def work(self) -> None:
        """Look until cancelled."""
        clock = asyncio.get_running_loop().time
        while True:
            self.sample()
            due = clock() + LOOK_S
            await asyncio.sleep(LOOK_S)
            self.record.longest_lag_s = max(self.record.longest_lag_s, clock() - due)

    def sample(self) -> None:
        """Compare what each process has waited with the last look."""
        now = asyncio.get_running_loop().time()
        since = self.sampled_at
        self.sampled_at = now
        for process in ((SOAK, os.getpid()), *self.pids().items()):
            waited_s = read_cpu_wait_s(process[1])
            before_s = self.waited_s.get(process, waited_s)
            self.waited_s[process] = waited_s
            if waited_s - before_s > WAITED_PART * (now - since):
                self.record.slow_downs.append(Disturbance(process[0], since, now))


def read_cpu_wait_s(process_id: int) -> float:
    """Return how long a process has waited for a processor since its start.

    :param process_id: its id.
    :return: seconds, 0 if it is gone or the kernel does not say.
    """
    with suppress(OSError):
        fields = Path(f'/proc/{process_id}/schedstat').read_text().split()
        return int(fields[1]) / NS_PER_S
    return 0


__all__ = (
    'StarvationMonitor',
    'read_cpu_wait_s',
)
