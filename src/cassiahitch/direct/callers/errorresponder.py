"""Sends error responses to the callers of requests that fail."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.direct.callers.errorresponses import (
    error_response,
    raw_error_response,
    request_id_of,
)
from cassiahitch.direct.callers.limits import OTHER_ENTRY_RETRY_AFTER_S
from cassiahitch.direct.callers.progress import Phase
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call, RequestCodec
    from cassiahitch.direct.callers.exchange import CallerExchange
    from cassiahitch.direct.telemetry import Telemetry


@dataclass(frozen=True, slots=True)
class ErrorResponder:
    """Sends error responses and records them."""

    codec: RequestCodec
    telemetry: Telemetry

    async def respond_to_abandoned(self, call: Call | None, caller: CallerExchange) -> bool:
        """Respond to a request that was cancelled, unless its caller has disconnected.

        :param call: the request, None if it could not be read.
        :param caller: the exchange with its caller.
        :return: whether the caller got a response.
        """
        if caller.abandoned and not caller.disconnected:
            await self.refuse(call, caller, _shutdown_error(call, caller.progress.phase))
            return True
        if not caller.progress.cut_by_shutdown:
            self.telemetry.caller_disconnected(call, caller.progress)
        return False

    async def fail(self, caller: CallerExchange, exception: Exception) -> None:
        """End a request that failed with an unexpected exception.

        :param caller: the exchange with its caller.
        :param exception: the exception.
        """
        self.telemetry.record_internal_error(
            caller.progress.id or request_id_of(self.codec, caller.incoming), exception
        )
        if caller.response_started:
            caller.abort()
            return
        error = RequestError(Code.internal, 'an unexpected error inside this entry', HasRun.unknown)
        await caller.respond(*error_response(error))

    def reject_malformed(self) -> bytes:
        """Refuse bytes that are not an HTTP request.

        :return: the bytes of the response.
        """
        error = RequestError(
            Code.bad_request, 'the received bytes are not an HTTP/1.1 request', HasRun.no
        )
        self.telemetry.request_failed(None, error)
        return raw_error_response(error)

    async def refuse(
        self,
        call: Call | None,
        caller: CallerExchange,
        error: RequestError,
    ) -> None:
        """Send the final response to a request that failed.

        :param call: the request, None if it could not be read.
        :param caller: the exchange with its caller.
        :param error: why it failed.
        """
        self.telemetry.request_failed(call, error)
        if caller.response_started:
            caller.abort()
            return
        if call is not None and call.failed_response is not None:
            # The error response of a backend server says more about the request than that there
            # was no other backend server to retry it at.
            await caller.forward(call.failed_response)
            return
        status, reason, headers, body = error_response(error)
        await caller.respond(status, reason, headers, body)


def _shutdown_error(call: Call | None, phase: Phase) -> RequestError:
    ran = HasRun.no if call is None else call.ran
    if phase is Phase.replica:
        ran = HasRun.unknown
    return RequestError(Code.leaving, 'this entry is shutting down', ran, OTHER_ENTRY_RETRY_AFTER_S)


__all__ = ('ErrorResponder',)
