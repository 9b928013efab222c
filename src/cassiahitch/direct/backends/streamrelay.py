"""Forwards streams to their callers event by event, across all backend servers that send them."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from cassiahitch.direct.backends.events import EventTooLarge
from cassiahitch.direct.backends.exchange import ResponseLost
from cassiahitch.direct.backends.outcomes import Delivered, Lost, Unconfirmed
from cassiahitch.direct.backends.streamends import EndEvidence, StreamEnd, Verdict, judge_end

if TYPE_CHECKING:
    from cassiahitch.direct.api import ResponseHead
    from cassiahitch.direct.backends.endhistory import EndHistory
    from cassiahitch.direct.backends.exchange import Exchange
    from cassiahitch.direct.backends.outcomes import Outcome
    from cassiahitch.direct.backends.streamstate import ProgressTimeouts, StreamState
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.direct.telemetry import Telemetry


@dataclass(frozen=True, slots=True)
class StreamRelay:
    """Forwards the events of one response of a stream, and judges its end.

    ``route_may_resume`` is whether another backend server may send the rest of such a stream.
    """

    exchange: Exchange
    stream: StreamState
    history: EndHistory
    telemetry: Telemetry
    route_may_resume: bool

    @property
    def replica(self) -> Replica:
        """The backend server that sends the response."""
        return self.exchange.connection.replica

    @property
    def may_resume(self) -> bool:
        """Whether another backend server may send the rest of this stream."""
        return self.route_may_resume and self.stream.splitter.is_resumable

    async def forward(self, head: ResponseHead, timeouts: ProgressTimeouts) -> Outcome:
        """Forward complete events of a stream as they arrive.

        :param head: the head of the response.
        :param timeouts: how long to wait for progress.
        :return: how the attempt ended.
        :raises ResponseLost: if the stream breaks off.
        """
        if not head.sealed or head.content_encoded:
            return Lost('the response is not signed, or is encoded')
        splitter = self.stream.splitter
        stall_detector = self.exchange.stall_detector
        if self.stream.started:
            stall_detector.restart(timeouts.next_s)
        count_before = splitter.event_count
        async with aclosing(self.exchange.parts()) as parts:
            async for part in parts:
                event_count = splitter.event_count
                data = self.complete_events(part)
                has_further = splitter.event_count > event_count or splitter.is_inside_event
                if has_further:
                    self.leave_doubt()
                await self.write_events(head, data)
                if splitter.event_count > event_count:
                    stall_detector.restart(timeouts.next_s)
                    continue
                stall_detector.add_bytes(min(len(part), len(splitter.partial_event)))
        return await self.end(head, has_events=splitter.event_count > count_before)

    async def end(self, head: ResponseHead, *, has_events: bool) -> Outcome:
        """End a stream for the caller, unless it was or may have been broken off.

        :param head: the head of the response, which has ended.
        :param has_events: whether the response had complete events.
        :return: how the attempt ended.
        """
        match self.judge(head, has_events=has_events):
            case Verdict.complete:
                await self.complete(head)
                return Delivered()
            case Verdict.broken_off:
                return Lost('the stream was broken off, or ended before any event')
            case Verdict.uncertain:
                self.stream.ask_rest(self.replica)
                return Unconfirmed()

    def judge(self, head: ResponseHead, *, has_events: bool) -> Verdict:
        """Judge the end of the response, and remember it as evidence for others.

        :param head: the head of the response.
        :param has_events: whether the response had complete events.
        :return: the verdict.
        """
        now = asyncio.get_running_loop().time()
        replica = self.replica
        end = StreamEnd(
            is_shown=not head.close_delimited,
            is_inside_event=self.stream.splitter.is_inside_event,
            has_events=has_events,
            is_rest=self.stream.asks_rest,
        )
        if end.is_shown:
            self.history.record_shown_end(replica)
        elif end.is_rest:
            self.history.record_empty_rest(replica, now)
        evidence = EndEvidence(
            never_shown=self.history.never_shows_ends(replica, now),
            is_suspected=self.history.is_suspected(replica, now),
            may_resume=self.may_resume,
            is_mirrored=self.stream.head is not None and self.stream.head.close_delimited,
        )
        verdict = judge_end(end, evidence)
        if end.is_cut and not end.is_shown:
            self.history.record_broken_off(replica, now)
        if end.is_rest or not end.is_shown:
            self.telemetry.stream_end_judged(self.stream, replica, verdict, evidence)
        return verdict

    def leave_doubt(self) -> None:
        """Go on with a stream that turns out to have been broken off by another backend server."""
        if self.stream.doubted is not None:
            now = asyncio.get_running_loop().time()
            self.history.record_broken_off(self.stream.doubted, now)
            self.stream.continue_after_rest()

    async def complete(self, head: ResponseHead) -> None:
        """Write what follows the last event, and end the response to the caller.

        :param head: the head of the response.
        """
        blank_rest = self.stream.blank_rest or self.stream.splitter.partial_event
        await self.write_events(head, blank_rest, last=True)
        self.stream.caller.end_response()

    def complete_events(self, part: bytes) -> bytes:
        """Return the events that a part of the response completes.

        :param part: the part.
        :return: the events.
        :raises ResponseLost: if an event is too large.
        """
        try:
            return self.stream.splitter.feed(part)
        except EventTooLarge as error:
            raise ResponseLost(str(error)) from error

    async def write_events(self, head: ResponseHead, data: bytes, *, last: bool = False) -> None:
        """Write complete events to the caller.

        :param head: the head of the response, written before the first event.
        :param data: the events.
        :param last: whether the response ends with them.
        :raises CallerDisconnected: if the caller has disconnected.
        """
        if not self.stream.started and (data or last):
            await self.start(head)
        if data:
            await self.stream.caller.write_body(data)

    async def start(self, head: ResponseHead) -> None:
        """Write the head of the response to the caller.

        It shows no end if that of the backend server does not and there is no way to prove one, or
        no need to: the stream can not be resumed, or all streams of the service end like this.

        :param head: the head of the response.
        """
        now = asyncio.get_running_loop().time()
        mirrors = not self.may_resume or self.history.never_shows_ends(self.replica, now)
        close_delimited = head.close_delimited and mirrors
        stream = self.stream
        stream.head = replace(head, close_delimited=close_delimited)
        stream.first_event_at = now
        if stream.on_first_event is not None:
            stream.on_first_event(now)
        await stream.caller.start_response(
            head.status, head.reason, head.headers, close_delimited=close_delimited
        )


__all__ = ('StreamRelay',)
