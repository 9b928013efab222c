"""Executes dispatches: ledger or claims, queue, run on the backend server and result."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cassiahitch.agent.dispatches import (
    MS_PER_S,
    DispatchResult,
    QueuedRun,
    Waiter,
    discard_part,
    dispatch_result,
    ledger_message,
)
from cassiahitch.agent.rungate import RunGate
from cassiahitch.codes import Code, HasRun
from cassiahitch.engine.api import GenerateRequest
from cassiahitch.ledger.api import (
    Action,
    Enqueue,
    Execute,
    Fail,
    Failure,
    Finish,
    RequestAnswered,
    RequestRefused,
    StateReply,
    Status,
    Sweep,
    TryStart,
    Void,
)
from cassiahitch.ledger.claim_api import CommitBatch, QueryOwner, ReadRow, Tick
from cassiahitch.metrics.names import CounterName, LatencyName
from cassiahitch.timeline.events import EventKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from cassiahitch.agent.backend import Backend, RunResult
    from cassiahitch.agent.claims import ClaimStore
    from cassiahitch.agent.health import BackendHealth
    from cassiahitch.ledger.claim_api import ClaimAction, ClaimMessage
    from cassiahitch.ledger.claims import ClaimCoordinator
    from cassiahitch.wire import messages
    from cassiahitch.wire.node import Node

#: Seconds between sweeps of the ledger.
SWEEP_INTERVAL_S = 1.0
SWEEP_LIMIT = 1000
#: Seconds between ticks, at which the claims handle expired times.
TICK_INTERVAL_S = 0.02
#: Maximum time in seconds that a suspected request waits for the restart of a backend server.
RESTART_TIMEOUT_S = 2
#: Seconds between checks whether all work has finished.
FINISHED_POLL_INTERVAL_S = 0.02
#: Maximum time in seconds to wait for claim outcomes to be recorded before shutdown.
RECORD_TIMEOUT_S = 5
#: Number of hexadecimal digits of a request identifier; the attempt number follows them.
REQUEST_ID_DIGITS = 30


class Executor:
    """Owns the ledger, the queue for the backend server and the runs on it."""

    def __init__(
        self,
        node: Node,
        coordinator: ClaimCoordinator,
        backend: Backend,
        store: ClaimStore,
        max_concurrent_runs: int,
        health: BackendHealth,
    ) -> None:
        """Create an executor.

        :param node: identity and shared services of this process.
        :param coordinator: coordinator of the claims, which owns the ledger.
        :param backend: client of the backend server.
        :param store: executes actions of the claims.
        :param max_concurrent_runs: maximum number of requests that run concurrently.
        :param health: health of the backend server.
        """
        self.node = node
        self.coordinator = coordinator
        self.backend = backend
        self.store = store
        self.max_concurrent_runs = max_concurrent_runs
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
        self.crashed_ids: set[str] = set()
        self.running_ids: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def work(self) -> None:
        """Run queued ledger keys until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self.max_concurrent_runs):
                group.create_task(self._work_slot())
            group.create_task(self._sweep())
            group.create_task(self._tick())

    async def run(
        self,
        dispatch: messages.Dispatch,
        on_part: Callable[[bytes], None],
    ) -> DispatchResult:
        """Execute a dispatch and wait for its result.

        :param dispatch: the request.
        :param on_part: called with the parts of the response, unless the key is already running.
        :return: the result.
        """
        request_id = dispatch.request_id.hex()
        outcome_future: asyncio.Future[RequestAnswered | RequestRefused] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiters[request_id] = Waiter(request_id, on_part, outcome_future)
        key = request_id if dispatch.claim_key else dispatch.ledger_key
        self.dispatches.setdefault(key, dispatch)
        self.handle(ledger_message(dispatch, self.node.clock.wall()))
        outcome = await asyncio.shield(outcome_future)
        if self.dispatches.get(key) is dispatch:
            self.dispatches.pop(key)
        crashed = request_id in self.crashed_ids
        self.crashed_ids.discard(request_id)
        return dispatch_result(outcome, crashed=crashed)

    def query_or_void(self, message: messages.Void | messages.Status) -> StateReply:
        """Void a ledger key or query its state.

        :param message: the request that names the key.
        :return: the state of the key.
        """
        not_after = message.not_after_ms / MS_PER_S
        request = (message.ledger_key, message.body_digest.hex(), not_after, message.incarnation)
        query: Void | Status = Status(*request)
        takeover = getattr(message, 'takeover', None)
        if takeover is not None:
            query = Void(*request, takeover)
        replies = [action for action in self.handle(query) if isinstance(action, StateReply)]
        return replies[-1]

    def handle(self, message: ClaimMessage) -> tuple[ClaimAction, ...]:
        """Pass a message to the claims and the ledger, and execute the resulting actions.

        :param message: the message.
        :return: the actions.
        """
        actions = self.coordinator.handle(message, self.node.clock.monotonic())
        for action in actions:
            self._execute_action(action)
        return actions

    async def wait_until_finished(self) -> None:
        """Wait until all requests have ended, then a limited time for outcomes to be recorded."""
        while self.running or not self.queue.empty() or self.waiters:
            await asyncio.sleep(FINISHED_POLL_INTERVAL_S)
        deadline = self.node.clock.monotonic() + RECORD_TIMEOUT_S
        while self.coordinator.registry.by_id and self.node.clock.monotonic() < deadline:
            await asyncio.sleep(FINISHED_POLL_INTERVAL_S)

    async def cancel(self, request_id: str) -> None:
        """Cancel a request whose caller has disconnected, if it is running and idempotent.

        :param request_id: hexadecimal request id.
        """
        if request_id in self.running_ids:
            await self.backend.cancel(request_id)

    def admit(self, digest: str) -> None:
        """Admit work under the loaded weights.

        :param digest: hexadecimal digest of the weights, empty for a plain backend server.
        """
        self.admitted_digest = digest
        self.admitting = True

    def _execute_action(self, action: Action | ClaimAction) -> None:
        match action:
            case Enqueue(key=key):
                self._enqueue(key)
            case RequestAnswered(request_id=request_id) | RequestRefused(request_id=request_id):
                # The dispatch of a claim that ends before it runs is stored by request identifier.
                self.dispatches.pop(request_id, None)
                self._resolve(request_id, action)
            case CommitBatch() | ReadRow() | QueryOwner():
                self._start_store_action(action)

    def _enqueue(self, key: str) -> None:
        if not self.accepting:
            self._refuse(key, Code.leaving)
            return
        self.serial += 1
        self.queue.put_nowait(QueuedRun(self.dispatches[key].priority, self.serial, key))

    def _refuse(self, key: str, code: Code) -> None:
        self.dispatches.pop(key, None)
        self.handle(Fail(key, code, HasRun.no))

    def _resolve(self, request_id: str, outcome: RequestAnswered | RequestRefused) -> None:
        waiter = self.waiters.pop(request_id, None)
        if waiter is not None and not waiter.outcome_future.done():
            waiter.outcome_future.set_result(outcome)

    def _start_store_action(self, action: CommitBatch | ReadRow | QueryOwner) -> None:
        task = asyncio.create_task(self._run_store_action(action))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run_store_action(self, action: CommitBatch | ReadRow | QueryOwner) -> None:
        self.handle(await self.store.execute(action))

    async def _work_slot(self) -> None:
        while True:
            queued = await self.queue.get()
            dispatch = self.dispatches.get(queued.key)
            is_exclusive = dispatch is not None and dispatch.alone
            async with self.gate.enter(exclusive=is_exclusive):
                if is_exclusive:
                    # A previous suspected request may have just crashed the backend server.
                    await self.health.wait_until_up(RESTART_TIMEOUT_S)
                await self._run_key(queued.key)

    async def _run_key(self, key: str) -> None:
        if not self.admitting or self.health.down:
            self._refuse(key, Code.not_ready)
            return
        dispatch = self.dispatches.pop(key, None)
        began = any(isinstance(action, Execute) for action in self.handle(TryStart(key)))
        if not began:
            return
        if dispatch is None:
            self.handle(Fail(key, Code.backend_failed, HasRun.no))
            return
        self._update_running(1)
        started = self.node.clock.monotonic()
        outcome = await self._generate(key, dispatch)
        self._update_running(-1)
        self.node.metrics.latency(LatencyName.run, self.node.clock.monotonic() - started)
        self.handle(outcome)

    async def _generate(self, key: str, dispatch: messages.Dispatch) -> Finish | Fail:
        request_id = dispatch.request_id.hex()
        self._record_run_event(EventKind.request_started, CounterName.runs_started, request_id)
        order = GenerateRequest(request_id, dispatch.body, dispatch.priority)
        if dispatch.idempotent:
            # Other runs are never cancelled, so that a retry with the same key gets the response.
            self.running_ids.add(request_id)
        waiter = self.waiters.get(request_id)
        on_part = waiter.on_part if waiter else discard_part
        run = await self.backend.run(order, self.admitted_digest, on_part)
        self.running_ids.discard(request_id)
        self._record_run_event(EventKind.request_finished, CounterName.runs_finished, request_id)
        return self._run_result_message(key, request_id, run)

    def _run_result_message(self, key: str, request_id: str, run: RunResult) -> Finish | Fail:
        if run.crashed:
            self.crashed_ids.add(request_id)
            self.health.record_crash()
        match run.outcome:
            case Failure(code=code, ran=ran):
                return Fail(key, code, ran)
            case response:
                return Finish(key, response)

    def _update_running(self, change: int) -> None:
        self.running += change
        if self.running:
            self.idle.clear()
        else:
            self.idle.set()

    def _record_run_event(self, kind: EventKind, counter: CounterName, request_id: str) -> None:
        self.node.timeline.record(
            kind,
            request_id=request_id[:REQUEST_ID_DIGITS],
            detail=f'attempt {request_id[REQUEST_ID_DIGITS:]}',
        )
        self.node.metrics.count(counter)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.handle(Sweep(SWEEP_LIMIT))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.handle(Tick())


__all__ = ('Executor',)
