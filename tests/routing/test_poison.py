"""Tests of the guard against requests that crash backend servers."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cassiahitch.routing.poison import (
    NOTICE_WAIT_S,
    ClearNotice,
    CrashNotice,
    Hold,
    InFlightRequest,
    Notice,
    PoisonGuard,
    Refuse,
    Run,
    RunAlone,
)
from cassiahitch.routing.suspects import Fingerprint

SERVICE = 'drafts'
HOSTS = ('host-a', 'host-b', 'host-c')
STEP_S = 0.05
CRASHING = Fingerprint('chop-house', SERVICE, 'poison')
HARMLESS = Fingerprint('chop-house', SERVICE, 'menu')
DRAFTS = frozenset((SERVICE,))
CHOICE = st.integers(min_value=0, max_value=11)


@dataclass
class Call:
    """A request that its caller retries until it completes or is refused.

    ``state`` is where the request is: at the caller, at an entry, on a server, lost with a crashed
    server, done or refused.
    """

    number: int
    crashes_server: bool
    state: str = 'caller'
    entry: int = 0
    sends: int = 0
    crashes: int = 0

    @property
    def fingerprint(self) -> Fingerprint:
        return Fingerprint('chop-house', SERVICE, f'body-{self.number}')


@dataclass
class Server:
    """A backend server; its agent runs a request alone only while nothing else runs."""

    host: str
    incarnation: int = 0
    up: bool = True
    running: dict[str, Call] = field(default_factory=dict)
    alone: str = ''
    waiting: list[tuple[str, Call]] = field(default_factory=list)

    def accepts(self) -> bool:
        return self.up and not self.alone and not self.waiting


@dataclass(frozen=True)
class Message:
    """A message in transit to an entry; ``latest`` is its latest delivery time in seconds."""

    entry: int
    latest: float
    content: tuple[str, str, int] | Notice


class Simulation:
    """Simulates callers, entries and replicas."""

    def __init__(self, entries: int = 3) -> None:
        names = frozenset(f'entry-{index}' for index in range(entries))
        self.guards = [PoisonGuard(name, names - {name}) for name in sorted(names)]
        self.servers = {host: Server(host) for host in HOSTS}
        for guard in self.guards:
            for host in HOSTS:
                guard.update_replica(host, DRAFTS, 0)
        self.calls: list[Call] = []
        self.messages: list[Message] = []
        self.now: float = 0
        self.serial = 0
        self.max_down = 0

    def send_message(self, entry: int, content: tuple[str, str, int] | Notice) -> None:
        self.messages.append(Message(entry, self.now + STEP_S, content))

    def broadcast(self, content: tuple[str, str, int] | Notice, excluded: int = -1) -> None:
        for entry, _ in enumerate(self.guards):
            if entry != excluded:
                self.send_message(entry, content)

    def send_notices(self, sender: int, notices: tuple[Notice, ...]) -> None:
        for notice in notices:
            self.broadcast(notice, excluded=sender)

    def deliver(self, index: int) -> None:
        message = self.messages.pop(index)
        guard = self.guards[message.entry]
        match message.content:
            case ('crashed', host, incarnation):
                self.send_notices(message.entry, guard.record_crash(host, incarnation, self.now))
                self.fail(message.entry, f'lost {host} {incarnation}')
            case ('returned', host, incarnation):
                guard.update_replica(host, DRAFTS, incarnation)
            case notice:
                assert not isinstance(notice, tuple)
                self.send_notices(message.entry, guard.receive(notice, self.now))

    def fail(self, entry: int, state: str) -> None:
        for call in self.calls:
            if (call.entry, call.state) == (entry, state):
                call.state = 'caller'

    def advance(self) -> None:
        self.now += STEP_S
        while any(message.latest <= self.now for message in self.messages):
            due = [message.latest <= self.now for message in self.messages]
            self.deliver(due.index(True))

    def send(self, call: Call, entry: int) -> None:
        call.sends += 1
        call.entry = entry
        call.state = 'entry'

    def poll(self, call: Call, host_choice: int) -> None:
        guard = self.guards[call.entry]
        match guard.admit(call.fingerprint, self.now, retry=call.sends > 1):
            case Refuse():
                call.state = 'refused'
            case RunAlone(host):
                self.dispatch(call, host, alone=True)
            case Run():
                free = [host for host in HOSTS if host not in guard.quarantined(self.now)]
                self.dispatch(call, free[host_choice % len(free)], alone=False)
            case Hold():
                return
        self.send_notices(call.entry, guard.reservation_notices(self.now))

    def dispatch(self, call: Call, host: str, *, alone: bool) -> None:
        server = self.servers[host]
        if not server.accepts():
            return
        self.serial += 1
        request_id = f'request-{self.serial}'
        request = InFlightRequest(call.fingerprint, host, server.incarnation, alone)
        self.guards[call.entry].record_dispatch(request_id, request)
        call.state = f'server {host}'
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
        harmless = [name for name, call in server.running.items() if not call.crashes_server]
        if not harmless:
            return
        request_id = harmless[index % len(harmless)]
        call = server.running.pop(request_id)
        call.state = 'done'
        server.alone = ''
        self.send_notices(
            call.entry, self.guards[call.entry].record_completion(request_id, self.now)
        )
        self.start_alone(server)

    def crash_affected(self) -> None:
        for server in self.servers.values():
            if any(call.crashes_server for call in server.running.values()):
                self.crash(server)

    def crash(self, server: Server) -> None:
        for request_id, call in server.waiting:
            self.guards[call.entry].record_end(request_id)
            call.state = 'entry'
        for call in server.running.values():
            call.state = f'lost {server.host} {server.incarnation}'
            call.crashes += 1
        self.broadcast(('crashed', server.host, server.incarnation))
        self.servers[server.host] = Server(server.host, server.incarnation + 1, up=False)
        self.max_down = max(self.max_down, sum(not other.up for other in self.servers.values()))

    def restart(self, server: Server) -> None:
        server.up = True
        self.broadcast(('returned', server.host, server.incarnation))

    def finish_all(self) -> None:
        """Run until all calls are done or refused, without further faults."""
        for step in range(2_000):
            if all(call.state in {'done', 'refused'} for call in self.calls):
                return
            self.advance()
            self.crash_affected()
            for server in self.servers.values():
                self.finish(server, 0)
                if not server.up and step % 24 == 0:
                    self.restart(server)
            for call in self.calls:
                if call.state == 'caller':
                    self.send(call, step + call.number)
                    call.entry %= len(self.guards)
                if call.state == 'entry':
                    self.poll(call, step + call.number)


class PoisonMachine(RuleBasedStateMachine):
    """One caller retries a crashing request while others send harmless ones."""

    @initialize(entries=st.integers(min_value=1, max_value=4))
    def start(self, entries: int) -> None:
        self.simulation = Simulation(entries)
        self.simulation.calls.append(Call(0, crashes_server=True))

    @rule()
    def new_harmless(self) -> None:
        if len(self.simulation.calls) < 12:
            self.simulation.calls.append(Call(len(self.simulation.calls), crashes_server=False))

    @rule(call=CHOICE, entry=CHOICE)
    def send(self, call: int, entry: int) -> None:
        chosen = self.simulation.calls[call % len(self.simulation.calls)]
        if chosen.state == 'caller':
            self.simulation.send(chosen, entry % len(self.simulation.guards))

    @rule(host=CHOICE)
    def poll(self, host: int) -> None:
        for call in self.simulation.calls:
            if call.state == 'entry':
                self.simulation.poll(call, host + call.number)

    @rule(index=CHOICE)
    def deliver(self, index: int) -> None:
        if self.simulation.messages:
            self.simulation.deliver(index % len(self.simulation.messages))

    @rule()
    def advance(self) -> None:
        self.simulation.advance()

    @rule(host=st.sampled_from(('host-a', 'host-b', 'host-c')), index=CHOICE)
    def finish(self, host: str, index: int) -> None:
        self.simulation.finish(self.simulation.servers[host], index)

    @rule()
    def crash(self) -> None:
        self.simulation.crash_affected()

    @rule(host=st.sampled_from(('host-a', 'host-b', 'host-c')))
    def restart(self, host: str) -> None:
        server = self.simulation.servers[host]
        if not server.up:
            self.simulation.restart(server)

    @invariant()
    def at_most_one_replica_is_down(self) -> None:
        assert self.simulation.max_down <= 1

    @invariant()
    def no_harmless_request_is_refused(self) -> None:
        refused = [call for call in self.simulation.calls if call.state == 'refused']
        assert all(call.crashes_server for call in refused)

    @invariant()
    def crashing_request_crashes_at_most_once_shared_and_twice_alone(self) -> None:
        assert self.simulation.calls[0].crashes <= 3

    def teardown(self) -> None:
        simulation = getattr(self, 'simulation', None)
        if simulation is None:
            return
        simulation.finish_all()
        assert simulation.calls[0].state == 'refused'
        assert all(call.state == 'done' for call in simulation.calls[1:])
        assert simulation.max_down <= 1


PoisonMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=60)
TestPoisonMachine = PoisonMachine.TestCase


@pytest.fixture
def guard() -> PoisonGuard:
    """Return a guard of three replicas with one peer."""
    poison_guard = PoisonGuard('entry-1', frozenset(('entry-2',)))
    for host in ('host-a', 'host-b', 'host-c'):
        poison_guard.update_replica(host, DRAFTS, 1)
    return poison_guard


def crash(guard: PoisonGuard, fingerprint: Fingerprint, host: str, incarnation: int) -> None:
    guard.record_dispatch(
        'lost', InFlightRequest(fingerprint, host, incarnation, alone=incarnation > 1)
    )
    guard.record_crash(host, incarnation, 0)
    guard.receive(CrashNotice('entry-2', host, incarnation, ()), 0)


def test_suspect_waits_while_the_crashed_replica_is_down(guard: PoisonGuard) -> None:
    crash(guard, CRASHING, 'host-a', 1)
    assert guard.admit(CRASHING, 1) == Hold()
    assert guard.admit(HARMLESS, 1) == Run()
    guard.update_replica('host-a', DRAFTS, 2)
    assert isinstance(guard.admit(CRASHING, 1), RunAlone)


def test_suspect_waits_until_the_other_requests_of_its_replica_have_ended(
    guard: PoisonGuard,
) -> None:
    crash(guard, CRASHING, 'host-a', 1)
    guard.update_replica('host-a', DRAFTS, 2)
    decision = guard.admit(CRASHING, 1)
    assert isinstance(decision, RunAlone)
    guard.record_dispatch('other', InFlightRequest(HARMLESS, decision.host, 1, alone=False))
    assert guard.admit(CRASHING, 1) == Hold()
    assert guard.quarantined(1) == {decision.host}
    guard.record_end('other')
    assert guard.admit(CRASHING, 1) == decision


def test_completed_suspect_is_cleared_at_all_entries(guard: PoisonGuard) -> None:
    crash(guard, HARMLESS, 'host-a', 1)
    guard.update_replica('host-a', DRAFTS, 2)
    guard.record_dispatch('again', InFlightRequest(HARMLESS, 'host-b', 1, alone=True))
    notices = guard.record_completion('again', 1)
    assert [type(notice) for notice in notices] == [ClearNotice]
    assert guard.admit(HARMLESS, 1) == Run()


def test_suspect_is_refused_for_a_period_after_two_crashes_alone(guard: PoisonGuard) -> None:
    for incarnation in (1, 2, 3):
        crash(guard, CRASHING, 'host-a', incarnation)
        guard.update_replica('host-a', DRAFTS, incarnation + 1)
    assert guard.admit(CRASHING, 1) == Refuse(599)
    assert isinstance(guard.admit(CRASHING, 601), RunAlone)


def test_all_requests_wait_until_all_entries_have_sent_their_suspects(guard: PoisonGuard) -> None:
    guard.record_crash('host-a', 1, 0)
    assert guard.admit(HARMLESS, 0.01) == Hold()
    guard.receive(CrashNotice('entry-2', 'host-a', 1, ()), 0.02)
    assert guard.admit(HARMLESS, 0.02) == Run()


def test_unresponsive_peer_delays_requests_only_briefly(guard: PoisonGuard) -> None:
    guard.record_crash('host-a', 1, 0)
    assert guard.admit(HARMLESS, NOTICE_WAIT_S) == Run()


def test_new_retry_waits_for_suspects_of_other_entries(guard: PoisonGuard) -> None:
    assert guard.admit(HARMLESS, 0, retry=True) == Hold()
    assert guard.admit(HARMLESS, 0.1, retry=True) == Run()


def test_late_crash_notice_does_not_mark_a_restarted_replica_as_down(guard: PoisonGuard) -> None:
    guard.update_replica('host-a', DRAFTS, 2)
    guard.receive(CrashNotice('entry-2', 'host-a', 1, ()), 0)
    assert guard.quarantine.down_hosts('drafts', 0) == frozenset()
