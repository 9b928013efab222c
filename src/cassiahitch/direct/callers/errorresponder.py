"""The final answers of requests that fail."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.direct.callers.errorresponses import (
    error_response,
    raw_error_response,
    request_id_of,
)
from cassiahitch.direct.callers.limits import RETRY_AFTER_S
from cassiahitch.direct.callers.progress import Phase
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call, RequestCodec
    from cassiahitch.direct.callers.exchange import CallerExchange
    from cassiahitch.direct.telemetry import Telemetry


@dataclass(frozen=True, slots=True)
class ErrorResponder:
    """Gives them, and records them."""

    codec: RequestCodec
    telemetry: Telemetry

    async def respond_to_abandoned(self, call: Call | None, caller: CallerExchange) -> bool:
        """Answer a request that ends before its answer began, if its caller is there.

        :param call: the request, if it could be read.
        :param caller: where its answer goes.
        :return: whether it is answered.
        """
        if caller.abandoned and not caller.disconnected:
            await self.refuse(call, caller, _given_up(call, caller.progress.phase))
            return True
        if not caller.progress.cut_by_shutdown:
            self.telemetry.caller_disconnected(call, caller.progress)
        return False

    async def fail(self, caller: CallerExchange, fault: Exception) -> None:
        """End a request whose service failed with a fault inside.

        :param caller: the request and where its answer goes.
        :param fault: what was raised.
        """
        self.telemetry.record_fault(
            caller.progress.id or request_id_of(self.codec, caller.incoming), fault
        )
        if caller.response_started:
            caller.abort()
            return
        error = RequestError(Code.internal, 'a fault inside this entry', HasRun.unknown)
        await caller.respond(*error_response(error))

    def reject_malformed(self) -> bytes:
        """Refuse bytes that are no request.

        :return: the answer.
        """
        error = RequestError(Code.bad_request, 'not a request in HTTP/1.1', HasRun.no)
        self.telemetry.request_failed(None, error)
        return raw_error_response(error)

    async def refuse(
        self,
        call: Call | None,
        caller: CallerExchange,
        error: RequestError,
    ) -> None:
        """Give the final answer to a request that failed.

        :param call: the request, if it could be read.
        :param caller: where its answer goes.
        :param error: why it failed.
        """
        self.telemetry.request_failed(call, error)
        if caller.response_started:
            caller.abort()
            return
        if call is not None and call.failed_response is not None:
            # What a backend server said is worth more than that no other one could be asked.
            head = call.failed_response.head
            await caller.respond(head.status, head.reason, head.headers, call.failed_response.body)
            return
        status, reason, headers, body = error_response(error)
        await caller.respond(status, reason, headers, body)


def _given_up(call: Call | None, phase: Phase) -> RequestError:
    ran = HasRun.no if call is None else call.ran
    if phase is Phase.replica:
        ran = HasRun.unknown
    return RequestError(Code.leaving, 'this entry ends', ran, RETRY_AFTER_S)


__all__ = ('ErrorResponder',)
