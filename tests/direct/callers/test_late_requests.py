"""Requests on open connections while an entry stops: those passed on get an answer.

They guard against requests that are taken late in the grace period, passed on to a replica, and cut
off without an answer at its end.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest
from direct_callers import run_count, run_site_in_virtual_time
from slow_callers import SlowCaller, connect

from cassiahitch.standins.directsite import DirectSite, DirectSiteSize

GRACE_S = 8.0
#: Seconds after the signal until which requests are sent, beyond the end of the process.
SENT_FOR_S = 8.4
INTERVAL_S = 0.1
#: Seconds for which a replica works on a request.
WORK_S = 1.2
EVENT_PAUSE_S = 0.25
BODY = b'{}'
SIZE = DirectSiteSize(entries=1, models=2, plain=2)
DEADLINES_MS = {'/order/1': 1500, '/lookup/1': 1500, '/draft/1': 6000}
#: A request that was sent until then may still be at its replica when the process ends, in seconds.
UNFINISHED_UNTIL_S = 3.0
#: Status of a request that has not run and never will.
NOT_RUN_STATUS = 503


@dataclass
class LateCaller:
    """Sends one request some time after the signal, on a connection that it opened before."""

    caller: SlowCaller
    path: str
    after_s: float

    async def send(self) -> None:
        await asyncio.sleep(self.after_s)
        try:
            await self.caller.send(self.path, body=BODY, deadline_ms=DEADLINES_MS[self.path])
            self.caller.send_second_half(BODY)
        except ConnectionError:
            return
        await self.caller.read_response()


async def open_callers(site: DirectSite, path: str) -> list[LateCaller]:
    count = int(SENT_FOR_S / INTERVAL_S)
    return [
        LateCaller(await connect(site.entries[0]), path, number * INTERVAL_S)
        for number in range(count)
    ]


@pytest.mark.parametrize('path', list(DEADLINES_MS))
def test_request_that_was_passed_on_while_the_entry_stops_gets_an_answer(path: str) -> None:
    async def body(site: DirectSite) -> None:
        for plain in site.plain:
            plain.pause_s = WORK_S
            plain.slots = 100
        for model in site.models:
            model.pause_s = EVENT_PAUSE_S
            model.slots = 100
        callers = await open_callers(site, path)
        async with asyncio.TaskGroup() as group:
            group.create_task(site.entries[0].stop())
            for late in callers:
                group.create_task(late.send())
        replicas = [*site.plain, *site.models]
        ran = [late for late in callers if run_count(replicas, late.caller.got.attempt)]
        assert len(ran) > 20
        answered = [late for late in ran if late.caller.got.complete]
        assert all(late.after_s <= UNFINISHED_UNTIL_S for late in ran if late not in answered)
        assert all(late.caller.got.status != NOT_RUN_STATUS for late in answered)

    run_site_in_virtual_time(body, SIZE, grace_s=GRACE_S)
