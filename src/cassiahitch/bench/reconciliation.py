"""Measures the cost of the rollout controller at the entry that holds the lease."""

from __future__ import annotations

import time

from cassiahitch.controllers.assignment import ObservedNode
from cassiahitch.controllers.rollout import RolloutController
from cassiahitch.resources.models import Deployment, Model
from cassiahitch.resources.parsing import resource_key

#: Reconciliations in a measurement.
ROUNDS = 3
FAILURE_DOMAINS = 13
OLD_DIGEST = 'a' * 64
NEW_DIGEST = 'b' * 64


def measure_reconciliation(replicas: int) -> float:
    """Measure the reconciliation of a deployment in the middle of a rollout.

    :param replicas: number of hosts that serve the deployment.
    :return: processor time of each reconciliation in seconds.
    """
    model = Model(name='m', version='v2', origin='m/v2', manifest=NEW_DIGEST)
    deployment = Deployment(name='d', service='s', model='m', replicas=replicas)
    resources = {resource_key(resource): resource for resource in (model, deployment)}
    nodes = tuple(_node(number) for number in range(replicas))
    controller = RolloutController(started_at=0)
    start = time.process_time()
    for _ in range(ROUNDS):
        controller.reconcile(resources, nodes, {NEW_DIGEST: 'p'}, 1, 0)
    return (time.process_time() - start) / ROUNDS


def _node(number: int) -> ObservedNode:
    complete = frozenset((OLD_DIGEST, NEW_DIGEST)) if number % 2 else frozenset((OLD_DIGEST,))
    domain = f'domain-{number % FAILURE_DOMAINS}'
    return ObservedNode(f'host-{number}', 1, 'west', domain, 'd', OLD_DIGEST, complete=complete)


__all__ = ('measure_reconciliation',)
