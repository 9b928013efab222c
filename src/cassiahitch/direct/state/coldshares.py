"""The share of the cold rate that an entry may use without a permit.

Load pattern: the agent that grants permits for a replica is silent while many callers wait, and all
entries would send to the replica at once. Each entry may then send one request in every interval
of a little more than ``entries / rate``. If unused turns were kept, all entries could use theirs in
the same second, more than the replica survives. Therefore a turn begins at a random time in the
interval of each entry, and expires shortly afterwards. A request that arrives within a turn may
wait for the reply of a silent agent until the turn has expired; it may still use that turn.

Entries learn at different times that another one has joined or left. A share is computed from the
highest count of the last minute, so that an entry that loses contact with the others keeps its
share, and a started entry sends nothing without a permit until the others count it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

#: Seconds after the first count from which this entry uses its share; the others count it by then.
JOIN_DELAY_S = 5.0
#: Seconds for which a turn may be used.
TURN_S = 0.2
#: Fraction of its equal share that an entry uses. Turns are at random times, so that more of them
#: than the mean come together, while other entries may receive permits for the whole rate.
USED_FRACTION = 0.7
#: Seconds of one sample of the number of entries, and the number of samples that count.
SAMPLE_S = 10.0
SAMPLES = 7


@dataclass(slots=True)
class EntryCounts:
    """The highest numbers of live entries of the last minute, by the number of the sample."""

    samples: dict[int, int] = field(default_factory=dict)
    first_at: float | None = None

    def record(self, count: int, now: float) -> None:
        """Record the number of live entries.

        :param count: their number, including this one.
        :param now: current time in seconds.
        """
        if self.first_at is None:
            self.first_at = now
        number = int(now // SAMPLE_S)
        self.samples[number] = max(count, self.samples.get(number, 0))
        for old in tuple(self.samples):
            if old <= number - SAMPLES:
                self.samples.pop(old)

    def highest(self) -> int:
        """Return the highest count of the last minute.

        :return: number of entries, at least 1.
        """
        return max(self.samples.values(), default=1)


@dataclass(slots=True)
class ColdShares:
    """Turns of this entry by the keys of the replicas; ``next_at`` holds when each one begins."""

    rng: random.Random = field(default_factory=random.Random)
    counts: EntryCounts = field(default_factory=EntryCounts)
    next_at: dict[str, float] = field(default_factory=dict)

    def interval_s(self, per_s: float) -> float:
        """Return the time between two turns.

        :param per_s: cold rate of the service, above 0.
        :return: seconds.
        """
        return self.counts.highest() / per_s / USED_FRACTION

    def wait_s(self, key: str, per_s: float, now: float) -> float:
        """Skip expired turns and return the time until the next one.

        :param key: key of the replica.
        :param per_s: cold rate of its service, above 0.
        :param now: current time in seconds.
        :return: seconds, 0 if a request may be sent now.
        """
        interval_s = self.interval_s(per_s)
        next_at = self.next_at.get(key)
        if next_at is None:
            first_at = now if self.counts.first_at is None else self.counts.first_at
            ready_at = max(now, first_at + JOIN_DELAY_S)
            next_at = ready_at + self.rng.uniform(0, interval_s)
        late_s = now - next_at - TURN_S
        if late_s > 0:
            next_at += (late_s // interval_s + 1) * interval_s
        self.next_at[key] = next_at
        return max(0, next_at - now)

    def take(self, key: str, per_s: float, now: float, waited_s: float = 0) -> bool:
        """Use the current turn, or one that has expired while the request waited.

        :param key: key of the replica.
        :param per_s: cold rate of its service, above 0.
        :param now: current time in seconds.
        :param waited_s: seconds for which the request waited for the reply of an agent.
        :return: whether a request may be sent now.
        """
        if self.wait_s(key, per_s, now - waited_s) > waited_s:
            return False
        self.next_at[key] += self.interval_s(per_s)
        return True

    def keep_only(self, keys: frozenset[str]) -> None:
        """Drop the turns of replicas that are no longer registered.

        :param keys: keys of the registered replicas.
        """
        self.next_at = {key: next_at for key, next_at in self.next_at.items() if key in keys}


__all__ = (
    'JOIN_DELAY_S',
    'TURN_S',
    'USED_FRACTION',
    'ColdShares',
    'EntryCounts',
)
