"""Cost of the rollout controller at the entry that holds the lease."""

from __future__ import annotations

import time

from cassiahitch.controllers.assignment import ObservedNode
from cassiahitch.controllers.rollout import RolloutController
from cassiahitch.resources.models import Deployment, Model
from cassiahitch.resources.parsing import resource_key

#: Comparisons in a measurement.
ROUNDS = 3
FAILURE_DOMAINS = 13
OLD = 'a' * 64
NEW = 'b' * 64


def measure_reconciliation(replicas: int) -> float:
    """Compare a deployment with its replicas in the middle of a rollout.

    :param replicas: how many hosts serve it.
    :return: seconds of processor time for each comparison.
    """
    model = Model(name='m', version='v2', origin='m/v2', manifest=NEW)
    deployment = Deployment(name='d', service='s', model='m', replicas=replicas)
    resources = {resource_key(found): found for found in (model, deployment)}
    nodes = tuple(_node(number) for number in range(replicas))
    controller = RolloutController(started_at=0)
    start = time.process_time()
    for _ in range(ROUNDS):
        controller.reconcile(resources, nodes, {NEW: 'p'}, 1, 0)
    return (time.process_time() - start) / ROUNDS


def _node(number: int) -> ObservedNode:
    complete = frozenset((OLD, NEW)) if number % 2 else frozenset((OLD,))
    domain = f'domain-{number % FAILURE_DOMAINS}'
    return ObservedNode(f'host-{number}', 1, 'west', domain, 'd', OLD, complete=complete)


__all__ = ('measure_reconciliation',)
