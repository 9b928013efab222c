"""Tests that the end of a rollout is recorded in the time line."""

from __future__ import annotations

from cassiahitch.clock import ManualClock
from cassiahitch.controllers.assignment import ObservedNode
from cassiahitch.entry.rollout_progress import RolloutProgress
from cassiahitch.resources.models import Deployment, Model, Resource, Service, ServiceType
from cassiahitch.timeline.ring import Timeline

OLD, NEW = 'a' * 64, 'b' * 64


def observed_node(host: str, loaded: str) -> ObservedNode:
    return ObservedNode(host, 1, 'region', 'domain', 'draft', loaded)


def test_rollout_end_is_recorded_once_when_all_replicas_serve() -> None:
    timeline = Timeline('entry-0', ManualClock(), capacity=9)
    progress = RolloutProgress(timeline)
    resources: dict[str, Resource] = {
        'Service/draft': Service(name='draft', type=ServiceType.model, idempotent=True),
        'Model/menus': Model(name='menus', version='v2', origin='menus/v2', manifest=NEW),
        'Deployment/draft': Deployment(name='draft', service='draft', model='menus', replicas=2),
    }
    progress.record_finished(
        resources, (observed_node('a', NEW), observed_node('b', OLD), observed_node('c', OLD))
    )
    assert not timeline.events()
    for _ in range(2):
        progress.record_finished(
            resources, (observed_node('a', NEW), observed_node('b', NEW), observed_node('c', OLD))
        )
    assert [event.rollout_id for event in timeline.events()] == [NEW]
