"""The final answers of requests that fail."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, Ran
from cassiahitch.direct.callers.bounds import RETURN_S
from cassiahitch.direct.callers.failures import failure_answer, id_of, raw_answer
from cassiahitch.direct.callers.progress import Phase
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call, RequestCodec
    from cassiahitch.direct.callers.front import CallerExchange
    from cassiahitch.direct.journal import Journal


@dataclass(frozen=True, slots=True)
class FinalAnswers:
    """Gives them, and records them."""

    codec: RequestCodec
    journal: Journal

    async def answers_last(self, call: Call | None, caller: CallerExchange) -> bool:
        """Answer a request that ends before its answer began, if its caller is there.

        :param call: the request, if it could be read.
        :param caller: where its answer goes.
        :return: whether it is answered.
        """
        if caller.given_up and not caller.gone:
            await self.refuse(call, caller, _given_up(call, caller.progress.phase))
            return True
        if not caller.progress.cut:
            self.journal.left(call, caller.progress)
        return False

    async def fail(self, caller: CallerExchange, fault: Exception) -> None:
        """End a request whose service failed with a fault inside.

        :param caller: the request and where its answer goes.
        :param fault: what was raised.
        """
        self.journal.fault(caller.progress.id or id_of(self.codec, caller.incoming), fault)
        if caller.started:
            caller.abort()
            return
        error = RequestError(Code.internal, 'a fault inside this entry', Ran.unknown)
        await caller.answer(*failure_answer(error))

    def malformed(self) -> bytes:
        """Refuse bytes that are no request.

        :return: the answer.
        """
        error = RequestError(Code.bad_request, 'not a request in HTTP/1.1', Ran.no)
        self.journal.failed(None, error)
        return raw_answer(error)

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
        self.journal.failed(call, error)
        if caller.started:
            caller.abort()
            return
        if call is not None and call.failure is not None:
            # What a backend server said is worth more than that no other one could be asked.
            head = call.failure.head
            await caller.answer(head.status, head.reason, head.headers, call.failure.body)
            return
        status, reason, headers, body = failure_answer(error)
        await caller.answer(status, reason, headers, body)


def _given_up(call: Call | None, phase: Phase) -> RequestError:
    ran = Ran.no if call is None else call.ran
    if phase is Phase.replica:
        ran = Ran.unknown
    return RequestError(Code.leaving, 'this entry ends', ran, RETURN_S)


__all__ = ('FinalAnswers',)
