"""Backend servers of the soak, which record every request that they receive."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from cassiahitch.direct.api import header
from cassiahitch.platform import names
from cassiahitch.soak.answers import AnswerWriter
from cassiahitch.soak.auditedweights import AuditedWeights, loaded_faults
from cassiahitch.soak.faulty_responses import encode_refusal, is_head_endless, write_endless
from cassiahitch.soak.latecalls import LateCalls, classify_call
from cassiahitch.soak.prompts import Prompt
from cassiahitch.soak.records import Disturbance, Execution
from cassiahitch.soak.responses import make_seal, short_digest
from cassiahitch.standins.backends import BackendStandin
from cassiahitch.standins.engineweights import LAYERS, EngineWeights
from cassiahitch.standins.faults import REFUSALS, Fault
from cassiahitch.standins.responses import ResponseWriter, refusal_headers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from cassiahitch.direct.api import Headers
    from cassiahitch.soak.events import AgentCall

#: Prompt tokens that an engine processes per second.
READ_TOKENS_PER_S = 8000.0
#: Seconds between two checks whether a connection has closed.
CLOSE_POLL_INTERVAL_S = 0.02
#: Faults that refuse a request.
SOAK_REFUSALS = REFUSALS | {Fault.repeat_refusal}
#: Seconds for which a prompt that crashes an engine puts it out of service.
CRASH_S = 2.0
#: Seconds of the pause that a backend server requests.
REQUESTED_PAUSE_S = 1.5


@dataclass
class SoakBackend(BackendStandin):
    """A backend server that runs ``slots`` requests at a time and queues the others.

    ``slowness`` multiplies all delays. ``host`` stays the same when the replica restarts under a
    new id. ``prompt_lock`` lets the engine process one prompt at a time. ``limited_since`` is when
    the backend server began to name its rate limit. ``crashes`` records when prompts had crashed
    it. ``register`` writes its row in the store again after a crash, and ``relist`` after a load.
    ``restart_lock`` is held while it is down. ``awake`` is cleared while it is silent. ``refusals``
    holds the refusals to be written once more, by their connections. ``agent_calls`` counts the
    calls of the agent by their kind, and ``late_calls`` decides which of them are executed late.
    """

    executions: list[Execution] = field(default_factory=list)
    crashes: list[Disturbance] = field(default_factory=list)
    register: Callable[[], None] | None = None
    relist: Callable[[], None] | None = None
    restart_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    awake: asyncio.Event = field(default_factory=asyncio.Event)
    silence_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    refusals: dict[asyncio.StreamWriter, bytes] = field(default_factory=dict)
    restart_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    agent_calls: Counter[AgentCall] = field(default_factory=Counter)
    late_calls: LateCalls | None = None
    slowness: float = 1
    limited_since: float = 0
    host: str = ''
    free_slots: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(1))
    prompt_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def __post_init__(self) -> None:
        """Create the semaphore of the slots."""
        self.free_slots = asyncio.Semaphore(self.slots)
        self.awake.set()

    async def answer(
        self, response: ResponseWriter, method: str, target: str, headers: Headers, body: bytes
    ) -> bool:
        """Record a request of a caller and respond to it.

        :param response: connection to write the response to.
        :param method: request method.
        :param target: path and query.
        :param headers: request headers.
        :param body: request body.
        :return: whether the connection can be reused.
        """
        attempt_id = header(headers, names.ATTEMPT_ID)
        if not attempt_id:
            if await self.is_executed(method, target):
                return await super().answer(response, method, target, headers, body)
            return False
        execution = Execution(
            attempt_id,
            self.id,
            self.host,
            target,
            short_digest(body),
            header(headers, names.ORGANISATION),
            asyncio.get_running_loop().time(),
            key_passed=bool(header(headers, names.API_KEY)),
            prompt=header(headers, names.PROMPT_SEGMENTS),
            said_leaving=self.stopping,
            limit_per_s=self.limit_per_s,
            limited_since=self.limited_since,
        )
        self.executions.append(execution)
        await self.awake.wait()
        fault = self.faults.pop(0) if self.faults else self.fault
        repeated = self.refusals.pop(response.writer, b'')
        if repeated:
            execution.broke_off = True
            fault = Fault.none
            response.write_raw(repeated)
        refusal_status = self.refusal_status(headers)
        if fault is Fault.repeat_refusal:
            self.refusals[response.writer] = encode_refusal(attempt_id)
        if refusal_status is not None or fault in SOAK_REFUSALS:
            execution.refused = True
            status = refusal_status or HTTPStatus.SERVICE_UNAVAILABLE.value
            pause_s = REQUESTED_PAUSE_S if fault is Fault.ask_pause else None
            if pause_s is not None:
                execution.paused_until = execution.arrived + pause_s
            await response.send_response(status, refusal_headers(attempt_id, pause_s), b'')
            return True
        return await self.execute(response, execution, headers, fault)

    async def is_executed(self, method: str, target: str) -> bool:
        """Wait until a call without an attempt is executed, also if its connection is closed.

        That is after a silence, and after the delay of a call that is executed late.

        :param method: request method.
        :param target: path and query.
        :return: whether the call is executed; not if the process ends in the meantime.
        """
        await self.awake.wait()
        call = classify_call(method, target)
        if call is None:
            return True
        self.agent_calls[call] += 1
        engine = self.engine
        if self.late_calls is not None:
            await self.late_calls.wait(call)
        return self.engine is engine and not self.restart_lock.locked()

    def order(self, engine: EngineWeights, order: dict[str, Any]) -> int:
        """Begin a load, and list the layers that are left at once.

        :param engine: the weights.
        :param order: the order, with the version and the sequence number that it expects.
        :return: the HTTP status.
        """
        status = super().order(engine, order)
        if status == HTTPStatus.ACCEPTED and not engine.loading:
            self.list_weights(engine)
        return status

    async def load(self, engine: EngineWeights, version: int) -> None:
        """Load the chunks of the accepted order, and list the version, proven or not.

        :param engine: the weights.
        :param version: the version to load.
        """
        await super().load(engine, version)
        self.list_weights(engine)

    def list_weights(self, engine: EngineWeights) -> None:
        """Write the loaded version to the store, unless the process has ended meanwhile.

        :param engine: the weights.
        """
        is_up = self.engine is engine and not self.restart_lock.locked()
        if is_up and self.relist is not None:
            self.relist()

    def refusal_status(self, headers: Headers) -> int | None:
        """Return the status with which a request must be refused.

        :param headers: headers of the request.
        :return: the HTTP status, None if the request can run.
        """
        engine = self.engine
        if engine is not None and engine.version and engine.loaded_layers != range(LAYERS):
            return HTTPStatus.MISDIRECTED_REQUEST.value
        return super().refusal_status(headers)

    async def execute(
        self, response: ResponseWriter, execution: Execution, headers: Headers, fault: Fault
    ) -> bool:
        """Run a request once a slot is free.

        :param response: connection to write the response to.
        :param execution: record of the request.
        :param headers: request headers.
        :param fault: fault to apply.
        :return: whether the connection can be reused.
        """
        with ExitStack() as stack:
            stack.enter_context(self.count_running())
            stack.callback(_record_end, execution)
            stack.enter_context(_recording_close(response, execution))
            async with self.free_slots:
                if response.writer.is_closing():
                    return False
                return await self.run_in_slot(response, execution, headers, fault)

    async def run_in_slot(
        self, response: ResponseWriter, execution: Execution, headers: Headers, fault: Fault
    ) -> bool:
        """Process the prompt and send the response, or apply the fault.

        :param response: connection to write the response to.
        :param execution: record of the request.
        :param headers: request headers.
        :param fault: fault to apply.
        :return: whether the connection can be reused.
        """
        if self.engine is not None:
            tokens = int(header(headers, names.TOKEN_COUNTS, '0').partition(',')[0])
            async with self.prompt_lock:
                await self.work_for(tokens / READ_TOKENS_PER_S)
            if response.writer.is_closing():
                return False
            if Prompt.parse(execution.prompt).crashes:
                self.crash(execution)
                return False
            execution.version = self.engine.version
            execution.weight_faults = loaded_faults(self.engine)
        execution.began = asyncio.get_running_loop().time()
        if fault is Fault.lose:
            execution.broke_off = True
            response.reset()
            return False
        head = {
            names.ATTEMPT_ID: execution.id,
            names.RESPONSE_SEAL: make_seal(self.id, execution.id),
        }
        if fault is Fault.endless:
            execution.broke_off = True
            execution.endless = True
            return await write_endless(response, head, in_head=is_head_endless(head))
        writer = AnswerWriter(response, execution, head, fault, self.work_for)
        if self.engine is None:
            return await writer.send_body()
        return await writer.send_stream(int(header(headers, names.LAST_EVENT, '0')))

    def crash(self, cause: Execution) -> None:
        """Go down, unless the backend server is down already, and come back as a new process.

        :param cause: the request that crashes the backend server.
        """
        cause.broke_off = True
        if self.restart_lock.locked():
            return
        cause.crashed = True
        now = asyncio.get_running_loop().time()
        self.crashes.append(Disturbance(self.host, now, now + CRASH_S))
        task = asyncio.create_task(self.restart(CRASH_S, as_new_process=True))
        self.restart_tasks.add(task)
        task.add_done_callback(self.restart_tasks.discard)

    async def work_for(self, seconds: float) -> None:
        """Wait as long as some work takes, and until the backend server is not silent.

        :param seconds: duration of the work at the usual speed.
        """
        await asyncio.sleep(self.slowness * seconds)
        await self.awake.wait()

    async def fall_silent(self, seconds: float) -> None:
        """Read and write nothing for some seconds, and then continue with the queue.

        :param seconds: how long.
        """
        async with self.silence_lock:
            self.awake.clear()
            await asyncio.sleep(seconds)
            self.awake.set()

    async def restart(self, seconds: float, *, as_new_process: bool = False) -> None:
        """Stop abruptly and start again on the same port.

        :param seconds: how long the backend server is down.
        :param as_new_process: whether it registers as a new process that has loaded no weights; the
            staged ones survive.
        """
        async with self.restart_lock:
            await self.stop()
            if as_new_process and self.engine is not None:
                self.started_at_ms += 1
                self.engine = restarted(self.engine)
            await asyncio.sleep(seconds)
            await self.start(self.address, self.port)
            if as_new_process and self.register is not None:
                self.register()


def restarted(weights: EngineWeights) -> EngineWeights:
    """Return the weights of a new process, which has loaded none; the staged chunks survive.

    :param weights: weights of the process before it.
    :return: weights with the same staged chunks.
    """
    match weights:
        case AuditedWeights():
            return weights.restarted()
        case _:
            return EngineWeights(weights.model, load_s=weights.load_s, staged=weights.staged)


@contextmanager
def _recording_close(response: ResponseWriter, execution: Execution) -> Iterator[None]:
    watcher = asyncio.create_task(_record_close(response, execution))
    try:
        yield
    finally:
        watcher.cancel()


async def _record_close(response: ResponseWriter, execution: Execution) -> None:
    while not response.writer.is_closing():
        await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
    execution.dropped = asyncio.get_running_loop().time()


def _record_end(execution: Execution) -> None:
    execution.ended = asyncio.get_running_loop().time()


__all__ = (
    'READ_TOKENS_PER_S',
    'SoakBackend',
)
