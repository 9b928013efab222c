"""Records when all replicas of a deployment serve its target weights."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.controllers.rollout import load_targets
from cassiahitch.resources.models import Deployment
from cassiahitch.timeline.events import EventKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from cassiahitch.controllers.assignment import ObservedNode
    from cassiahitch.resources.models import Resource
    from cassiahitch.timeline.ring import Timeline


class RolloutProgress:
    """Records the end of each rollout in the time line, once."""

    def __init__(self, timeline: Timeline) -> None:
        """Create the recorder; no rollout has ended yet.

        :param timeline: time line of this process.
        """
        self.timeline = timeline
        self.finished: dict[str, str] = {}

    def record_finished(
        self, resources: Mapping[str, Resource], nodes: Iterable[ObservedNode]
    ) -> None:
        """Record the rollouts that have finished and were not recorded yet.

        :param resources: the desired state, by key.
        :param nodes: the observed state of the hosts.
        """
        eligible = [node for node in nodes if node.eligible]
        replicas = {
            resource.name: min(resource.replicas, len(eligible))
            for resource in resources.values()
            if isinstance(resource, Deployment)
        }
        for target in load_targets(resources).values():
            serving_hosts = sum(node.loaded == target.digest for node in eligible)
            is_recorded = self.finished.get(target.deployment) == target.digest
            if is_recorded or not 0 < replicas[target.deployment] <= serving_hosts:
                continue
            self.finished[target.deployment] = target.digest
            for manifest in target.manifests:
                self.timeline.record(
                    EventKind.rollout_finished,
                    rollout_id=manifest,
                    detail=f'{serving_hosts} hosts serve {target.deployment}',
                )


__all__ = ('RolloutProgress',)
