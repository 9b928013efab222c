"""Assignment of hosts to deployments."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from functools import partial
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahitch.resources.models import Deployment

#: Bytes of the hash that ranks the hosts of a deployment.
HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class ObservedNode:
    """The state of a backend server host, as its heartbeats report it.

    ``deployment`` is the deployment that it was last ordered to serve, ``loaded`` and
    ``loading`` are serving digests, and ``complete`` holds the digests of the manifests whose
    chunks are all on the host and verified.
    """

    host: str
    incarnation: int
    region: str
    failure_domain: str
    deployment: str = ''
    loaded: str = ''
    loading: str = ''
    complete: frozenset[str] = frozenset()
    draining: bool = False
    ready: bool = True

    @property
    def eligible(self) -> bool:
        """Whether the host may be assigned to a deployment."""
        return self.ready and not self.draining


def assign_hosts(
    deployments: Iterable[Deployment],
    nodes: Iterable[ObservedNode],
) -> dict[str, tuple[ObservedNode, ...]]:
    """Assign hosts to all deployments, spread over failure domains.

    A host stays with the deployment that it serves. Further hosts are chosen by rendezvous
    hashing, so that controllers that observe the same hosts make the same assignment.

    :param deployments: the declared deployments.
    :param nodes: the observed hosts.
    :return: the hosts by name of the deployment; fewer than declared if too few are eligible.
    """
    by_name = sorted(deployments, key=_deployment_name)
    by_deployment = _group_by_deployment(nodes)
    unassigned: list[ObservedNode] = []
    chosen: dict[str, tuple[ObservedNode, ...]] = {}
    for assigned in by_name:
        serving = by_deployment.pop(assigned.name, [])
        chosen[assigned.name] = _fill_by_domain(assigned, serving, ())
        unassigned.extend(_without(serving, chosen[assigned.name]))
    for others in by_deployment.values():
        unassigned.extend(others)
    for deployment in by_name:
        chosen[deployment.name] = _fill_by_domain(deployment, unassigned, chosen[deployment.name])
        unassigned = _without(unassigned, chosen[deployment.name])
    return chosen


def rendezvous_rank(deployment: str, host: str) -> bytes:
    """Return the rendezvous hash of a host for a deployment; the lowest is preferred.

    :param deployment: name of the deployment.
    :param host: the host.
    :return: the hash.
    """
    return blake2b(f'{deployment}\n{host}'.encode(), digest_size=HASH_BYTES).digest()


def _deployment_name(deployment: Deployment) -> str:
    return deployment.name


def _group_by_deployment(nodes: Iterable[ObservedNode]) -> dict[str, list[ObservedNode]]:
    groups: dict[str, list[ObservedNode]] = {}
    for node in nodes:
        if node.eligible:
            groups.setdefault(node.deployment, []).append(node)
    return groups


def _without(nodes: list[ObservedNode], chosen: tuple[ObservedNode, ...]) -> list[ObservedNode]:
    chosen_hosts = {node.host for node in chosen}
    return [node for node in nodes if node.host not in chosen_hosts]


def _node_rank(deployment: str, node: ObservedNode) -> bytes:
    return rendezvous_rank(deployment, node.host)


def _fill_by_domain(
    deployment: Deployment,
    candidates: list[ObservedNode],
    kept: tuple[ObservedNode, ...],
) -> tuple[ObservedNode, ...]:
    """Add the best ranked candidate of the least filled domain until there are enough."""
    allowed = deployment.failure_domains
    domains: dict[str, list[ObservedNode]] = {}
    for candidate in candidates:
        if not allowed or candidate.failure_domain in allowed:
            domains.setdefault(candidate.failure_domain, []).append(candidate)
    by_rank = partial(_node_rank, deployment.name)
    for queue in domains.values():
        queue.sort(key=by_rank, reverse=True)
    counts = Counter(node.failure_domain for node in kept)
    chosen = list(kept)
    while domains and len(chosen) < deployment.replicas:
        domain = min((counts[name], name) for name in domains)[1]
        chosen.append(domains[domain].pop())
        counts[domain] += 1
        if not domains[domain]:
            domains.pop(domain)
    return tuple(chosen)


__all__ = (
    'ObservedNode',
    'assign_hosts',
    'rendezvous_rank',
)
