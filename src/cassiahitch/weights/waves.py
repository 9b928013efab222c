"""Waves of loads that keep enough replicas serving."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum
from math import ceil


class LoadPhase(StrEnum):
    """What a replica does for a rollout."""

    empty = 'empty'
    old = 'old'
    loading = 'loading'
    new = 'new'
    failed = 'failed'


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """A live replica; ``ready`` tells that every chunk of the new version is verified.

    A replica that failed to load serves nothing.
    """

    host: str
    failure_domain: str
    phase: LoadPhase
    ready: bool = False


@dataclass(frozen=True, slots=True)
class WaveLimits:
    """The shares of replicas that keep serving, and the failed loads that stop the rollout."""

    min_serving_share: float = 0.66
    min_domain_share: float = 0.5
    failure_limit: int = 2


@dataclass(frozen=True, slots=True)
class OrderLoad:
    """Order a host to load a manifest under the lease's fencing number."""

    host: str
    manifest: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class HaltLoads:
    """Order no further loads, since too many failed."""

    manifest: str
    failed: int


WaveAction = OrderLoad | HaltLoads


def next_wave(
    replicas: tuple[ReplicaState, ...],
    manifest: str,
    fencing_number: int,
    limits: WaveLimits,
) -> tuple[WaveAction, ...]:
    """Decide which hosts load now.

    A replica that serves nothing may load at once. One that serves the old version may load if
    enough others serve, in all and in its failure domain; in a failure domain of a single replica
    only the others in all count. A service of a single replica cannot keep serving, and loads.

    :param replicas: all live replicas of the service.
    :param manifest: the digest of the version to load.
    :param fencing_number: the number of the lease under which the orders are given.
    :param limits: what must keep serving.
    :return: the orders, or the halt.
    """
    failed = sum(replica.phase is LoadPhase.failed for replica in replicas)
    if failed >= limits.failure_limit:
        return (HaltLoads(manifest, failed),)
    wave = _Wave(replicas, limits)
    candidates = sorted(
        (replica for replica in replicas if replica.ready),
        key=lambda replica: (replica.phase is LoadPhase.old, replica.host),
    )
    return tuple(
        OrderLoad(replica.host, manifest, fencing_number)
        for replica in candidates
        if wave.take(replica)
    )


class _Wave:
    """The replicas that serve while a wave is put together."""

    def __init__(self, replicas: tuple[ReplicaState, ...], limits: WaveLimits) -> None:
        domains: dict[str, list[bool]] = defaultdict(list)
        for replica in replicas:
            serving = replica.phase in {LoadPhase.old, LoadPhase.new}
            domains[replica.failure_domain].append(serving)
        self.spare_in = {
            domain: _spare(flags, limits.min_domain_share) if len(flags) > 1 else 1
            for domain, flags in domains.items()
        }
        every = [flag for flags in domains.values() for flag in flags]
        self.spare = _spare(every, limits.min_serving_share) if len(every) > 1 else 1

    def take(self, replica: ReplicaState) -> bool:
        """Take a replica into the wave if enough others keep serving."""
        if replica.phase is LoadPhase.empty:
            return True
        if replica.phase is not LoadPhase.old:
            return False
        if self.spare < 1 or self.spare_in[replica.failure_domain] < 1:
            return False
        self.spare -= 1
        self.spare_in[replica.failure_domain] -= 1
        return True


def _spare(serving: list[bool], share: float) -> int:
    """Return how many of the serving replicas may stop; a pair always spares one."""
    required = min(ceil(len(serving) * share), len(serving) - 1)
    return sum(serving) - required


__all__ = (
    'HaltLoads',
    'LoadPhase',
    'OrderLoad',
    'ReplicaState',
    'WaveAction',
    'WaveLimits',
    'next_wave',
)
