"""Forwards responses that are not streams: when complete, or in parts if they are large."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Iterable
from contextlib import aclosing
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.direct.backends.exchange import ResponseLost
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import ResponseHead
    from cassiahitch.direct.backends.buffering import BufferBudget, ResponseBuffer
    from cassiahitch.direct.backends.exchange import Exchange
    from cassiahitch.direct.backends.stalls import StallDetector
    from cassiahitch.direct.callers.exchange import CallerExchange
    from cassiahitch.settings.limits import ResponseLimits

#: Statuses by which a caller concludes that its request has not run.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


#: Least time until the deadline of a request, in seconds, each time that another ``buffer_bytes``
#: of its response were forwarded.
DEADLINE_EXTENSION_S = 10.0


@dataclass(slots=True)
class RelayProgress:
    """Counts the forwarded bytes of a large response.

    The deadline of a request whose response states its length is extended while bytes are
    forwarded. ``extended_at`` is the number of bytes at which it was last extended.
    """

    limits: ResponseLimits
    caller: CallerExchange
    states_length: bool
    size: int = 0
    extended_at: int = 0

    def add(self, size: int) -> None:
        """Count forwarded bytes, and extend the deadline after enough of them.

        :param size: number of bytes.
        :raises ResponseLost: if the response exceeds the maximum size.
        """
        self.size += size
        if self.size > self.limits.max_response_bytes:
            raise ResponseLost('the response exceeds the size limit')
        if self.states_length and self.size >= self.extended_at + self.limits.buffer_bytes:
            self.extended_at = self.size
            self.caller.extend_deadline(DEADLINE_EXTENSION_S)


@dataclass(frozen=True, slots=True)
class ResponseRelay:
    """Buffers a response until it is complete, so that a failed attempt can be repeated.

    A response that exceeds the buffer is forwarded in parts instead.
    """

    buffer_budget: BufferBudget

    async def relay(
        self, exchange: Exchange, head: ResponseHead, caller: CallerExchange
    ) -> bytes | None:
        """Read a response, and forward it in parts if it exceeds the buffer.

        :param exchange: the exchange.
        :param head: the head of the response.
        :param caller: receives a large response.
        :return: the body, or None if it was forwarded.
        :raises ResponseLost: if it breaks off, or is too large and may not be forwarded in parts.
        :raises RequestError: if it breaks off after a part of it was forwarded.
        """
        with self.buffer_budget.allocate() as buffer:
            async with aclosing(exchange.parts()) as parts:
                if await _fits(parts, buffer, exchange.stall_detector):
                    return b''.join(buffer.parts)
                if not self.may_forward_parts(head):
                    raise ResponseLost(
                        'the response is too large to be buffered and may not be forwarded in parts'
                    )
                # No other backend server can continue a response that was forwarded in part.
                exchange.stall_detector.restart(None)
                await self.forward_parts(head, caller, buffer, parts)
        return None

    def may_forward_parts(self, head: ResponseHead) -> bool:
        """Return whether a response may be forwarded before it is complete.

        Responses with a status of 500 or above are not: these are small, or the request is sent
        again.

        :param head: the head of the response.
        :return: whether it may.
        """
        fits = (head.length or 0) <= self.buffer_budget.limits.max_response_bytes
        return fits and head.status < HTTPStatus.INTERNAL_SERVER_ERROR and is_forwardable(head)

    async def forward_parts(
        self,
        head: ResponseHead,
        caller: CallerExchange,
        buffer: ResponseBuffer,
        parts: AsyncGenerator[bytes, None],
    ) -> None:
        """Forward a response as fast as its caller reads it.

        :param head: the head of the response.
        :param caller: receives the response.
        :param buffer: the parts received so far.
        :param parts: the further parts.
        :raises RequestError: if the response breaks off or exceeds the maximum size.
        """
        length = () if head.length is None else (('Content-Length', str(head.length)),)
        await caller.start_response(
            head.status,
            head.reason,
            (*head.headers, *length),
            close_delimited=head.close_delimited,
        )
        progress = RelayProgress(
            self.buffer_budget.limits, caller, states_length=head.length is not None
        )
        try:
            async for part in _chain(buffer.pop_parts(), parts):
                progress.add(len(part))
                await caller.write_body(part)
        except ResponseLost as error:
            raise RequestError(Code.outcome_unknown, str(error), HasRun.unknown) from error
        caller.end_response()


def is_forwardable(head: ResponseHead) -> bool:
    """Return whether a response may be forwarded to the caller.

    A status by which the caller concludes that its request has not run must not be forwarded for a
    request that may have run.

    :param head: the head of the response.
    :return: whether it is signed if it must be, not encoded, and has no misleading status.
    """
    is_misleading = head.status in NOT_RUN_STATUSES and not head.not_run
    signed = head.sealed or head.status >= HTTPStatus.MULTIPLE_CHOICES
    return signed and not head.content_encoded and not is_misleading


async def _fits(
    parts: AsyncGenerator[bytes, None], buffer: ResponseBuffer, stall_detector: StallDetector
) -> bool:
    async for part in parts:
        stall_detector.add_bytes(len(part))
        if not buffer.add(part):
            return False
    return True


async def _chain(
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
