"""Takes dispatches through the ledger to the backend server and back to who waits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cassiahitch.agent.dispatches import (
    MS_PER_S,
    Ended,
    QueuedRun,
    Waiter,
    ended_by,
    ignore_part,
    ledger_message,
)
from cassiahitch.agent.exclusive import RunGate
from cassiahitch.codes import Code, HasRun
from cassiahitch.engine.api import GenerateOrder
from cassiahitch.ledger.api import (
    Action,
    Answered,
    Begin,
    Fail,
    Failure,
    Finish,
    Refused,
    Run,
    Start,
    StateReply,
    Status,
    Sweep,
    Void,
)
from cassiahitch.ledger.claim_api import AskOwner, Commit, ReadRow, Tick
from cassiahitch.metrics.names import CounterName, LatencyName
from cassiahitch.timeline.events import EventKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from cassiahitch.agent.backend import Backend, RunResult
    from cassiahitch.agent.claims import ClaimStore
    from cassiahitch.agent.health import BackendHealth
    from cassiahitch.ledger.claim_api import ClaimAction, ClaimMessage
    from cassiahitch.ledger.claims import ClaimMachine
    from cassiahitch.wire import messages
    from cassiahitch.wire.node import Node

#: Seconds between sweeps of the ledger.
SWEEP_S = 1.0
SWEEP_LIMIT = 1000
#: Seconds between looks at claims that are due.
TICK_S = 0.02
#: Longest wait of a suspect for a backend server that is down, in seconds.
RESTART_WAIT_S = 2
#: Seconds between looks at whether everything has finished.
FINISHED_POLL_S = 0.02
#: Longest wait for the outcomes of claims to be recorded before a stop, in seconds.
RECORD_TIMEOUT_S = 5
#: Hexadecimal digits of a request's identifier; those of its attempt's number follow.
REQUEST_ID_LENGTH = 30


class Executor:
    """Owns the ledger, the queue before the backend server and the runs on it."""

    def __init__(
        self,
        node: Node,
        machine: ClaimMachine,
        backend: Backend,
        store: ClaimStore,
        slots: int,
        health: BackendHealth,
    ) -> None:
        """Create an executor.

        :param node: this process.
        :param machine: claims and ledger.
        :param backend: the backend server.
        :param store: carries out what the claims ask for.
        :param slots: requests that run at once.
        :param health: counts crashes of the backend server.
        """
        self.node = node
        self.machine = machine
        self.backend = backend
        self.store = store
        self.slots = slots
        self.health = health
        self.gate = RunGate()
        self.admitted_digest = ''
        self.admitting = False
        self.accepting = True
        self.running = 0
        self.serial = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.queue: asyncio.PriorityQueue[QueuedRun] = asyncio.PriorityQueue()
        self.dispatches: dict[str, messages.Dispatch] = {}
        self.waiters: dict[str, Waiter] = {}
        self.crashed: set[str] = set()
        self.running_ids: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def work(self) -> None:
        """Run queued keys until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self.slots):
                group.create_task(self._work_slot())
            group.create_task(self._sweep())
            group.create_task(self._tick())

    async def run(
        self,
        dispatch: messages.Dispatch,
        on_part: Callable[[bytes], None],
    ) -> Ended:
        """Take a dispatch and wait for its outcome.

        :param dispatch: the request.
        :param on_part: takes the parts of its answer, unless it joins a key that runs.
        :return: the outcome.
        """
        request_id = dispatch.request_id.hex()
        ended: asyncio.Future[Answered | Refused] = asyncio.get_running_loop().create_future()
        self.waiters[request_id] = Waiter(request_id, on_part, ended)
        key = request_id if dispatch.claim_key else dispatch.ledger_key
        self.dispatches.setdefault(key, dispatch)
        self.handle(ledger_message(dispatch, self.node.clock.wall()))
        outcome = await asyncio.shield(ended)
        if self.dispatches.get(key) is dispatch:
            self.dispatches.pop(key)
        crashed = request_id in self.crashed
        self.crashed.discard(request_id)
        return ended_by(outcome, crashed=crashed)

    def settle(self, message: messages.Void | messages.Status) -> StateReply:
        """Void a key, or tell its state.

        :param message: the key.
        :return: its state.
        """
        not_after = message.not_after_ms / MS_PER_S
        request = (message.ledger_key, message.body_digest.hex(), not_after, message.incarnation)
        question: Void | Status = Status(*request)
        takeover = getattr(message, 'takeover', None)
        if takeover is not None:
            question = Void(*request, takeover)
        replies = [one for one in self.handle(question) if isinstance(one, StateReply)]
        return replies[-1]

    def handle(self, message: ClaimMessage) -> tuple[ClaimAction, ...]:
        """Pass a message to the claims and the ledger and carry out what follows.

        :param message: the message.
        :return: what followed.
        """
        actions = self.machine.handle(message, self.node.clock.monotonic())
        for action in actions:
            self._perform(action)
        return actions

    async def finished(self) -> None:
        """Wait until nothing runs or waits to run, and a while for outcomes to be recorded."""
        while self.running or not self.queue.empty() or self.waiters:
            await asyncio.sleep(FINISHED_POLL_S)
        until = self.node.clock.monotonic() + RECORD_TIMEOUT_S
        while self.machine.book.by_id and self.node.clock.monotonic() < until:
            await asyncio.sleep(FINISHED_POLL_S)

    async def cancel(self, request_id: str) -> None:
        """Stop a request whose caller has left, if the backend server runs it.

        :param request_id: hexadecimal request id.
        """
        if request_id in self.running_ids:
            await self.backend.cancel(request_id)

    def admit(self, digest: str) -> None:
        """Admit work under the weights that are loaded.

        :param digest: their digest, hexadecimal.
        """
        self.admitted_digest = digest
        self.admitting = True

    def _perform(self, action: Action | ClaimAction) -> None:
        match action:
            case Run(key=key):
                self._enqueue(key)
            case Answered(request_id=request_id) | Refused(request_id=request_id):
                # A claim that ends before it runs is under its request's identifier.
                self.dispatches.pop(request_id, None)
                self._resolve(request_id, action)
            case Commit() | ReadRow() | AskOwner():
                self._spawn_store(action)

    def _enqueue(self, key: str) -> None:
        if not self.accepting:
            self._refuse(key, Code.leaving)
            return
        self.serial += 1
        self.queue.put_nowait(QueuedRun(self.dispatches[key].priority, self.serial, key))

    def _refuse(self, key: str, code: Code) -> None:
        self.dispatches.pop(key, None)
        self.handle(Fail(key, code, HasRun.no))

    def _resolve(self, request_id: str, end: Answered | Refused) -> None:
        waiter = self.waiters.pop(request_id, None)
        if waiter is not None and not waiter.ended.done():
            waiter.ended.set_result(end)

    def _spawn_store(self, action: Commit | ReadRow | AskOwner) -> None:
        task = asyncio.create_task(self._ask_store(action))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _ask_store(self, action: Commit | ReadRow | AskOwner) -> None:
        self.handle(await self.store.carry_out(action))

    async def _work_slot(self) -> None:
        while True:
            queued = await self.queue.get()
            dispatch = self.dispatches.get(queued.key)
            alone = dispatch is not None and dispatch.alone
            async with self.gate.enter(alone=alone):
                if alone:
                    # The suspect before it may have crashed the backend server just now.
                    await self.health.wait_until_up(RESTART_WAIT_S)
                await self._run_key(queued.key)

    async def _run_key(self, key: str) -> None:
        if not self.admitting or self.health.down:
            self._refuse(key, Code.not_ready)
            return
        dispatch = self.dispatches.pop(key, None)
        began = any(isinstance(action, Begin) for action in self.handle(Start(key)))
        if not began:
            return
        if dispatch is None:
            self.handle(Fail(key, Code.backend_failed, HasRun.no))
            return
        self._count(1)
        started = self.node.clock.monotonic()
        outcome = await self._generate(key, dispatch)
        self._count(-1)
        self.node.metrics.latency(LatencyName.run, self.node.clock.monotonic() - started)
        self.handle(outcome)

    async def _generate(self, key: str, dispatch: messages.Dispatch) -> Finish | Fail:
        request_id = dispatch.request_id.hex()
        self._note(EventKind.request_started, CounterName.runs_started, request_id)
        order = GenerateOrder(request_id, dispatch.body, dispatch.priority)
        if dispatch.idempotent:
            # Any other run goes on to its end, so that a retry under its key gets the answer.
            self.running_ids.add(request_id)
        waiter = self.waiters.get(request_id)
        on_part = waiter.on_part if waiter else ignore_part
        run = await self.backend.run(order, self.admitted_digest, on_part)
        self.running_ids.discard(request_id)
        self._note(EventKind.request_finished, CounterName.runs_finished, request_id)
        return self._end_of(key, request_id, run)

    def _end_of(self, key: str, request_id: str, run: RunResult) -> Finish | Fail:
        if run.crashed:
            self.crashed.add(request_id)
            self.health.note_crash()
        match run.outcome:
            case Failure(code=code, ran=ran):
                return Fail(key, code, ran)
            case answer:
                return Finish(key, answer)

    def _count(self, change: int) -> None:
        self.running += change
        if self.running:
            self.idle.clear()
        else:
            self.idle.set()

    def _note(self, kind: EventKind, counter: CounterName, request_id: str) -> None:
        self.node.timeline.record(
            kind,
            request_id=request_id[:REQUEST_ID_LENGTH],
            detail=f'attempt {request_id[REQUEST_ID_LENGTH:]}',
        )
        self.node.metrics.count(counter)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.handle(Sweep(SWEEP_LIMIT))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.handle(Tick())


__all__ = ('Executor',)
