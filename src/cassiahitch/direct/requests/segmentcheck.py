"""Checks of a request by the segments of its prompt, before and between its attempts."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.direct.placement.segmentguard import Refused, Suspected
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.placement.crashdetector import CrashDetector
    from cassiahitch.direct.state.replicas import Replica

#: Shortest Retry-After, in seconds, of a request that is refused because of a segment.
MIN_RETRY_AFTER_S = 30.0
#: Longest time, in seconds, that a suspect request waits after a crash for what others observed.
EVIDENCE_WAIT_S = 0.25
#: Time between two checks of the evidence meanwhile, in seconds.
EVIDENCE_POLL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class SegmentCheck:
    """Refuses or delays requests by what is known on their segments."""

    entry_state: EntryState
    crash_detector: CrashDetector

    def require_allowed(self, call: Call) -> None:
        """Check that a request has no segments that crash engines, or is the trial of them.

        :param call: the request.
        :raises RequestError: ``poison_refused``.
        """
        verdict = self.entry_state.segments.verdict(call)
        if not isinstance(verdict, Refused) or call.is_trial:
            return
        now = asyncio.get_running_loop().time()
        is_owner = self.entry_state.members.is_owner(verdict.trial_name(now), now)
        if not is_owner or not self.entry_state.segments.start_trial(verdict, now):
            raise refusal(call, verdict.trial_at - now)
        call.is_trial = True

    @asynccontextmanager
    async def withdraw_if_refused(self, call: Call) -> AsyncIterator[None]:
        """End an attempt within the context if the request is refused before it has begun.

        :param call: the request.
        :yield: nothing.
        :raises RequestError: ``poison_refused`` if it was ended.
        """
        if call.is_trial or call.has_begun or not call.shared_segments:
            yield
            return
        clock = asyncio.get_running_loop().time
        timer = asyncio.timeout(None)
        try:
            async with timer:
                withdraw = partial(_expire, timer, call)
                with self.entry_state.segments.watch(call, withdraw):
                    yield
        except TimeoutError:
            if not timer.expired():
                raise
            call.may_have_run = call.may_have_run or call.attempt_count > 0
            raise refusal(call, self.trial_in_s(call, clock())) from None

    def trial_in_s(self, call: Call, now: float) -> float:
        """Return the time until the segments of a request are tried again.

        :param call: the request.
        :param now: current time in seconds.
        :return: seconds, 0 if they are not refused.
        """
        verdict = self.entry_state.segments.verdict(call)
        return verdict.trial_at - now if isinstance(verdict, Refused) else 0

    async def wait_for_evidence(self, call: Call, replica: Replica) -> None:
        """Wait until it is known whether a request that was lost may be sent again.

        :param call: the request.
        :param replica: replica that it was lost at.
        :raises RequestError: ``poison_refused``.
        """
        if call.has_begun or not call.shared_segments:
            return
        # A trial is one send.
        call.is_trial = False
        await self.crash_detector.wait_for_probe(replica)
        clock = asyncio.get_running_loop().time
        wait_until = clock() + EVIDENCE_WAIT_S
        while clock() < wait_until and self.is_suspected(call):
            await asyncio.sleep(EVIDENCE_POLL_INTERVAL_S)
        self.require_allowed(call)

    def is_suspected(self, call: Call) -> bool:
        """Return whether a request may crash engines, which is not certain yet.

        :param call: the request.
        :return: whether one of its segments is suspect.
        """
        return isinstance(self.entry_state.segments.verdict(call), Suspected)


def refusal(call: Call, trial_in_s: float) -> RequestError:
    """Return the error for a request with segments that crash engines.

    :param call: the request.
    :param trial_in_s: seconds until the segments are tried again.
    :return: the error.
    """
    detail = 'a segment of the prompt crashed the engines that ran it'
    return RequestError(Code.poison_refused, detail, call.ran, max(MIN_RETRY_AFTER_S, trial_in_s))


def _expire(timer: asyncio.Timeout, call: Call) -> None:
    if not call.has_begun:
        timer.reschedule(asyncio.get_running_loop().time())


__all__ = (
    'EVIDENCE_WAIT_S',
    'MIN_RETRY_AFTER_S',
    'SegmentCheck',
    'refusal',
)
