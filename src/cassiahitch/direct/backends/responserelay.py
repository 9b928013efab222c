"""Passes whole answers on, and large ones piece by piece."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Iterable
from contextlib import aclosing
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, Ran
from cassiahitch.direct.backends.exchange import ResponseLost
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import ResponseHead
    from cassiahitch.direct.backends.buffering import BufferBudget, ResponseBuffer
    from cassiahitch.direct.backends.exchange import Exchange
    from cassiahitch.direct.backends.stalls import StallDetector
    from cassiahitch.direct.callers.exchange import CallerExchange
    from cassiahitch.settings.bounds import AnswerBounds

#: Statuses that promise that a request has not run.
PROMISES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


#: Seconds in which as much as is held of one answer has to pass on, beyond the request's own time.
PROGRESS_S = 10.0


@dataclass(slots=True)
class RelayProgress:
    """Counts what has passed of a large answer.

    One that states its length may take longer than its request has, as long as it makes progress.
    """

    bounds: AnswerBounds
    caller: CallerExchange
    states_length: bool
    size: int = 0
    extended: int = 0

    def add(self, size: int) -> None:
        """Count bytes.

        :param size: how many.
        :raises ResponseLost: if there are too many.
        """
        self.size += size
        if self.size > self.bounds.largest:
            raise ResponseLost('bytes without end')
        if self.states_length and self.size >= self.extended + self.bounds.held:
            self.extended = self.size
            self.caller.extend_deadline(PROGRESS_S)


@dataclass(frozen=True, slots=True)
class ResponseRelay:
    """Holds an answer until it is whole, so that it can be tried again, unless it is large."""

    buffer_budget: BufferBudget

    async def relay(
        self, exchange: Exchange, head: ResponseHead, caller: CallerExchange
    ) -> bytes | None:
        """Read an answer, and pass it on once more of it has come than is held.

        :param exchange: the exchange.
        :param head: the start of the answer.
        :param caller: where a large answer goes.
        :return: the body, nothing if its caller has it already.
        :raises ResponseLost: if it breaks off, or may not be passed on and is too large.
        :raises RequestError: if it breaks off when a part of it has been passed on.
        """
        with self.buffer_budget.allocate() as held:
            async with aclosing(exchange.parts()) as parts:
                if await _is_held(parts, held, exchange.stall_detector):
                    return b''.join(held.parts)
                if not self.may_pass(head):
                    raise ResponseLost('the answer is too large')
                # Nobody else can go on with an answer that its caller has in part.
                exchange.stall_detector.restart(None)
                await self.pass_large(head, caller, held, parts)
        return None

    def may_pass(self, head: ResponseHead) -> bool:
        """Tell whether an answer may be passed on before its end is there.

        :param head: the start of the answer.
        :return: whether it may; failures are small, or tried again.
        """
        fits = (head.length or 0) <= self.buffer_budget.bounds.largest
        return fits and head.status < HTTPStatus.INTERNAL_SERVER_ERROR and is_forwardable(head)

    async def pass_large(
        self,
        head: ResponseHead,
        caller: CallerExchange,
        held: ResponseBuffer,
        parts: AsyncGenerator[bytes, None],
    ) -> None:
        """Pass an answer on as fast as its caller reads it.

        :param head: its start.
        :param caller: where it goes.
        :param held: its first parts.
        :param parts: the others.
        :raises RequestError: if it breaks off, or has no end.
        """
        length = () if head.length is None else (('Content-Length', str(head.length)),)
        await caller.start_response(head.status, head.reason, (*head.headers, *length))
        passed = RelayProgress(
            self.buffer_budget.bounds, caller, states_length=head.length is not None
        )
        try:
            async for part in _chained(held.take(), parts):
                passed.add(len(part))
                await caller.write_body(part)
        except ResponseLost as error:
            raise RequestError(Code.outcome_unknown, str(error), Ran.unknown) from error
        caller.end_response()


def is_forwardable(head: ResponseHead) -> bool:
    """Tell whether an answer may be passed on.

    A status that promises that nothing ran must not be passed on for a request that ran.

    :param head: the start of the answer.
    :return: whether it is signed, not encoded, and promises nothing that is not true.
    """
    broken_promise = head.status in PROMISES and not head.not_run
    whole = head.sealed or head.status >= HTTPStatus.MULTIPLE_CHOICES
    return whole and not head.content_encoded and not broken_promise


async def _is_held(
    parts: AsyncGenerator[bytes, None], held: ResponseBuffer, stall_detector: StallDetector
) -> bool:
    async for part in parts:
        stall_detector.add_bytes(len(part))
        if not held.add(part):
            return False
    return True


async def _chained(
    first: Iterable[bytes], others: AsyncGenerator[bytes, None]
) -> AsyncGenerator[bytes, None]:
    for part in first:
        yield part
    async for part in others:
        yield part


__all__ = (
    'ResponseRelay',
    'is_forwardable',
)
