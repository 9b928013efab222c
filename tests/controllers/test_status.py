"""Tests of the status of revisions and drains."""

from __future__ import annotations

import pytest

from cassiahitch.controllers.drain import drain_orders, drain_status
from cassiahitch.controllers.status import in_force_condition, revision_status
from cassiahitch.members.membership import Health, Heartbeat, Load, Member, MemberInfo, Role
from cassiahitch.resources.models import Drain

MEMBER_INFO = MemberInfo(Role.agent, '127.0.0.1:9', 'west', 'w1')


def member(host: str, revision: int = 0, health: Health = Health.alive, running: int = 0) -> Member:
    heartbeat = Heartbeat(host, 1, 1, MEMBER_INFO, 9, revision, load=Load(running))
    return Member(heartbeat, last_heartbeat_at=0, started_at=0, health=health)


def test_unresponsive_node_is_never_counted() -> None:
    members = (member('a', 5), member('b', 4), member('c', 9, Health.suspect), member('d', 7))
    status = revision_status(5, members)
    assert status.in_force == ('a', 'd')
    assert status.behind == ('b',)
    assert status.silent == ('c',)
    condition = in_force_condition(status, 9)
    assert condition.status is False
    assert condition.detail == 'in force on 2 of 4 nodes, 1 unresponsive'


@pytest.mark.parametrize(
    ('members', 'everywhere'),
    [((), False), ((member('a', 5),), True), ((member('a', 5), member('b', 4)), False)],
    ids=['none', 'all', 'some'],
)
def test_in_force_needs_all_nodes(members: tuple[Member, ...], everywhere: bool) -> None:
    assert revision_status(5, members).everywhere is everywhere


def test_drain_is_ordered_until_the_host_reports_it() -> None:
    resources = {'Drain/x': Drain(name='x', host='a')}
    ordered = drain_orders(resources, {'a': member('a', running=2), 'b': member('b')}, 3)
    assert [(order.host, order.fencing_number) for order in ordered] == [('a', 3)]
    assert not drain_orders(resources, {}, 3)


def test_drain_of_a_dead_host_is_not_finished() -> None:
    dead_member = Member(member('a').heartbeat, 0, 0, Health.dead, leaving=True)
    draining_member = Member(member('a').heartbeat, 0, 0, leaving=True)
    assert drain_status('a', dead_member).is_finished is False
    assert drain_status('a', draining_member).is_finished is True
    assert drain_status('a', member('a')).is_finished is False
    assert drain_status('a', None).is_finished is False
