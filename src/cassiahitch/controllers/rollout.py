"""Rollouts: compares declared deployments with observed hosts and orders the difference."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from hashlib import sha256
from typing import TYPE_CHECKING

from cassiahitch.controllers.assignment import ObservedNode, assign_hosts
from cassiahitch.resources.models import Adapter, Deployment, Model, Objective

if TYPE_CHECKING:
    from cassiahitch.resources.models import Resource


#: Seconds within which heartbeats show the effect of an order.
OBSERVATION_DELAY_S = 3.0


@dataclass(frozen=True, slots=True)
class Target:
    """The weights that the hosts of a deployment are to load.

    ``digest`` is the serving digest of the model with its adapters.
    """

    deployment: str
    digest: str
    manifests: tuple[str, ...]
    objective: Objective


@dataclass(frozen=True, slots=True)
class WritePlan:
    """Write the distribution plan of a manifest, which fixes its participants."""

    manifest: str
    objective: Objective
    participants: tuple[ObservedNode, ...]


@dataclass(frozen=True, slots=True)
class OrderFetch:
    """Order to a host: fetch the chunks of a manifest as planned."""

    host: str
    incarnation: int
    deployment: str
    manifest: str
    plan: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class OrderLoad:
    """Order to a host: load a target and serve its deployment."""

    host: str
    incarnation: int
    target: Target
    fencing_number: int


@dataclass(frozen=True, slots=True)
class OrderRelease:
    """Order to a host: stop serving a deployment."""

    host: str
    incarnation: int
    deployment: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class OrderCancel:
    """Order to a host: cancel the load of a digest that is no longer declared."""

    host: str
    incarnation: int
    digest: str
    fencing_number: int


RolloutAction = WritePlan | OrderFetch | OrderLoad | OrderRelease | OrderCancel

#: Selects the hosts that may load now. Arguments: the target, all hosts of its deployment, and
#: the candidates, which have all chunks and do not load yet.
LoadSelector = Callable[
    [Target, tuple[ObservedNode, ...], tuple[ObservedNode, ...]],
    tuple[ObservedNode, ...],
]


def select_half(
    target: Target,
    hosts: tuple[ObservedNode, ...],
    candidates: tuple[ObservedNode, ...],
) -> tuple[ObservedNode, ...]:
    """Select candidates so that at least half of the serving replicas keep serving.

    Hosts that serve nothing may load at once.

    :param target: the weights to load.
    :param hosts: all hosts of the deployment.
    :param candidates: the hosts that have all chunks and do not load yet.
    :return: the hosts that may load now.
    """
    idle = tuple(node for node in candidates if not node.loaded)
    replacing = tuple(node for node in candidates if node.loaded)
    loading = sum(1 for node in hosts if node.loading)
    serving = sum(1 for node in hosts if node.loaded and not node.loading)
    spare = (serving + loading) // 2 - loading
    if serving == 1 and not loading and len(hosts) == 1:
        spare = 1
    return (*idle, *replacing[: max(0, spare)])


@dataclass(frozen=True, slots=True)
class _OrderedLoad:
    """A load that was ordered at a time in seconds."""

    digest: str
    at: float


class RolloutController:
    """Issues the orders that bring observed hosts to the declared deployments.

    It keeps no state but the loads of the last ``OBSERVATION_DELAY_S`` seconds, which
    heartbeats may not show yet. A new lease holder lacks those of the former one, so it waits
    for the same time before it orders its first load.
    """

    def __init__(self, started_at: float, select_loads: LoadSelector = select_half) -> None:
        """Create the controller.

        :param started_at: monotonic time in seconds at which the lease was acquired.
        :param select_loads: selects the hosts that may load now.
        """
        self.select_loads = select_loads
        self.started_at = started_at
        self.ordered_loads: dict[tuple[str, int], _OrderedLoad] = {}

    def reconcile(
        self,
        resources: Mapping[str, Resource],
        nodes: tuple[ObservedNode, ...],
        plans: Mapping[str, str],
        fencing_number: int,
        now: float,
    ) -> tuple[RolloutAction, ...]:
        """Return the orders that bring the hosts closer to the declared deployments.

        Orders are idempotent and are repeated until their effect is observed, so a new lease
        holder continues where the former one stopped.

        :param resources: the configuration in force, by key.
        :param nodes: the observed hosts.
        :param plans: digests of the written plans, by manifest digest.
        :param fencing_number: fencing number of the controllers' lease.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        targets = load_targets(resources)
        deployments = tuple(
            resource
            for resource in resources.values()
            if isinstance(resource, Deployment) and resource.name in targets
        )
        self._expire_ordered_loads(now)
        chosen = assign_hosts(deployments, tuple(self._with_ordered_load(node) for node in nodes))
        actions: list[RolloutAction] = _missing_plans(targets, chosen, plans)
        for name, hosts in chosen.items():
            actions.extend(self._advance(targets[name], hosts, plans, fencing_number, now))
        actions.extend(_withdrawal_orders(targets, chosen, nodes, fencing_number))
        return tuple(actions)

    def _advance(
        self,
        target: Target,
        hosts: tuple[ObservedNode, ...],
        plans: Mapping[str, str],
        fencing_number: int,
        now: float,
    ) -> list[RolloutAction]:
        actions: list[RolloutAction] = []
        ready: list[ObservedNode] = []
        for node in hosts:
            missing = _missing_manifests(target, node)
            actions.extend(_fetch_orders(target, node, missing, plans, fencing_number))
            if not missing and _needs_load(target, node):
                ready.append(node)
        if now < self.started_at + OBSERVATION_DELAY_S:
            return actions
        for chosen in self.select_loads(target, hosts, tuple(ready)):
            self.ordered_loads[chosen.host, chosen.incarnation] = _OrderedLoad(target.digest, now)
            order = OrderLoad(chosen.host, chosen.incarnation, target, fencing_number)
            actions.append(order)
        return actions

    def _with_ordered_load(self, node: ObservedNode) -> ObservedNode:
        """Treat a host as loading from the time of the order, before a heartbeat shows it."""
        ordered = self.ordered_loads.get((node.host, node.incarnation))
        if ordered is None or node.loaded == ordered.digest or node.loading:
            return node
        return replace(node, loading=ordered.digest)

    def _expire_ordered_loads(self, now: float) -> None:
        for key, ordered in tuple(self.ordered_loads.items()):
            if now >= ordered.at + OBSERVATION_DELAY_S:
                self.ordered_loads.pop(key)


def load_targets(resources: Mapping[str, Resource]) -> dict[str, Target]:
    """Return the target of each deployment whose model and adapters exist.

    :param resources: the configuration in force, by key.
    :return: the targets by name of the deployment.
    """
    targets: dict[str, Target] = {}
    for resource in resources.values():
        if isinstance(resource, Deployment):
            manifests = _manifests(resource, resources)
            if manifests:
                digest = serving_digest(manifests)
                targets[resource.name] = Target(
                    resource.name,
                    digest,
                    manifests,
                    resource.objective,
                )
    return targets


def serving_digest(manifests: tuple[str, ...]) -> str:
    """Return the digest that names a model together with its adapters.

    :param manifests: manifest digests, the model's first.
    :return: the model's manifest digest if there is no adapter, else a digest of all.
    """
    if len(manifests) == 1:
        return manifests[0]
    return sha256('\n'.join(manifests).encode()).hexdigest()


def _manifests(deployment: Deployment, resources: Mapping[str, Resource]) -> tuple[str, ...]:
    keys = (f'Model/{deployment.model}', *(f'Adapter/{name}' for name in deployment.adapters))
    parts = tuple(resources.get(key) for key in keys)
    manifests = tuple(part.manifest for part in parts if isinstance(part, Model | Adapter))
    return manifests if len(manifests) == len(keys) else ()


def _missing_plans(
    targets: Mapping[str, Target],
    chosen: Mapping[str, tuple[ObservedNode, ...]],
    plans: Mapping[str, str],
) -> list[RolloutAction]:
    participants: dict[str, dict[str, ObservedNode]] = {}
    objectives: dict[str, Objective] = {}
    for name, hosts in chosen.items():
        for manifest in targets[name].manifests:
            incomplete = {node.host: node for node in hosts if manifest not in node.complete}
            if manifest not in plans and incomplete:
                participants.setdefault(manifest, {}).update(incomplete)
                objectives.setdefault(manifest, targets[name].objective)
    return [
        WritePlan(digest, objectives[digest], tuple(members[host] for host in sorted(members)))
        for digest, members in participants.items()
    ]


def _missing_manifests(target: Target, node: ObservedNode) -> tuple[str, ...]:
    return tuple(digest for digest in target.manifests if digest not in node.complete)


def _fetch_orders(
    target: Target,
    node: ObservedNode,
    missing: tuple[str, ...],
    plans: Mapping[str, str],
    fencing_number: int,
) -> list[RolloutAction]:
    return [
        OrderFetch(
            node.host,
            node.incarnation,
            target.deployment,
            manifest,
            plans[manifest],
            fencing_number,
        )
        for manifest in missing
        if manifest in plans and target.digest not in {node.loaded, node.loading}
    ]


def _needs_load(target: Target, node: ObservedNode) -> bool:
    if target.digest == node.loading:
        return False
    return target.digest != node.loaded or node.deployment != target.deployment


def _withdrawal_orders(
    targets: Mapping[str, Target],
    chosen: Mapping[str, tuple[ObservedNode, ...]],
    nodes: tuple[ObservedNode, ...],
    fencing_number: int,
) -> list[RolloutAction]:
    wanted = {node.host: targets[name].digest for name, hosts in chosen.items() for node in hosts}
    actions: list[RolloutAction] = []
    for node in nodes:
        if node.loading and node.loading != wanted.get(node.host):
            actions.append(OrderCancel(node.host, node.incarnation, node.loading, fencing_number))
        if node.deployment and node.eligible and node.host not in wanted:
            release = OrderRelease(node.host, node.incarnation, node.deployment, fencing_number)
            actions.append(release)
    return actions


__all__ = (
    'OrderCancel',
    'LoadSelector',
    'OrderFetch',
    'OrderLoad',
    'OrderRelease',
    'RolloutAction',
    'RolloutController',
    'Target',
    'WritePlan',
    'select_half',
    'serving_digest',
    'load_targets',
)
