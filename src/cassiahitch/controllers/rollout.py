"""Rollouts: from desired deployments to orders for hosts."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from hashlib import sha256
from typing import TYPE_CHECKING

from cassiahitch.controllers.assignment import ObservedNode, assign_hosts
from cassiahitch.resources.models import Adapter, Deployment, Model, Objective

if TYPE_CHECKING:
    from cassiahitch.resources.models import Resource


#: Seconds after which the effect of an order shows in the heartbeats.
OBSERVATION_DELAY_S = 3.0


@dataclass(frozen=True, slots=True)
class Target:
    """What the hosts of a deployment are to load.

    ``digest`` names the whole; it is the model's manifest digest if there is no adapter.
    """

    deployment: str
    digest: str
    manifests: tuple[str, ...]
    objective: Objective


@dataclass(frozen=True, slots=True)
class WritePlan:
    """Write the plan that fixes the participants of a manifest's distribution."""

    manifest: str
    objective: Objective
    participants: tuple[ObservedNode, ...]


@dataclass(frozen=True, slots=True)
class OrderFetch:
    """Order a host to fetch the chunks of a manifest by a plan."""

    host: str
    incarnation: int
    deployment: str
    manifest: str
    plan: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class OrderLoad:
    """Order a host to load a target and to serve its deployment."""

    host: str
    incarnation: int
    target: Target
    fencing_number: int


@dataclass(frozen=True, slots=True)
class OrderRelease:
    """Order a host to serve a deployment no longer."""

    host: str
    incarnation: int
    deployment: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class OrderCancel:
    """Order a host to give up the load of a digest that is no longer wanted."""

    host: str
    incarnation: int
    digest: str
    fencing_number: int


RolloutAction = WritePlan | OrderFetch | OrderLoad | OrderRelease | OrderCancel

#: Chooses from the hosts that are complete those that may load now, given all of the target.
LoadSelector = Callable[
    [Target, tuple[ObservedNode, ...], tuple[ObservedNode, ...]],
    tuple[ObservedNode, ...],
]


def select_half(
    target: Target,
    hosts: tuple[ObservedNode, ...],
    candidates: tuple[ObservedNode, ...],
) -> tuple[ObservedNode, ...]:
    """Keep at least half of the replicas that serve; idle hosts load at once.

    :param target: what is to be loaded.
    :param hosts: all hosts of the deployment.
    :param candidates: those that are complete and do not load yet.
    :return: those that may load now.
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
    """A load that was ordered."""

    digest: str
    at: float


class RolloutController:
    """Compares what is desired with what is observed.

    It remembers only which loads it ordered in the last seconds, since their effect is not
    observed yet; a new holder of the lease waits as long before its first one.
    """

    def __init__(self, started_at: float, select_loads: LoadSelector = select_half) -> None:
        """Create the controller.

        :param started_at: the moment when its lease was gained, seconds.
        :param select_loads: chooses the hosts that may load now.
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
        """Return the orders that bring the hosts nearer to what is desired.

        Orders are idempotent and are given again until their effect is observed, so a new
        holder of the lease goes on where the former one stopped.

        :param resources: the configuration in force, by key.
        :param nodes: the hosts.
        :param plans: digests of the plans that are written, by manifest digest.
        :param fencing_number: number of the controller's lease.
        :param now: seconds.
        :return: the actions.
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
        """Count a host as loading from the moment when that was ordered."""
        ordered = self.ordered_loads.get((node.host, node.incarnation))
        if ordered is None or node.loaded == ordered.digest or node.loading:
            return node
        return replace(node, loading=ordered.digest)

    def _expire_ordered_loads(self, now: float) -> None:
        for key, ordered in tuple(self.ordered_loads.items()):
            if now >= ordered.at + OBSERVATION_DELAY_S:
                self.ordered_loads.pop(key)


def load_targets(resources: Mapping[str, Resource]) -> dict[str, Target]:
    """Return what each deployment is to load.

    :param resources: the configuration in force, by key.
    :return: targets by the names of deployments whose model and adapters exist.
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
    """Name the whole of a model and its adapters.

    :param manifests: manifest digests, the model's first.
    :return: the model's manifest digest if it is alone, else a digest of all.
    """
    if len(manifests) == 1:
        return manifests[0]
    return sha256('\n'.join(manifests).encode()).hexdigest()


def _manifests(deployment: Deployment, resources: Mapping[str, Resource]) -> tuple[str, ...]:
    keys = (f'Model/{deployment.model}', *(f'Adapter/{name}' for name in deployment.adapters))
    parts = tuple(resources.get(key) for key in keys)
    targets = tuple(part.manifest for part in parts if isinstance(part, Model | Adapter))
    return targets if len(targets) == len(keys) else ()


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
