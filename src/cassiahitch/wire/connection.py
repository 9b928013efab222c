"""A connection between two processes: calls, streamed replies and heartbeats."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncGenerator, Iterator
from contextlib import ExitStack, aclosing, contextmanager, suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError, WireError
from cassiahitch.wire.codec import Envelope, decode, encode
from cassiahitch.wire.framing import pack, read_frame
from cassiahitch.wire.messages import AnswerPart, Failure

if TYPE_CHECKING:
    from tornado.iostream import IOStream

    from cassiahitch.clock import Clock
    from cassiahitch.wire.api import Process
    from cassiahitch.wire.messages import Hello, Message


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits and intervals of a connection; times are in seconds."""

    max_frame_bytes: int = 8 * 1024 * 1024
    max_calls_handled: int = 1024
    heartbeat_s: float = 0.5
    silent_after_s: float = 3


class Connection:
    """Owns one byte stream; ends with a :class:`WireError` if it closes or the peer is silent."""

    def __init__(
        self,
        stream: IOStream,
        peer: Hello,
        clock: Clock,
        limits: ConnectionLimits,
        process: Process,
    ) -> None:
        """Create a connection after its handshake.

        :param stream: the byte stream; the connection closes it.
        :param peer: identity of the process at the other end.
        :param clock: source of time.
        :param limits: limits and intervals.
        :param process: handles each message that is not a reply, in a task of its own.
        """
        self.stream = stream
        self.peer = peer
        self.clock = clock
        self.limits = limits
        self.process = process
        self.numbers = itertools.count(1)
        self.reply_queues: dict[int, asyncio.Queue[Message | WireError]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.last_received_at = clock.monotonic()
        #: False for a connection that serves only to resolve unclear outcomes and closes soon.
        self.accepts_calls = True
        self.close_reason: WireError | None = None
        self.ended = asyncio.Event()

    async def run(self) -> WireError:
        """Receive messages until the connection ends.

        :return: the reason why it ended.
        """
        heartbeat_task = asyncio.create_task(self._send_heartbeats())
        try:
            await self._receive_messages()
        except WireError as error:
            self.close(error)
        finally:
            heartbeat_task.cancel()
            self.close(WireError(Code.connection_closed, 'closed by this process'))
        return self.close_reason or WireError(Code.connection_closed, 'the connection is closed')

    def close(self, reason: WireError) -> None:
        """Close the connection and fail every call that waits for a reply.

        :param reason: error that the waiting calls raise.
        """
        if self.close_reason is not None:
            return
        self.close_reason = reason
        self.ended.set()
        self.stream.close()
        for queue in self.reply_queues.values():
            queue.put_nowait(reason)
        for task in tuple(self.tasks):
            task.cancel()

    async def send(self, message: Message, reply_to: int = 0, number: int | None = None) -> None:
        """Send a message.

        :param message: the message.
        :param reply_to: number of the call that it replies to, 0 if it is no reply.
        :param number: number of the message itself, the next free one by default.
        :raises WireError: if the connection is closed.
        """
        if self.close_reason is not None:
            raise self.close_reason
        message_number = next(self.numbers) if number is None else number
        body = encode(Envelope(message_number, reply_to, self.process.next_timestamp(), message))
        try:
            await self.stream.write(pack(body))
        except StreamClosedError as error:
            raise WireError(
                Code.connection_closed, 'the connection was closed while sending'
            ) from error

    async def call(self, message: Message) -> Message:
        """Send a message and wait for its reply.

        :param message: the message.
        :return: the reply.
        :raises WireError: if the connection ends before the reply arrives.
        :raises CassiahitchError: if the peer replies with a failure.
        """
        async with aclosing(self.stream_call(message)) as replies:
            return await anext(replies)

    async def stream_call(self, message: Message) -> AsyncGenerator[Message, None]:
        """Send a message and yield its replies up to the first that is not an answer part.

        :param message: the message.
        :yield: the replies.
        :raises WireError: if the connection ends before the last reply arrives.
        :raises CassiahitchError: if the peer replies with a failure.
        """
        number = next(self.numbers)
        with self._reply_queue(number) as queue:
            await self.send(message, number=number)
            while True:
                reply = _reply_or_raise(await queue.get())
                yield reply
                if not isinstance(reply, AnswerPart):
                    return

    @contextmanager
    def _reply_queue(self, number: int) -> Iterator[asyncio.Queue[Message | WireError]]:
        queue: asyncio.Queue[Message | WireError] = asyncio.Queue()
        with ExitStack() as stack:
            self.reply_queues[number] = queue
            stack.callback(self.reply_queues.pop, number)
            yield queue

    async def _receive_messages(self) -> None:
        while self.close_reason is None:
            envelope = decode(await read_frame(self.stream, self.limits.max_frame_bytes))
            self.last_received_at = self.clock.monotonic()
            self.process.merge_timestamp(envelope.clock)
            if envelope.reply_to:
                self._deliver_reply(envelope)
            else:
                self._start_handling(envelope)

    def _deliver_reply(self, envelope: Envelope) -> None:
        queue = self.reply_queues.get(envelope.reply_to)
        if queue is not None:
            queue.put_nowait(envelope.message)

    def _start_handling(self, envelope: Envelope) -> None:
        if len(self.tasks) >= self.limits.max_calls_handled:
            raise WireError(
                Code.queue_full,
                f'{len(self.tasks)} calls of the peer are in progress, which is the limit',
            )
        task = asyncio.create_task(self._handle(envelope))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _handle(self, envelope: Envelope) -> None:
        async def reply(message: Message) -> None:  # noqa: WPS430 binds the number of the call
            await self.send(message, reply_to=envelope.id)

        with suppress(WireError):
            try:
                await self.process.handle(self, envelope.message, reply)
            except CassiahitchError as error:
                await reply(Failure(error.code, error.detail))

    async def _send_heartbeats(self) -> None:
        while self.close_reason is None:
            with suppress(WireError):
                await asyncio.wait_for(
                    self.send(self.process.heartbeat()), self.limits.silent_after_s
                )
            await asyncio.sleep(self.limits.heartbeat_s)
            silent_s = self.clock.monotonic() - self.last_received_at
            if silent_s > self.limits.silent_after_s:
                self.close(
                    WireError(Code.connection_silent, f'the peer was silent for {silent_s:.1f} s')
                )


def _reply_or_raise(reply: Message | WireError) -> Message:
    if isinstance(reply, WireError):
        raise reply
    if isinstance(reply, Failure):
        raise CassiahitchError(_code_of(reply.code), reply.detail)
    return reply


def _code_of(code: int) -> Code:
    try:
        return Code(code)
    except ValueError:
        return Code.internal


__all__ = (
    'Connection',
    'ConnectionLimits',
)
