"""Tests of how soon all hosts have a version after the origin was unavailable for some seconds."""

from __future__ import annotations

from swarm_play import make_participants, make_scheduler

from cassiahitch.direct.staging.fleet import FromOrigin
from cassiahitch.direct.staging.scheduler import ChunkScheduler


def fail_until(scheduler: ChunkScheduler, seconds: float) -> float:
    """Let all requests to the origin fail, and return the time of the last one."""
    failed_at: float = 0
    for step in range(int(100 * seconds)):
        now = step / 100
        for fetch in scheduler.schedule(now):
            if isinstance(fetch, FromOrigin):
                scheduler.record_failure(fetch, now)
                failed_at = now
    return failed_at


def test_agent_asks_the_origin_again_once_another_agent_has_received_a_chunk_from_it() -> None:
    participants = make_participants(1, 2)
    scheduler = make_scheduler(participants)
    failed_at = fail_until(scheduler, 6)
    other = participants[1].host
    chunk = 1 << scheduler.count - 1
    scheduler.update_holder(other, chunk, 0, failed_at + 0.01)
    assert any(isinstance(fetch, FromOrigin) for fetch in scheduler.schedule(failed_at + 0.01))


def test_chunk_that_the_region_holds_already_does_not_end_the_delay() -> None:
    participants = make_participants(1, 3)
    scheduler = make_scheduler(participants)
    first, second = (agent.host for agent in participants[1:])
    chunk = 1 << scheduler.count - 1
    scheduler.update_holder(first, chunk, 0, 0)
    failed_at = fail_until(scheduler, 6)
    scheduler.update_holder(second, chunk, 0, failed_at + 0.01)
    assert not any(isinstance(fetch, FromOrigin) for fetch in scheduler.schedule(failed_at + 0.01))
