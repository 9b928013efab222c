"""Chooses the hosts that may load now, so that enough replicas serve."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.weights.waves import LoadPhase, OrderLoad, ReplicaState, WaveLimits, next_wave

if TYPE_CHECKING:
    from cassiahitch.controllers.assignment import ObservedNode
    from cassiahitch.controllers.rollout import Target

#: Loads of one version that a host may fail before it counts as failed.
MAX_LOAD_ATTEMPTS = 3


class WaveLoadSelector:
    """Remembers which loads it let through; a host that comes again has failed to load."""

    def __init__(self, limits: WaveLimits | None = None) -> None:
        """Create a gate that has let nothing through.

        :param limits: what must keep serving, and how many failures stop a rollout.
        """
        self.limits = limits or WaveLimits()
        self.load_counts: dict[tuple[str, int, str], int] = {}

    def __call__(
        self,
        target: Target,
        hosts: tuple[ObservedNode, ...],
        candidates: tuple[ObservedNode, ...],
    ) -> tuple[ObservedNode, ...]:
        """Choose the hosts that may load.

        :param target: what is to be loaded.
        :param hosts: all hosts of the deployment.
        :param candidates: those that are complete and do not load.
        :return: those that may load now; none once too many have failed.
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
        """Forget the loads of other versions and those that succeeded."""
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
