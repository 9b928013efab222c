"""Tests of the limit on the bytes of chunks that are in flight to a host."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from hypothesis import given
from hypothesis import strategies as st
from virtual_loop import virtual_time

from cassiahitch.direct.staging.receiving import LATE_AFTER_S, PART_BYTES, ReceiveWindow
from cassiahitch.weights.tree import Tier

MAX_BYTES = 4 * PART_BYTES


def run_in_virtual_time(body: Callable[[ReceiveWindow], Awaitable[None]]) -> None:
    async def run_body() -> None:
        await body(ReceiveWindow(MAX_BYTES))

    with virtual_time(settle_s=0) as runner:
        runner.run(run_body())


async def receive_part(window: ReceiveWindow, took_s: float, tier: Tier = Tier.host) -> None:
    async with window.receive(PART_BYTES, tier):
        await asyncio.sleep(took_s)


def test_no_more_bytes_are_requested_than_the_limit_allows() -> None:
    async def body(window: ReceiveWindow) -> None:
        tasks = [asyncio.create_task(receive_part(window, 0.1)) for _ in range(9)]
        await asyncio.sleep(0.05)
        assert window.in_flight_bytes == MAX_BYTES
        await asyncio.gather(*tasks)
        assert (window.in_flight_bytes, window.limit_bytes) == (0, MAX_BYTES)

    run_in_virtual_time(body)


def test_limit_shrinks_once_for_parts_that_are_late_together_and_grows_again() -> None:
    async def body(window: ReceiveWindow) -> None:
        await asyncio.gather(*(receive_part(window, 2 * LATE_AFTER_S) for _ in range(4)))
        assert window.limit_bytes == MAX_BYTES / 2
        for _ in range(9):
            await receive_part(window, 2 * LATE_AFTER_S)
        assert window.limit_bytes == PART_BYTES
        for _ in range(99):
            await receive_part(window, LATE_AFTER_S / 2)
        assert window.limit_bytes == MAX_BYTES

    run_in_virtual_time(body)


def test_lowest_tier_is_received_first() -> None:
    async def body(window: ReceiveWindow) -> None:
        order: list[Tier] = []

        async def record_order(tier: Tier) -> None:
            async with window.receive(MAX_BYTES, tier):
                order.append(tier)
                await asyncio.sleep(0.01)

        tiers = (Tier.joiner, Tier.host, Tier.region, Tier.host)
        await asyncio.gather(*(record_order(tier) for tier in tiers))
        assert order == [Tier.joiner, Tier.region, Tier.host, Tier.host]

    run_in_virtual_time(body)


def test_transfer_that_is_larger_than_the_limit_runs_alone() -> None:
    async def body(window: ReceiveWindow) -> None:
        async with window.receive(9 * MAX_BYTES, Tier.region):
            other = asyncio.create_task(receive_part(window, 0))
            await asyncio.sleep(1)
            assert not other.done()
        await other

    run_in_virtual_time(body)


def test_cancelled_transfer_frees_its_bytes() -> None:
    async def body(window: ReceiveWindow) -> None:
        async with window.receive(MAX_BYTES, Tier.region):
            waiting = asyncio.create_task(receive_part(window, 5))
            await asyncio.sleep(0)
            waiting.cancel()
        in_flight = asyncio.create_task(receive_part(window, 5))
        await asyncio.sleep(1)
        in_flight.cancel()
        await asyncio.sleep(0)
        assert (window.in_flight_bytes, window.waiting) == (0, [])

    run_in_virtual_time(body)


@given(
    st.lists(
        st.tuples(
            st.integers(1, 2 * MAX_BYTES),
            st.floats(0, 1),
            st.floats(0, 3),
            st.sampled_from((Tier.region, Tier.host)),
            st.floats(0.01, 2),
        ),
        max_size=30,
    )
)
def test_limit_holds_for_any_transfers_and_cancellations(
    transfers: list[tuple[int, float, float, Tier, float]],
) -> None:
    async def body(window: ReceiveWindow) -> None:

        async def transfer(
            size: int, start_s: float, took_s: float, tier: Tier, timeout_s: float
        ) -> None:
            await asyncio.sleep(start_s)
            async with asyncio.timeout(timeout_s), window.receive(size, tier):
                assert window.in_flight_bytes <= max(MAX_BYTES, size)
                assert PART_BYTES <= window.limit_bytes <= MAX_BYTES
                await asyncio.sleep(took_s)

        await asyncio.gather(
            *(transfer(*arguments) for arguments in transfers), return_exceptions=True
        )
        assert (window.in_flight_bytes, window.waiting) == (0, [])

    run_in_virtual_time(body)
