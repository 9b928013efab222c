"""Stateful test: the store has one history of changes, which all nodes follow."""

from __future__ import annotations

import random
from collections.abc import Coroutine, Generator
from dataclasses import dataclass, field
from types import coroutine

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahitch.codes import Code
from cassiahitch.controllers.bootstrap import ApplySnapshot, Bootstrap, PeerReply, StoreReply
from cassiahitch.controllers.changes import Change, Delta, Snapshot, decode_change
from cassiahitch.controllers.configuration import Configuration
from cassiahitch.controllers.proposals import AcceptedChange, ProposedChange
from cassiahitch.controllers.store import CHANGES, ConfigurationStore
from cassiahitch.errors import CassiahitchError
from cassiahitch.resources.models import Service, ServiceType
from cassiahitch.resources.parsing import parse_stored, resource_key
from cassiahitch.standins.tables import MemoryTables, TableFaults

NODES = 3
NODE = st.integers(0, NODES - 1)


@coroutine
def yield_once() -> Generator[None, None, None]:
    """Yield control to the state machine once."""
    yield


async def sleep_one_step(delay: float, /) -> None:
    await yield_once()


def run_to_end(call: Coroutine[None, None, object]) -> object:
    """Run a call to its end without interleaving other calls."""
    while True:
        try:
            call.send(None)
        except StopIteration as stop:
            return stop.value


@dataclass
class Operator:
    """A change that an operator requests, its running call and the results so far."""

    proposal: ProposedChange
    call: Coroutine[None, None, AcceptedChange] | None
    results: list[AcceptedChange | Code] = field(default_factory=list)


class HistoryMachine(RuleBasedStateMachine):
    """Concurrent operators, lost replies, store outages, and nodes that restart and lag."""

    def __init__(self) -> None:
        super().__init__()
        self.tables = MemoryTables(random.Random(7), sleep=sleep_one_step)
        self.tables.faults.lost_share = 0.3
        self.tables.faults.refused_share = 0.03
        self.store = ConfigurationStore(self.tables)
        self.operators: list[Operator] = []
        self.nodes = [Configuration() for _ in range(NODES)]
        self.highest = [0 for _ in range(NODES)]
        self.sent_messages: list[Delta | Snapshot] = []

    def history(self) -> list[Change]:
        rows = sorted(key for table, key in self.tables.rows if table == CHANGES)
        return [decode_change(self.tables.rows[CHANGES, key].content) for key in rows]

    def apply(self, index: int, message: Delta | Snapshot) -> None:
        self.nodes[index].apply(message, 0)
        self.sent_messages.append(message)

    @rule(name=st.sampled_from('ab'), stale_by=st.integers(0, 2), deletion=st.booleans())
    def propose(self, name: str, stale_by: int, deletion: bool) -> None:
        number = len(self.operators)
        service = Service(name=name, type=ServiceType.plain, idempotent=True, deadline_s=number + 1)
        key = resource_key(service)
        current = [change.revision for change in self.history() if change.key == key]
        if_match = [0, *current][-1 - min(stale_by, len(current))]
        if current and self.history()[current[-1] - 1].document is None and stale_by == 0:
            if_match = 0
        proposal = ProposedChange(f'c{number}', key, None if deletion else service, if_match)
        self.operators.append(Operator(proposal, self.store.accept(proposal)))

    @rule(pick=st.integers(0, 30), steps=st.sampled_from([1, 3, 40, 40]))
    def step(self, pick: int, steps: int) -> None:
        busy = [operator for operator in self.operators if operator.call is not None]
        for _ in range(steps if busy else 0):
            self.advance(busy[pick % len(busy)])

    @rule(pick=st.integers(0, 30))
    def retry(self, pick: int) -> None:
        idle = [operator for operator in self.operators if operator.call is None]
        if idle:
            operator = idle[pick % len(idle)]
            operator.call = self.store.accept(operator.proposal)

    @rule(pick=st.integers(0, 30))
    def entry_crashes(self, pick: int) -> None:
        busy = [operator for operator in self.operators if operator.call is not None]
        if busy:
            operator = busy[pick % len(busy)]
            assert operator.call is not None
            operator.call.close()
            operator.call = None

    @rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        self.tables.faults.down = down

    @rule(index=NODE, limit=st.integers(1, 3))
    def pull(self, index: int, limit: int) -> None:
        try:
            delta = run_to_end(self.store.changes(self.nodes[index].revision, limit))
        except CassiahitchError:
            return
        assert isinstance(delta, Delta)
        self.apply(index, delta)

    @rule(index=NODE, peer=NODE, bound=st.integers(1, 400))
    def pull_from_peer(self, index: int, peer: int, bound: int) -> None:
        if self.nodes[peer].ready:
            revision = self.nodes[index].revision
            self.apply(index, self.nodes[peer].update_since(revision, bound))

    @rule(name=st.sampled_from('ab'), deletion=st.booleans())
    def change_quickly(self, name: str, deletion: bool) -> None:
        self.propose(name, 0, deletion)
        for _ in range(40):
            self.advance(self.operators[-1])

    @rule(index=NODE, pick=st.integers(0, 30))
    def late_message(self, index: int, pick: int) -> None:
        if self.sent_messages:
            self.nodes[index].apply(self.sent_messages[pick % len(self.sent_messages)], 0)

    @rule(index=NODE)
    def restart(self, index: int) -> None:
        peers = [peer for peer in range(NODES) if peer != index]
        floor = max(self.highest)
        self.nodes[index] = Configuration()
        bootstrap = Bootstrap(random.Random(1), 0)
        bootstrap.poll(0)
        try:
            snapshot = run_to_end(self.store.snapshot())
        except CassiahitchError:
            snapshot = None
        assert snapshot is None or isinstance(snapshot, Snapshot)
        actions = bootstrap.handle(StoreReply(1, snapshot), 0)
        for peer in peers:
            node = self.nodes[peer]
            reply = PeerReply(1, str(peer), node.snapshot() if node.ready else None, floor)
            actions = (*actions, *bootstrap.handle(reply, 0))
        for action in (*actions, *bootstrap.poll(3)):
            if isinstance(action, ApplySnapshot):
                self.apply(index, action.snapshot)
        if self.nodes[index].ready:
            assert self.nodes[index].revision >= self.highest[index]
        else:
            self.highest[index] = 0

    @invariant()
    def history_is_consistent(self) -> None:
        history = self.history()
        assert [change.revision for change in history] == list(range(1, len(history) + 1))
        ids = [change.change_id for change in history]
        assert len(set(ids)) == len(ids)
        proposals = {operator.proposal.change_id: operator.proposal for operator in self.operators}
        current: dict[str, int] = {}
        for change in history:
            assert proposals[change.change_id].if_match == current.get(change.key, 0)
            assert proposals[change.change_id].document == change.document
            current[change.key] = 0 if change.document is None else change.revision

    @invariant()
    def results_match_the_history(self) -> None:
        accepted = {change.change_id: change.revision for change in self.history()}
        for operator in self.operators:
            for result in operator.results:
                if isinstance(result, AcceptedChange):
                    assert accepted[operator.proposal.change_id] == result.revision

    @invariant()
    def nodes_follow_the_history_and_never_regress(self) -> None:
        history = self.history()
        for index, node in enumerate(self.nodes):
            assert node.revision >= self.highest[index]
            self.highest[index] = node.revision
            expected: dict[str, object] = {}
            for change in history[: node.revision]:
                expected.pop(change.key, None)
                if change.document is not None:
                    expected[change.key] = parse_stored(change.document)
            assert node.resources == expected

    def advance(self, operator: Operator) -> None:
        if operator.call is None:
            return
        before = {change.change_id for change in self.history()}
        try:
            operator.call.send(None)
        except StopIteration as stop:
            operator.results.append(stop.value)
        except CassiahitchError as error:
            operator.results.append(error.code)
            if error.code is not Code.store_outcome_unknown and len(operator.results) == 1:
                assert operator.proposal.change_id not in before
        else:
            return
        operator.call = None

    def teardown(self) -> None:
        self.tables.faults = TableFaults()
        for operator in self.operators:
            while operator.call is not None:
                self.advance(operator)
        for index, node in enumerate(self.nodes):
            delta = run_to_end(self.store.changes(node.revision, 999))
            assert isinstance(delta, Delta)
            self.apply(index, delta)
        self.nodes_follow_the_history_and_never_regress()
        assert {node.revision for node in self.nodes} == {len(self.history())}


TestHistoryMachine = HistoryMachine.TestCase
