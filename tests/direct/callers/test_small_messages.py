"""Small messages leave at once instead of waiting for an acknowledgement."""

from __future__ import annotations

import asyncio
import socket

from direct_callers import run_virtually
from slow_callers import connect

from cassiahitch.direct.callers.frontend import Frontend
from cassiahitch.standins.directsite import DirectSite

#: Answers on one connection; the first ones are acknowledged at once in any case.
ANSWERS = 10
#: Less than the seconds after which an acknowledgement is sent that nothing else carries, 0.04.
AT_ONCE_S = 0.02


def is_undelayed(frontend: Frontend) -> bool:
    streams = [exchange.stream for exchange in frontend.open]
    return all(one.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for one in streams)


def test_answers_on_a_kept_connection_do_not_wait_for_acknowledgements() -> None:
    async def body(site: DirectSite) -> None:
        frontend = site.entries[0].frontend
        for model in site.models:
            model.pause_s = 0.05
        caller = await connect(site.entries[0])
        for _ in range(3):
            await caller.send('/draft/1')
            await asyncio.sleep(0.03)
            assert frontend.open
            assert is_undelayed(frontend)
            assert (await caller.answer(close=False)).whole
            caller.machine.start_next_cycle()
        caller.writer.close()

    run_virtually(body)


def test_requests_on_a_kept_connection_are_answered_at_once() -> None:
    async def body(site: DirectSite) -> None:
        clock = asyncio.get_running_loop().time
        caller = await connect(site.entries[0])
        times: list[float] = []
        for _ in range(ANSWERS):
            began = clock()
            await caller.send('/lookup/1')
            assert (await caller.answer(close=False)).status == 200
            times.append(clock() - began)
            caller.machine.start_next_cycle()
        caller.writer.close()
        assert sorted(times)[ANSWERS // 2] < AT_ONCE_S

    run_virtually(body)
