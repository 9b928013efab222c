"""Records when processes had to wait for a processor, from the scheduler statistics in /proc."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from cassiahitch.soak.records import SOAK, Disturbance, Record

#: Seconds between two samples.
SAMPLE_INTERVAL_S = 0.5
#: Share of an interval that a process has to wait for the interval to count as a slow-down.
SLOW_DOWN_SHARE = 0.5
NS_PER_S = 1_000_000_000


@dataclass
class StarvationMonitor:
    """Records slow-downs of the soak and of its processes; ``pids`` returns their ids by name."""

    record: Record
    pids: Callable[[], dict[str, int]]
    wait_times_s: dict[tuple[str, int], float] = field(default_factory=dict)
    sampled_at: float = 0

    async def work(self) -> None:
        """Sample all processes until cancelled, and measure the lag of the event loop."""
        clock = asyncio.get_running_loop().time
        while True:
            self.sample()
            due = clock() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.record.longest_lag_s = max(self.record.longest_lag_s, clock() - due)

    def sample(self) -> None:
        """Record a slow-down for each process that mostly waited since the previous sample."""
        now = asyncio.get_running_loop().time()
        since = self.sampled_at
        self.sampled_at = now
        for process in ((SOAK, os.getpid()), *self.pids().items()):
            wait_time_s = read_cpu_wait_s(process[1])
            previous_s = self.wait_times_s.get(process, wait_time_s)
            self.wait_times_s[process] = wait_time_s
            if wait_time_s - previous_s > SLOW_DOWN_SHARE * (now - since):
                self.record.slow_downs.append(Disturbance(process[0], since, now))


def read_cpu_wait_s(process_id: int) -> float:
    """Return how long a process has waited for a processor since its start.

    :param process_id: id of the process.
    :return: seconds, 0 if the process has ended or the kernel provides no statistics.
    """
    with suppress(OSError):
        fields = Path(f'/proc/{process_id}/schedstat').read_text().split()
        return int(fields[1]) / NS_PER_S
    return 0


__all__ = (
    'StarvationMonitor',
    'read_cpu_wait_s',
)
