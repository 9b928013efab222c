"""Selection of the replicas that load a new version while enough others keep serving."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum
from math import ceil


class LoadPhase(StrEnum):
    """State of a replica during a rollout: the version that it serves, if any."""

    empty = 'empty'
    old = 'old'
    loading = 'loading'
    new = 'new'
    failed = 'failed'


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """A live replica; ``ready`` is whether every chunk of the new version is verified.

    A replica whose load failed serves no version.
    """

    host: str
    failure_domain: str
    phase: LoadPhase
    ready: bool = False


@dataclass(frozen=True, slots=True)
class WaveLimits:
    """Minimum shares of replicas that keep serving, and failed loads that halt a rollout."""

    min_serving_share: float = 0.66
    min_domain_share: float = 0.5
    failure_limit: int = 2


@dataclass(frozen=True, slots=True)
class OrderLoad:
    """Order a host to load a manifest, with the fencing number of the lease."""

    host: str
    manifest: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class HaltLoads:
    """Stop ordering loads because too many have failed."""

    manifest: str
    failed: int


WaveAction = OrderLoad | HaltLoads


def next_wave(
    replicas: tuple[ReplicaState, ...],
    manifest: str,
    fencing_number: int,
    limits: WaveLimits,
) -> tuple[WaveAction, ...]:
    """Select the hosts that load now.

    A replica that serves no version may load immediately. A replica that serves the old version
    may load if enough others keep serving, both in total and in its failure domain; if it is the
    only one in its failure domain, just the total counts. The only replica of a service loads
    although the service is interrupted meanwhile.

    :param replicas: all live replicas of the service.
    :param manifest: digest of the manifest to load.
    :param fencing_number: fencing number of the lease under which the orders are issued.
    :param limits: shares that must keep serving, and the limit of failures.
    :return: the load orders, or a single halt.
    """
    failed = sum(replica.phase is LoadPhase.failed for replica in replicas)
    if failed >= limits.failure_limit:
        return (HaltLoads(manifest, failed),)
    capacity = _WaveCapacity(replicas, limits)
    candidates = sorted(
        (replica for replica in replicas if replica.ready),
        key=lambda replica: (replica.phase is LoadPhase.old, replica.host),
    )
    return tuple(
        OrderLoad(replica.host, manifest, fencing_number)
        for replica in candidates
        if capacity.reserve(replica)
    )


class _WaveCapacity:
    """Number of serving replicas that may still be interrupted while a wave is selected."""

    def __init__(self, replicas: tuple[ReplicaState, ...], limits: WaveLimits) -> None:
        domains: dict[str, list[bool]] = defaultdict(list)
        for replica in replicas:
            serving = replica.phase in {LoadPhase.old, LoadPhase.new}
            domains[replica.failure_domain].append(serving)
        self.spare_by_domain = {
            domain: _spare_count(flags, limits.min_domain_share) if len(flags) > 1 else 1
            for domain, flags in domains.items()
        }
        serving_flags = [flag for flags in domains.values() for flag in flags]
        self.spare = (
            _spare_count(serving_flags, limits.min_serving_share) if len(serving_flags) > 1 else 1
        )

    def reserve(self, replica: ReplicaState) -> bool:
        """Return whether a replica may load, and if it was serving, count it as interrupted."""
        if replica.phase is LoadPhase.empty:
            return True
        if replica.phase is not LoadPhase.old:
            return False
        if self.spare < 1 or self.spare_by_domain[replica.failure_domain] < 1:
            return False
        self.spare -= 1
        self.spare_by_domain[replica.failure_domain] -= 1
        return True


def _spare_count(serving: list[bool], share: float) -> int:
    """Return how many serving replicas may be interrupted; of two replicas, one always may."""
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
