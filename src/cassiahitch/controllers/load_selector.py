"""Selection of the hosts that may load weights now, in waves that keep enough replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.weights.waves import LoadPhase, OrderLoad, ReplicaState, WaveLimits, next_wave

if TYPE_CHECKING:
    from cassiahitch.controllers.assignment import ObservedNode
    from cassiahitch.controllers.rollout import Target

#: Load attempts of one version after which a host that is still not serving it has failed.
MAX_LOAD_ATTEMPTS = 3


class WaveLoadSelector:
    """Selects hosts in waves and counts the loads that it allowed on each.

    A host that is a candidate again for the same version has failed the load before.
    """

    def __init__(self, limits: WaveLimits | None = None) -> None:
        """Create a selector that has allowed no load yet.

        :param limits: shares that must keep serving, and failures that stop a rollout.
        """
        self.limits = limits or WaveLimits()
        self.load_counts: dict[tuple[str, int, str], int] = {}

    def __call__(
        self,
        target: Target,
        hosts: tuple[ObservedNode, ...],
        candidates: tuple[ObservedNode, ...],
    ) -> tuple[ObservedNode, ...]:
        """Select the hosts that may load now.

        :param target: the weights to load.
        :param hosts: all hosts of the deployment.
        :param candidates: the hosts that have all chunks and do not load yet.
        :return: the selected hosts; none once too many hosts have failed.
        """
        self._drop_stale_counts(target, hosts)
        ready = {node.host: node for node in candidates}
        replicas = tuple(self._replica_state(target, node, node.host in ready) for node in hosts)
        wave = next_wave(replicas, target.digest, 0, self.limits)
        chosen = tuple(ready[order.host] for order in wave if isinstance(order, OrderLoad))
        for node in chosen:
            key = _key(target, node)
            self.load_counts[key] = self.load_counts.get(key, 0) + 1
        return chosen

    def _replica_state(self, target: Target, node: ObservedNode, ready: bool) -> ReplicaState:
        phase = _phase(target, node)
        failures = self.load_counts.get(_key(target, node), 0) if ready else 0
        if failures >= MAX_LOAD_ATTEMPTS:
            phase = LoadPhase.failed
        return ReplicaState(node.host, node.failure_domain, phase, ready)

    def _drop_stale_counts(self, target: Target, hosts: tuple[ObservedNode, ...]) -> None:
        """Drop the counts of other versions and of loads that succeeded."""
        current = {_key(target, node) for node in hosts if node.loaded != target.digest}
        deployment_hosts = {node.host for node in hosts}
        for key in tuple(self.load_counts):
            if key[0] in deployment_hosts and key not in current:
                self.load_counts.pop(key)


def _key(target: Target, node: ObservedNode) -> tuple[str, int, str]:
    return (node.host, node.incarnation, target.digest)


def _phase(target: Target, node: ObservedNode) -> LoadPhase:
    if node.loading:
        return LoadPhase.loading
    if not node.loaded:
        return LoadPhase.empty
    served = node.loaded == target.digest and node.deployment == target.deployment
    return LoadPhase.new if served else LoadPhase.old


__all__ = ('WaveLoadSelector',)
