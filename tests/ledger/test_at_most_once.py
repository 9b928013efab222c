"""Stateful test: no key runs twice if messages are lost, late or repeated or processes crash."""

from __future__ import annotations

import hashlib
from collections import Counter, defaultdict
from dataclasses import dataclass
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cassiahitch.codes import Code, HasRun
from cassiahitch.ledger.api import (
    Answer,
    Dispatch,
    Enqueue,
    Fail,
    Failure,
    Finish,
    KeyState,
    LedgerLimits,
    Outcome,
    RequestAnswered,
    RequestRefused,
    StateReply,
    Sweep,
    TryStart,
    Void,
)
from cassiahitch.ledger.claim_api import (
    BatchCommitted,
    BatchConflicted,
    BatchFailed,
    BatchOutcomeUnknown,
    Claim,
    ClaimAction,
    ClaimLimits,
    ClaimMessage,
    CommitBatch,
    OwnerReplied,
    OwnerUnreachable,
    QueryOwner,
    ReadFailed,
    ReadRow,
    RowRead,
    Tick,
)
from cassiahitch.ledger.claim_registry import ClaimStage
from cassiahitch.ledger.claims import ClaimCoordinator
from cassiahitch.ledger.ledger import Ledger
from cassiahitch.ledger.rows import TABLE, row_key
from cassiahitch.ledger.sweep import (
    PageScanned,
    RemovalEnded,
    RemoveRows,
    RetentionSweep,
    ScanPage,
    SweepLimits,
    SweepTick,
)
from cassiahitch.ledger.tickets import TicketIssuer
from cassiahitch.stores.api import ABSENT_VERSION, Condition, Row, Write

AGENTS = 2  # contend_for_key relies on two: the other agent is 1 - agent.
RECENT_KEYS = 3
RETENTION_S = 60.0
HORIZON_S = 20.0
LEDGER_RETENTION_S = RETENTION_S + HORIZON_S
LIMITS = LedgerLimits(
    max_keys=10, max_voids=12, horizon_s=HORIZON_S, void_retention_s=70, min_retention_s=HORIZON_S
)
CLAIM_LIMITS = ClaimLimits(
    3, interval_s=0, retry_s=0.1, background_wait_s=0, retention_s=LEDGER_RETENTION_S
)
SWEEP_LIMITS = SweepLimits(
    RETENTION_S, page_rows=2, interval_s=0, pause_s=0, unknown_after_s=HORIZON_S
)
PICK = st.integers(0, 1023)
DISTURBANCES = ('agent', 'agent', 'agent', 'entry', 'store', 'store', 'wait', 'late', 'age')
AGENT = st.integers(0, AGENTS - 1)
ENTRY = st.integers(0, 1)
PICKS = st.lists(PICK, max_size=8)
BODIES = ('body', 'body', 'body', 'other')
COPIES = st.integers(1, 2)


class Store:
    """A table service in memory that never uses a version twice."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.outage = 0

    def commit(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> tuple[int, ...] | tuple[Row, ...]:
        differ = [
            condition.key
            for condition in conditions
            if self.version_of(condition.key) != condition.version
        ]
        if differ:
            return tuple(self.rows.get(key, Row(TABLE, key, b'', ABSENT_VERSION)) for key in differ)
        return tuple(self.write(write) for write in writes)

    def is_down(self) -> bool:
        self.outage = max(0, self.outage - 1)
        return self.outage > 0

    def version_of(self, key: str) -> int:
        return self.rows[key].version if key in self.rows else ABSENT_VERSION

    def write(self, write: Write) -> int:
        self.version += 1
        self.rows.pop(write.key, None)
        if write.content is not None:
            self.rows[write.key] = Row(write.table, write.key, write.content, self.version)
        return self.version


@dataclass
class Attempt:
    """One request of a caller, sent through one entry, and its outcome if it has one."""

    request_id: str
    key: str
    entry: int
    agent: int
    message: Claim | Dispatch
    outcome: Outcome | None = None


@dataclass(frozen=True)
class MessageToAgent:
    """A message in flight from an entry to an agent."""

    agent: int
    request_id: str
    message: ClaimMessage


@dataclass(frozen=True)
class ReplyToEntry:
    """A reply in flight from an agent to the entry that sent a request."""

    request_id: str
    reply: RequestAnswered | RequestRefused | StateReply


@dataclass(frozen=True)
class ServiceCall:
    """A call of an agent to the table service or to another agent."""

    agent: int
    incarnation: int
    action: CommitBatch | ReadRow | QueryOwner


@dataclass(frozen=True)
class LateCommit:
    """A commit whose reply was lost and which may still be applied."""

    action: CommitBatch


InFlight = MessageToAgent | ReplyToEntry | ServiceCall | LateCommit


def has_keys(cluster: Cluster) -> bool:
    return bool(cluster.first_sent_at)


def needs_new_keys(cluster: Cluster) -> bool:
    return sum(not cluster.run_counts[key] for key in cluster.recent_keys()) < RECENT_KEYS


def has_in_flight(cluster: Cluster) -> bool:
    return bool(cluster.in_flight)


def has_commits(cluster: Cluster) -> bool:
    calls = (item for item in cluster.in_flight if isinstance(item, ServiceCall))
    return any(isinstance(call.action, CommitBatch) for call in calls)


def has_running(cluster: Cluster) -> bool:
    return any(cluster.running.values())


def has_work(cluster: Cluster) -> bool:
    return bool(cluster.in_flight) or any(cluster.queues.values())


def store_is_down(cluster: Cluster) -> bool:
    return cluster.store.outage > 0


class Cluster(RuleBasedStateMachine):
    """Entries, agents and a table service under faults, and the outcomes that callers got."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.serial = 0
        self.store = Store()
        self.sweeper = RetentionSweep(Random(1), SWEEP_LIMITS)
        self.agents: list[ClaimCoordinator] = [self.new_agent(index) for index in range(AGENTS)]
        self.issuers = [TicketIssuer((b'secret',), entry, 50) for entry in range(2)]
        self.queues: dict[int, list[str]] = defaultdict(list)
        self.running: dict[int, list[str]] = defaultdict(list)
        self.in_flight: list[InFlight] = []
        self.attempts: dict[str, Attempt] = {}
        self.first_sent_at: dict[str, float] = {}
        self.run_counts: Counter[str] = Counter()
        self.ran_claims: set[str] = set()

    # Messages and calls

    def new_agent(self, index: int) -> ClaimCoordinator:
        self.serial += 1
        ledger = Ledger(self.serial, LIMITS)
        return ClaimCoordinator(f'host-{index}', ledger, Random(self.serial), CLAIM_LIMITS)

    def send_to_agent(
        self, index: int, message: ClaimMessage, request_id: str = ''
    ) -> list[ClaimAction]:
        agent = self.agents[index]
        actions = agent.handle(message, self.now)
        for action in actions:
            match action:
                case Enqueue(key=key):
                    self.queues[index].append(key)
                case RequestAnswered() | RequestRefused():
                    self.in_flight.append(ReplyToEntry(action.request_id, action))
                case StateReply() if request_id:
                    self.in_flight.append(ReplyToEntry(request_id, action))
                case CommitBatch() | ReadRow() | QueryOwner():
                    self.in_flight.append(ServiceCall(index, agent.ledger.incarnation, action))
        return list(actions)

    def reply(self, call: ServiceCall, message: ClaimMessage) -> None:
        if self.agents[call.agent].ledger.incarnation == call.incarnation:
            self.send_to_agent(call.agent, message)

    def perform_call(self, call: ServiceCall, *, lost: bool) -> None:
        match call.action:
            case CommitBatch():
                self.reply(call, self.commit(call.action, lost=lost))
            case ReadRow(claim_id=claim_id, key=key):
                failed = lost or self.store.is_down()
                row = self.store.rows.get(key)
                self.reply(call, ReadFailed(claim_id) if failed else RowRead(claim_id, row))
            case QueryOwner():
                self.reply(call, self.query_owner(call.action, lost=lost))

    def commit(self, action: CommitBatch, *, lost: bool) -> ClaimMessage:
        if self.store.is_down():
            return BatchFailed(action.batch)
        result = self.store.commit(action.conditions, action.writes)
        if lost:
            return BatchOutcomeUnknown(action.batch)
        rows = tuple(entry for entry in result if isinstance(entry, Row))
        versions = tuple(entry for entry in result if isinstance(entry, int))
        if rows:
            return BatchConflicted(action.batch, rows)
        return BatchCommitted(action.batch, versions)

    def query_owner(self, action: QueryOwner, *, lost: bool) -> ClaimMessage:
        index = int(action.agent.removeprefix('host-'))
        claim = (action.owner_claim_id, action.body_digest, action.not_after, action.incarnation)
        void = Void(*claim, takeover=True)
        if self.agents[index].ledger.incarnation != action.incarnation:
            return OwnerUnreachable(action.claim_id)
        replies = [
            reply for reply in self.send_to_agent(index, void) if isinstance(reply, StateReply)
        ]
        if lost:
            return OwnerUnreachable(action.claim_id)
        return OwnerReplied(action.claim_id, replies[0].state, replies[0].outcome)

    def deliver(self, item: InFlight, *, lost: bool = False) -> None:
        match item:
            case MessageToAgent(agent=agent, message=message, request_id=request_id):
                if not lost:
                    self.send_to_agent(agent, message, request_id)
            case ReplyToEntry(request_id=request_id, reply=reply):
                if not lost:
                    self.record_reply(self.attempts[request_id], reply)
            case ServiceCall():
                self.perform_call(item, lost=lost)
            case LateCommit(action=action):
                if not lost and not self.store.is_down():
                    self.store.commit(action.conditions, action.writes)

    def record_reply(
        self, attempt: Attempt, reply: RequestAnswered | RequestRefused | StateReply
    ) -> None:
        if attempt.outcome is not None:
            return
        match reply:
            case RequestAnswered(outcome=outcome):
                attempt.outcome = outcome
            case RequestRefused(code=code, ran=ran):
                attempt.outcome = Failure(code, ran)
            case StateReply(state=KeyState.void):
                attempt.outcome = Failure(Code.request_voided, HasRun.no)
            case StateReply(state=KeyState.reused):
                attempt.outcome = Failure(Code.key_reused, HasRun.no)
            case StateReply(outcome=outcome):
                attempt.outcome = outcome or Failure(Code.outcome_unknown, HasRun.unknown)

    # Callers and entries

    def attempt(self, key: str, entry: int, agent: int, body: str) -> Attempt:
        self.serial += 1
        request_id = f'request-{self.serial}'
        digest = hashlib.sha256(body.encode()).hexdigest()
        not_after = self.now + HORIZON_S / 2
        self.first_sent_at.setdefault(key, self.now)
        incarnation = self.agents[agent].ledger.incarnation
        message: Claim | Dispatch
        if key.startswith('key'):
            row = row_key('okonkwo', 'reorder', key)
            fields = (not_after, self.now + 5, self.now)
            message = Claim(request_id, row, 'okonkwo', digest, incarnation, *fields)
        else:
            ticket = self.issuers[entry].verify(key, self.now)
            agent = int(ticket.agent.removeprefix('host-'))
            fields = (ticket.agent_incarnation, not_after, LEDGER_RETENTION_S)
            message = Dispatch(key, request_id, digest, *fields)
        attempt = Attempt(request_id, key, entry, agent, message)
        self.attempts[request_id] = attempt
        return attempt

    def send(self, attempt: Attempt, copies: int = 1) -> None:
        item = MessageToAgent(attempt.agent, attempt.request_id, attempt.message)
        self.in_flight.extend(item for _ in range(copies))

    def recent_keys(self) -> list[str]:
        return [
            key
            for key, first_sent_at in self.first_sent_at.items()
            if self.now < first_sent_at + RETENTION_S - HORIZON_S
        ]

    @precondition(needs_new_keys)
    @rule(entry=ENTRY, agent=AGENT, ticket=st.booleans(), copies=COPIES, picks=PICKS)
    def send_new(
        self, entry: int, agent: int, *, ticket: bool, copies: int, picks: list[int]
    ) -> None:
        incarnation = self.agents[agent].ledger.incarnation
        key = f'key-{len(self.first_sent_at)}'
        if ticket:
            key = self.issuers[entry].issue(f'host-{agent}', incarnation, self.now)
        self.send(self.attempt(key, entry, agent, 'body'), copies)
        self.interleave_steps(picks)

    @precondition(has_keys)
    @rule(pick=PICK, entry=ENTRY, agent=AGENT, body=st.sampled_from(BODIES), picks=PICKS)
    def resend(self, pick: int, entry: int, agent: int, body: str, picks: list[int]) -> None:
        keys = self.recent_keys()
        if keys:
            key = keys[-1 - pick % min(RECENT_KEYS, len(keys))]
            self.send(self.attempt(key, entry, agent, body), 1 + pick % 2)
            self.interleave_steps(picks)

    @precondition(has_keys)
    @rule(pick=PICK, entry=ENTRY, crash=st.booleans(), picks=PICKS)
    def contend_for_key(self, pick: int, entry: int, *, crash: bool, picks: list[int]) -> None:
        recent = set(self.recent_keys())
        held_attempts = [
            attempt
            for attempt in self.attempts.values()
            if attempt.key in recent and self.is_held(attempt)
        ]
        if held_attempts:
            held_attempt = held_attempts[pick % len(held_attempts)]
            if crash:
                self.crash_agent(held_attempt.agent)
            self.send(self.attempt(held_attempt.key, entry, 1 - held_attempt.agent, 'body'))
            self.deliver_newest(2 + pick % 3)
            self.interleave_steps(picks)

    def is_held(self, attempt: Attempt) -> bool:
        pending = self.agents[attempt.agent].registry.by_id.get(attempt.request_id)
        return pending is not None and pending.stage == ClaimStage.held

    @precondition(has_work)
    @rule(pick=PICK, at_once=st.booleans(), picks=PICKS)
    def void_unanswered(self, pick: int, *, at_once: bool, picks: list[int]) -> None:
        unanswered = [attempt for attempt in self.attempts.values() if attempt.outcome is None]
        if unanswered:
            unanswered_attempt = unanswered[pick % len(unanswered)]
            message = unanswered_attempt.message
            key = message.key if isinstance(message, Dispatch) else message.request_id
            void = Void(key, message.body_digest, message.not_after, message.incarnation)
            self.in_flight.append(
                MessageToAgent(unanswered_attempt.agent, unanswered_attempt.request_id, void)
            )
            if at_once:
                self.deliver(self.in_flight.pop())
                self.deliver(self.in_flight.pop())
            self.interleave_steps(picks)

    def crash_entry(self, entry: int) -> None:
        for attempt in self.attempts.values():
            if attempt.entry == entry and attempt.outcome is None:
                attempt.outcome = Failure(Code.outcome_unknown, HasRun.unknown)

    # Network, time and faults

    @precondition(has_work)
    @rule(picks=PICKS)
    def interleave_steps(self, picks: list[int]) -> None:
        for pick in picks:
            choice = pick % (len(self.in_flight) + AGENTS + 1)
            if choice < len(self.in_flight):
                self.deliver(self.in_flight.pop(choice))
            elif choice < len(self.in_flight) + AGENTS:
                self.run_one_step(choice - len(self.in_flight))
            else:
                self.advance(0.1)

    @precondition(has_in_flight)
    @rule(count=st.integers(1, 6))
    def deliver_newest(self, count: int) -> None:
        for _ in range(min(count, len(self.in_flight))):
            self.deliver(self.in_flight.pop())

    @precondition(has_in_flight)
    @rule(pick=PICK)
    def lose_message(self, pick: int) -> None:
        self.deliver(self.in_flight.pop(pick % len(self.in_flight)), lost=True)

    @precondition(has_commits)
    @rule(pick=PICK)
    def commit_late(self, pick: int) -> None:
        calls = [
            item
            for item in self.in_flight
            if isinstance(item, ServiceCall) and isinstance(item.action, CommitBatch)
        ]
        if calls:
            call = calls[pick % len(calls)]
            assert isinstance(call.action, CommitBatch)
            self.in_flight.remove(call)
            self.in_flight.append(LateCommit(call.action))
            self.reply(call, BatchOutcomeUnknown(call.action.batch))

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for index in range(AGENTS):
            self.send_to_agent(index, Tick())

    @precondition(has_work)
    @rule(kind=st.sampled_from(DISTURBANCES), pick=PICK, picks=PICKS)
    def disturb(self, kind: str, pick: int, picks: list[int]) -> None:
        match kind:
            case 'agent':
                self.crash_agent(pick % AGENTS)
            case 'entry':
                self.crash_entry(pick % 2)
            case 'store':
                self.store.outage = 2 + pick % 5
            case 'wait':
                self.advance(3)
            case 'late':
                self.advance(HORIZON_S + 1)
            case _:
                self.pass_retention()
        self.interleave_steps(picks)

    def pass_retention(self) -> None:
        self.advance(RETENTION_S + HORIZON_S + 1)
        self.sweep()

    def sweep(self) -> None:
        for index in range(AGENTS):
            self.send_to_agent(index, Sweep(5))
        for _ in range(2):
            self.sweep_page()

    def sweep_page(self) -> None:
        for scan in self.sweeper.handle(SweepTick(self.now), self.now):
            assert isinstance(scan, ScanPage)
            keys = sorted(key for key in self.store.rows if key > scan.after)[: scan.limit]
            page = PageScanned(tuple(self.store.rows[key] for key in keys), self.now)
            for removal in self.sweeper.handle(page, self.now):
                assert isinstance(removal, RemoveRows)
                self.store.commit(removal.conditions, removal.writes)
                self.sweeper.handle(RemovalEnded(committed=True), self.now)

    # Agents and their backend servers

    def crash_agent(self, agent: int) -> None:
        for key in self.running[agent]:
            self.count_run(key)
        self.agents[agent] = self.new_agent(agent)
        self.queues[agent].clear()
        self.running[agent].clear()

    @precondition(has_work)
    @rule(agent=AGENT)
    def start_key(self, agent: int) -> None:
        if self.queues[agent]:
            key = self.queues[agent].pop(0)
            if self.send_to_agent(agent, TryStart(key)):
                self.running[agent].append(key)

    def run_one_step(self, agent: int) -> None:
        if self.running[agent]:
            self.end_key(agent, 'answer')
        else:
            self.start_key(agent)

    def run_keys(self, agent: int, count: int) -> None:
        for _ in range(count):
            self.start_key(agent)
            self.end_key(agent, 'answer')

    @precondition(has_running)
    @rule(agent=AGENT, result=st.sampled_from(['unknown', 'refused']))
    def end_key(self, agent: int, result: str) -> None:
        if not self.running[agent]:
            return
        key = self.running[agent].pop(0)
        if result == 'refused':
            self.send_to_agent(agent, Fail(key, Code.backend_failed, HasRun.no))
            return
        self.serial += 1
        self.count_run(key)
        body_digest = self.agents[agent].ledger.records.by_key[key].body_digest
        content = f'answer {self.serial} {body_digest}'.encode()
        answer = Answer(content, hashlib.sha256(content).hexdigest())
        failure = Fail(key, Code.backend_failed, HasRun.unknown)
        self.send_to_agent(agent, failure if result == 'unknown' else Finish(key, answer))

    def count_run(self, key: str) -> None:
        self.ran_claims.add(key)
        self.run_counts[self.attempts[key].key if key in self.attempts else key] += 1

    # Invariants

    @invariant()
    def no_second_run(self) -> None:
        assert all(count == 1 for count in self.run_counts.values()), self.run_counts

    @invariant()
    def no_run_after_no(self) -> None:
        refusals_by_key: dict[str, list[bool]] = defaultdict(list)
        for attempt in self.attempts.values():
            refused = isinstance(attempt.outcome, Failure) and attempt.outcome.ran == HasRun.no
            refusals_by_key[attempt.key].append(refused)
            reused = (
                isinstance(attempt.outcome, Failure) and attempt.outcome.code == Code.key_reused
            )
            ticket_run = attempt.key in self.ran_claims and not reused
            assert not (refused and (attempt.request_id in self.ran_claims or ticket_run)), attempt
        assert not any(
            all(refusals) and self.run_counts[key] for key, refusals in refusals_by_key.items()
        )

    @invariant()
    def same_answer_for_each_retry(self) -> None:
        answers: dict[str, set[bytes]] = defaultdict(set)
        for attempt in self.attempts.values():
            if isinstance(attempt.outcome, Answer):
                answers[attempt.key].add(attempt.outcome.content)
                assert self.run_counts[attempt.key] == 1
                assert attempt.outcome.content.endswith(attempt.message.body_digest.encode())
        assert all(len(contents) == 1 for contents in answers.values()), answers

    @precondition(store_is_down)
    @rule(entry=ENTRY, agent=AGENT)
    def ticket_runs_in_outage(self, entry: int, agent: int) -> None:
        if not self.agents[agent].ledger.records.has_capacity():
            return
        incarnation = self.agents[agent].ledger.incarnation
        key = self.issuers[entry].issue(f'host-{agent}', incarnation, self.now)
        attempt = self.attempt(key, entry, agent, 'body')
        self.send_to_agent(agent, attempt.message)
        self.run_keys(agent, len(self.queues[agent]) + len(self.running[agent]))
        for item in tuple(self.in_flight):
            if isinstance(item, ReplyToEntry) and item.request_id == attempt.request_id:
                self.deliver(item)
        assert isinstance(attempt.outcome, Answer)

    def finish_attempt(self, attempt: Attempt) -> None:
        self.send(attempt)
        for _ in range(200):
            if attempt.outcome is not None:
                return
            for item in self.in_flight:
                self.in_flight.remove(item)
                self.deliver(item)
                break
            else:
                self.advance(0.05)
            for index in range(AGENTS):
                self.running[index].reverse()
                self.queues[index].reverse()
                self.start_key(index)
                self.end_key(index, 'answer')

    def teardown(self) -> None:
        self.store.outage = 0
        self.run_until_idle()
        self.now += RETENTION_S * 3
        for index in range(AGENTS):
            self.send_to_agent(index, Sweep(1000))
        attempt = self.attempt('key-last', 0, 1, 'body')
        self.finish_attempt(attempt)
        assert isinstance(attempt.outcome, Answer), attempt
        self.run_until_idle()
        assert all(not agent.registry.by_id for agent in self.agents)

    def run_until_idle(self) -> None:
        for _ in range(40):
            while self.in_flight:
                self.deliver(self.in_flight.pop(0))
            for index in range(AGENTS):
                self.run_keys(index, len(self.queues[index]) + len(self.running[index]))
            self.advance(0.3)


Cluster.TestCase.settings = settings(stateful_step_count=80)
TestAtMostOnce = Cluster.TestCase
