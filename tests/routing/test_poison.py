"""Tests of the guard against poisonous requests."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cassiahitch.routing.poison import (
    SHARE_S,
    ClearNotice,
    CrashNotice,
    Hold,
    Notice,
    PoisonGuard,
    Refuse,
    Run,
    RunAlone,
    Running,
)
from cassiahitch.routing.suspects import Fingerprint

SERVICE = 'drafts'
HOSTS = ('host-a', 'host-b', 'host-c')
STEP_S = 0.05
POISON = Fingerprint('chop-house', SERVICE, 'poison')
INNOCENT = Fingerprint('chop-house', SERVICE, 'menu')
DRAFTS = frozenset((SERVICE,))
CHOICE = st.integers(min_value=0, max_value=11)


@dataclass
class Call:
    """A request that its caller sends again until it is answered or refused."""

    number: int
    poisonous: bool
    place: str = 'caller'
    entry: int = 0
    sends: int = 0
    crashes: int = 0

    @property
    def fingerprint(self) -> Fingerprint:
        return Fingerprint('chop-house', SERVICE, f'body-{self.number}')


@dataclass
class Server:
    """A backend server; its agent starts a request alone only when nothing else runs."""

    host: str
    incarnation: int = 0
    up: bool = True
    running: dict[str, Call] = field(default_factory=dict)
    alone: str = ''
    waiting: list[tuple[str, Call]] = field(default_factory=list)

    def accepts(self) -> bool:
        return self.up and not self.alone and not self.waiting


@dataclass(frozen=True)
class Mail:
    """A message on its way to an entry."""

    entry: int
    latest: float
    message: tuple[str, str, int] | Notice


class World:
    """Callers, entries and replicas."""

    def __init__(self, entries: int = 3) -> None:
        names = frozenset(f'entry-{index}' for index in range(entries))
        self.guards = [PoisonGuard(name, names - {name}) for name in sorted(names)]
        self.servers = {host: Server(host) for host in HOSTS}
        for guard in self.guards:
            for host in HOSTS:
                guard.update_replica(host, DRAFTS, 0)
        self.calls: list[Call] = []
        self.mail: list[Mail] = []
        self.now: float = 0
        self.serial = 0
        self.most_down = 0

    def post(self, entry: int, message: tuple[str, str, int] | Notice) -> None:
        self.mail.append(Mail(entry, self.now + STEP_S, message))

    def post_all(self, message: tuple[str, str, int] | Notice, but: int = -1) -> None:
        for entry, _ in enumerate(self.guards):
            if entry != but:
                self.post(entry, message)

    def share(self, sender: int, news: tuple[Notice, ...]) -> None:
        for message in news:
            self.post_all(message, but=sender)

    def deliver(self, index: int) -> None:
        mail = self.mail.pop(index)
        guard = self.guards[mail.entry]
        match mail.message:
            case ('crashed', host, incarnation):
                self.share(mail.entry, guard.crashed(host, incarnation, self.now))
                self.fail(mail.entry, f'lost {host} {incarnation}')
            case ('returned', host, incarnation):
                guard.update_replica(host, DRAFTS, incarnation)
            case news:
                assert not isinstance(news, tuple)
                self.share(mail.entry, guard.receive(news, self.now))

    def fail(self, entry: int, place: str) -> None:
        for call in self.calls:
            if (call.entry, call.place) == (entry, place):
                call.place = 'caller'

    def advance(self) -> None:
        self.now += STEP_S
        while any(mail.latest <= self.now for mail in self.mail):
            late = [mail.latest <= self.now for mail in self.mail]
            self.deliver(late.index(True))

    def send(self, call: Call, entry: int) -> None:
        call.sends += 1
        call.entry = entry
        call.place = 'entry'

    def poll(self, call: Call, host_choice: int) -> None:
        guard = self.guards[call.entry]
        match guard.admit(call.fingerprint, self.now, retry=call.sends > 1):
            case Refuse():
                call.place = 'refused'
            case RunAlone(host):
                self.dispatch(call, host, alone=True)
            case Run():
                free = [host for host in HOSTS if host not in guard.quarantined(self.now)]
                self.dispatch(call, free[host_choice % len(free)], alone=False)
            case Hold():
                return
        self.share(call.entry, guard.reservation_notices(self.now))

    def dispatch(self, call: Call, host: str, *, alone: bool) -> None:
        server = self.servers[host]
        if not server.accepts():
            return
        self.serial += 1
        request_id = f'request-{self.serial}'
        request = Running(call.fingerprint, host, server.incarnation, alone)
        self.guards[call.entry].record_dispatch(request_id, request)
        call.place = f'server {host}'
        if alone:
            server.waiting.append((request_id, call))
        else:
            server.running[request_id] = call
        self.start_alone(server)

    def start_alone(self, server: Server) -> None:
        if server.waiting and not server.running:
            request_id, call = server.waiting.pop(0)
            server.running[request_id] = call
            server.alone = request_id

    def finish(self, server: Server, index: int) -> None:
        innocents = [name for name, call in server.running.items() if not call.poisonous]
        if not innocents:
            return
        request_id = innocents[index % len(innocents)]
        call = server.running.pop(request_id)
        call.place = 'done'
        server.alone = ''
        self.share(call.entry, self.guards[call.entry].completed(request_id, self.now))
        self.start_alone(server)

    def crash_poisoned(self) -> None:
        for server in self.servers.values():
            if any(call.poisonous for call in server.running.values()):
                self.crash(server)

    def crash(self, server: Server) -> None:
        for request_id, call in server.waiting:
            self.guards[call.entry].ended(request_id)
            call.place = 'entry'
        for call in server.running.values():
            call.place = f'lost {server.host} {server.incarnation}'
            call.crashes += 1
        self.post_all(('crashed', server.host, server.incarnation))
        self.servers[server.host] = Server(server.host, server.incarnation + 1, up=False)
        self.most_down = max(self.most_down, sum(not other.up for other in self.servers.values()))

    def restart(self, server: Server) -> None:
        server.up = True
        self.post_all(('returned', server.host, server.incarnation))

    def settle(self) -> None:
        """Let everything go on until all calls are answered, without further faults."""
        for step in range(2_000):
            if all(call.place in {'done', 'refused'} for call in self.calls):
                return
            self.advance()
            self.crash_poisoned()
            for server in self.servers.values():
                self.finish(server, 0)
                if not server.up and step % 24 == 0:
                    self.restart(server)
            for call in self.calls:
                if call.place == 'caller':
                    self.send(call, step + call.number)
                    call.entry %= len(self.guards)
                if call.place == 'entry':
                    self.poll(call, step + call.number)


class PoisonMachine(RuleBasedStateMachine):
    """One caller sends a poisonous request over and over while others send innocent ones."""

    @initialize(entries=st.integers(min_value=1, max_value=4))
    def start(self, entries: int) -> None:
        self.world = World(entries)
        self.world.calls.append(Call(0, poisonous=True))

    @rule()
    def new_innocent(self) -> None:
        if len(self.world.calls) < 12:
            self.world.calls.append(Call(len(self.world.calls), poisonous=False))

    @rule(call=CHOICE, entry=CHOICE)
    def send(self, call: int, entry: int) -> None:
        chosen = self.world.calls[call % len(self.world.calls)]
        if chosen.place == 'caller':
            self.world.send(chosen, entry % len(self.world.guards))

    @rule(host=CHOICE)
    def poll(self, host: int) -> None:
        for call in self.world.calls:
            if call.place == 'entry':
                self.world.poll(call, host + call.number)

    @rule(index=CHOICE)
    def deliver(self, index: int) -> None:
        if self.world.mail:
            self.world.deliver(index % len(self.world.mail))

    @rule()
    def advance(self) -> None:
        self.world.advance()

    @rule(host=st.sampled_from(('host-a', 'host-b', 'host-c')), index=CHOICE)
    def finish(self, host: str, index: int) -> None:
        self.world.finish(self.world.servers[host], index)

    @rule()
    def crash(self) -> None:
        self.world.crash_poisoned()

    @rule(host=st.sampled_from(('host-a', 'host-b', 'host-c')))
    def restart(self, host: str) -> None:
        server = self.world.servers[host]
        if not server.up:
            self.world.restart(server)

    @invariant()
    def at_most_one_replica_is_down(self) -> None:
        assert self.world.most_down <= 1

    @invariant()
    def no_innocent_is_refused(self) -> None:
        refused = [call for call in self.world.calls if call.place == 'refused']
        assert all(call.poisonous for call in refused)

    @invariant()
    def poison_crashes_at_most_once_shared_and_twice_alone(self) -> None:
        assert self.world.calls[0].crashes <= 3

    def teardown(self) -> None:
        world = getattr(self, 'world', None)
        if world is None:
            return
        world.settle()
        assert world.calls[0].place == 'refused'
        assert all(call.place == 'done' for call in world.calls[1:])
        assert world.most_down <= 1


PoisonMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=60)
TestPoisonMachine = PoisonMachine.TestCase


@pytest.fixture
def guard() -> PoisonGuard:
    """Return a guard of three replicas with one peer."""
    poison_guard = PoisonGuard('entry-1', frozenset(('entry-2',)))
    for host in ('host-a', 'host-b', 'host-c'):
        poison_guard.update_replica(host, DRAFTS, 1)
    return poison_guard


def lose(guard: PoisonGuard, fingerprint: Fingerprint, host: str, incarnation: int) -> None:
    guard.record_dispatch('lost', Running(fingerprint, host, incarnation, alone=incarnation > 1))
    guard.crashed(host, incarnation, 0)
    guard.receive(CrashNotice('entry-2', host, incarnation, ()), 0)


def test_suspect_waits_while_the_crashed_replica_is_down(guard: PoisonGuard) -> None:
    lose(guard, POISON, 'host-a', 1)
    assert guard.admit(POISON, 1) == Hold()
    assert guard.admit(INNOCENT, 1) == Run()
    guard.update_replica('host-a', DRAFTS, 2)
    assert isinstance(guard.admit(POISON, 1), RunAlone)


def test_suspect_waits_until_the_other_requests_of_its_replica_have_ended(
    guard: PoisonGuard,
) -> None:
    lose(guard, POISON, 'host-a', 1)
    guard.update_replica('host-a', DRAFTS, 2)
    decision = guard.admit(POISON, 1)
    assert isinstance(decision, RunAlone)
    guard.record_dispatch('other', Running(INNOCENT, decision.host, 1, alone=False))
    assert guard.admit(POISON, 1) == Hold()
    assert guard.quarantined(1) == {decision.host}
    guard.ended('other')
    assert guard.admit(POISON, 1) == decision


def test_completed_suspect_is_cleared_at_all_entries(guard: PoisonGuard) -> None:
    lose(guard, INNOCENT, 'host-a', 1)
    guard.update_replica('host-a', DRAFTS, 2)
    guard.record_dispatch('again', Running(INNOCENT, 'host-b', 1, alone=True))
    news = guard.completed('again', 1)
    assert [type(message) for message in news] == [ClearNotice]
    assert guard.admit(INNOCENT, 1) == Run()


def test_suspect_is_refused_after_two_crashes_alone_for_a_period(guard: PoisonGuard) -> None:
    for incarnation in (1, 2, 3):
        lose(guard, POISON, 'host-a', incarnation)
        guard.update_replica('host-a', DRAFTS, incarnation + 1)
    assert guard.admit(POISON, 1) == Refuse(599)
    assert isinstance(guard.admit(POISON, 601), RunAlone)


def test_all_requests_wait_until_suspects_are_shared(guard: PoisonGuard) -> None:
    guard.crashed('host-a', 1, 0)
    assert guard.admit(INNOCENT, 0.01) == Hold()
    guard.receive(CrashNotice('entry-2', 'host-a', 1, ()), 0.02)
    assert guard.admit(INNOCENT, 0.02) == Run()


def test_silent_peer_delays_requests_only_briefly(guard: PoisonGuard) -> None:
    guard.crashed('host-a', 1, 0)
    assert guard.admit(INNOCENT, SHARE_S) == Run()


def test_unknown_retry_waits_for_suspects(guard: PoisonGuard) -> None:
    assert guard.admit(INNOCENT, 0, retry=True) == Hold()
    assert guard.admit(INNOCENT, 0.1, retry=True) == Run()


def test_old_news_of_a_returned_replica_does_not_take_it_down(guard: PoisonGuard) -> None:
    guard.update_replica('host-a', DRAFTS, 2)
    guard.receive(CrashNotice('entry-2', 'host-a', 1, ()), 0)
    assert guard.quarantine.down_hosts('drafts', 0) == frozenset()
