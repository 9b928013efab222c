"""The responses of the soak's backend servers to requests that they run, sound and faulty ones."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

from cassiahitch.platform import names
from cassiahitch.soak.brokenstreams import StreamEnding, choose_ending, kept_parts
from cassiahitch.soak.faulty_responses import write_duplicate, write_trickle
from cassiahitch.soak.records import Execution
from cassiahitch.soak.responses import WorkSpec, plain_body, stream_event
from cassiahitch.standins.faults import Fault
from cassiahitch.standins.responses import ResponseWriter, encode_head

#: Event of a stream, counted from its start, that a fault affects.
FAULTY_EVENT = 3
#: Faults of streams that end the response at that event.
STREAM_FAULTS = frozenset((Fault.cut, Fault.half_event, Fault.fail_resumed))
#: Statuses with which a resumed stream fails; the success is not signed.
RESUMED_STATUSES = (
    HTTPStatus.INTERNAL_SERVER_ERROR,
    HTTPStatus.GATEWAY_TIMEOUT,
    HTTPStatus.BAD_REQUEST,
    HTTPStatus.FOUND,
    HTTPStatus.NO_CONTENT,
    HTTPStatus.OK,
)
FAILED_BODY = b'the stream can not be resumed\n'


@dataclass(frozen=True, slots=True)
class AnswerWriter:
    """Writes the response to one request; ``work_for`` waits as long as some work takes."""

    response: ResponseWriter
    execution: Execution
    head: dict[str, str]
    fault: Fault
    work_for: Callable[[float], Awaitable[None]]

    @property
    def chooses_first(self) -> bool:
        """Whether the first of two variants of a fault applies; the attempt's id decides."""
        return not self.execution.id.encode()[-1] % 2

    async def send_body(self) -> bool:
        """Send a response that is no stream.

        :return: whether the connection can be reused.
        """
        work = WorkSpec.parse(self.execution.target)
        await self.work_for(work.pause_s)
        body = plain_body(self.execution.id, self.execution.digest, work)
        match self.fault:
            case Fault.cut:
                self.send_head_with_length(body)
                self.response.send_data(body[: len(body) // 2])
                return await self.break_off()
            case Fault.trickle:
                self.execution.broke_off = True
                self.send_head_with_length(body)
                return await write_trickle(self.response, body)
            case Fault.unframed:
                self.write_unframed_head({})
                self.response.write_raw(body)
                return False
            case _:
                await self.response.send_response(HTTPStatus.OK, self.head, body)
                return await self.finish(body)

    async def send_stream(self, after: int) -> bool:
        """Send a stream, or what the fault leaves of it.

        :param after: number of the last event that the caller has received.
        :return: whether the connection can be reused.
        """
        match self.fault:
            case Fault.fail_resumed if after:
                return await self.fail_resumed()
            case Fault.break_off:
                return await self.send_broken_off(after, choose_ending(self.execution.id, after))
            case _:
                return await self.send_events(after)

    async def send_events(self, after: int) -> bool:
        """Send the events of a stream.

        :param after: number of the last event that the caller has received.
        :return: whether the connection can be reused.
        """
        work = WorkSpec.parse(self.execution.target)
        content_type = {'Content-Type': 'text/event-stream'}
        is_unframed = self.fault is Fault.unframed or (
            self.fault is Fault.half_event and self.chooses_first
        )
        if is_unframed:
            self.write_unframed_head(content_type)
        else:
            self.response.send_head(HTTPStatus.OK, {**self.head, **content_type})
        write = self.response.write_raw if is_unframed else self.response.send_data
        event = b''
        last = self.last_event(after, work.parts)
        for number in range(after + 1, work.parts + 1):
            await self.work_for(work.pause_s)
            event = stream_event(self.execution.id, number, work)
            if number == last:
                return await self.end_at_event(event, write, is_unframed=is_unframed)
            write(event)
            await self.response.drain()
        if is_unframed:
            return False
        self.response.send_end()
        return await self.finish(event)

    def last_event(self, after: int, count: int) -> int:
        """Return the number of the event at which the fault ends the stream.

        :param after: number of the last event that the caller has received.
        :param count: number of the events of the complete stream.
        :return: number of the event, 0 if the stream is complete.
        """
        if self.fault is Fault.trickle:
            return after + 1
        return min(after + FAULTY_EVENT, count) if self.fault in STREAM_FAULTS else 0

    async def end_at_event(
        self, event: bytes, write: Callable[[bytes], None], *, is_unframed: bool
    ) -> bool:
        """End a stream inside an event, or before it, or let it nearly stop there.

        :param event: the event.
        :param write: writes a part of the body.
        :param is_unframed: whether the body ends with the connection.
        :return: whether the connection can be reused.
        """
        if self.fault is Fault.trickle:
            self.execution.broke_off = True
            return await write_trickle(self.response, event)
        if self.fault is not Fault.fail_resumed:
            write(event[: len(event) // 2])
        if self.fault is not Fault.half_event:
            return await self.break_off()
        self.execution.broke_off = True
        if not is_unframed:
            self.response.send_end()
        await self.response.drain()
        return not is_unframed

    async def fail_resumed(self) -> bool:
        """Respond to a resumed stream with an error, or with a success that is not signed.

        :return: always ``True``: the connection stays open.
        """
        self.execution.broke_off = True
        status = RESUMED_STATUSES[sum(self.execution.id.encode()) % len(RESUMED_STATUSES)]
        head = {**self.head}
        if status is HTTPStatus.OK:
            head.pop(names.RESPONSE_SEAL)
        body = b'' if status is HTTPStatus.NO_CONTENT else FAILED_BODY
        await self.response.send_response(status, head, body)
        return True

    async def send_broken_off(self, after: int, ending: StreamEnding) -> bool:
        """Send a stream that may be broken off.

        :param after: number of the last event that the caller has received.
        :param ending: how it ends.
        :return: whether the connection can be reused.
        """
        match ending:
            case StreamEnding.shown:
                return await self.send_events(after)
            case StreamEnding.error:
                return await self.fail_resumed()
            case StreamEnding.reset:
                return await self.break_off()
        work = WorkSpec.parse(self.execution.target)
        events = [
            stream_event(self.execution.id, number, work)
            for number in range(after + 1, work.parts + 1)
        ]
        parts = kept_parts(events, ending)
        self.execution.broke_off = parts != events
        self.write_unframed_head({'Content-Type': 'text/event-stream'})
        for part in parts:
            await self.work_for(work.pause_s)
            self.response.write_raw(part)
            await self.response.drain()
        return False

    async def break_off(self) -> bool:
        """Reset the connection in the middle of the response.

        :return: always ``False``: the connection can't be reused.
        """
        self.execution.broke_off = True
        await self.response.drain()
        self.response.reset()
        return False

    async def finish(self, content: bytes) -> bool:
        """Send a complete response a second time if the fault demands it.

        :param content: body of the duplicate.
        :return: always ``True``: the connection stays open.
        """
        if self.fault is not Fault.double:
            return True
        return await write_duplicate(self.response, self.head, content)

    def send_head_with_length(self, body: bytes) -> None:
        """Send the head of a response with a length.

        :param body: the complete body.
        """
        self.response.send_head(HTTPStatus.OK, {**self.head, 'Content-Length': str(len(body))})

    def write_unframed_head(self, headers: dict[str, str]) -> None:
        """Write the head of a response that ends with its connection.

        :param headers: additional headers.
        """
        lines = {**self.head, **headers, **self.response.default_headers, 'Connection': 'close'}
        self.response.write_raw(encode_head(HTTPStatus.OK, lines))


__all__ = ('AnswerWriter',)
