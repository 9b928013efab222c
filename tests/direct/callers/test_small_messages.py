"""Small messages are sent at once instead of waiting for an acknowledgement."""

from __future__ import annotations

import asyncio
import socket

from direct_callers import run_site_in_virtual_time
from slow_callers import connect

from cassiahitch.direct.callers.frontend import Frontend
from cassiahitch.standins.directsite import DirectSite

#: Responses on one connection; the kernel acknowledges the first ones at once in any case.
RESPONSE_COUNT = 10
#: Latency bound in seconds, below the 0.04 s of a delayed acknowledgement.
MAX_LATENCY_S = 0.02


def has_nodelay(frontend: Frontend) -> bool:
    streams = [exchange.stream for exchange in frontend.open]
    return all(
        stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for stream in streams
    )


def test_responses_on_a_reused_connection_do_not_wait_for_acknowledgements() -> None:
    async def body(site: DirectSite) -> None:
        frontend = site.entries[0].frontend
        for model in site.models:
            model.pause_s = 0.05
        caller = await connect(site.entries[0])
        for _ in range(3):
            await caller.send('/draft/1')
            await asyncio.sleep(0.03)
            assert frontend.open
            assert has_nodelay(frontend)
            assert (await caller.read_response(close=False)).complete
            caller.machine.start_next_cycle()
        caller.writer.close()

    run_site_in_virtual_time(body)


def test_requests_on_a_reused_connection_are_served_at_once() -> None:
    async def body(site: DirectSite) -> None:
        clock = asyncio.get_running_loop().time
        caller = await connect(site.entries[0])
        latencies_s: list[float] = []
        for _ in range(RESPONSE_COUNT):
            started_at = clock()
            await caller.send('/lookup/1')
            assert (await caller.read_response(close=False)).status == 200
            latencies_s.append(clock() - started_at)
            caller.machine.start_next_cycle()
        caller.writer.close()
        assert sorted(latencies_s)[RESPONSE_COUNT // 2] < MAX_LATENCY_S

    run_site_in_virtual_time(body)
