"""Tests of the bound on bytes of chunks that are on their way to a host."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from hypothesis import given
from hypothesis import strategies as st
from virtual_loop import virtual_time

from cassiahitch.direct.staging.receiving import LATE_AFTER_S, PART_BYTES, ReceiveWindow
from cassiahitch.weights.tree import Tier

MOST = 4 * PART_BYTES


def play(body: Callable[[ReceiveWindow], Awaitable[None]]) -> None:
    async def whole() -> None:
        await body(ReceiveWindow(MOST))

    with virtual_time(settle_s=0) as runner:
        runner.run(whole())


async def take(window: ReceiveWindow, took_s: float, tier: Tier = Tier.host) -> None:
    async with window.receive(PART_BYTES, tier):
        await asyncio.sleep(took_s)


def test_no_more_bytes_are_asked_for_than_the_bound_allows() -> None:
    async def body(window: ReceiveWindow) -> None:
        tasks = [asyncio.create_task(take(window, 0.1)) for _ in range(9)]
        await asyncio.sleep(0.05)
        assert window.in_flight_bytes == MOST
        await asyncio.gather(*tasks)
        assert (window.in_flight_bytes, window.limit_bytes) == (0, MOST)

    play(body)


def test_bound_falls_once_for_parts_that_are_late_together_and_rises_again() -> None:
    async def body(window: ReceiveWindow) -> None:
        await asyncio.gather(*(take(window, 2 * LATE_AFTER_S) for _ in range(4)))
        assert window.limit_bytes == MOST / 2
        for _ in range(9):
            await take(window, 2 * LATE_AFTER_S)
        assert window.limit_bytes == PART_BYTES
        for _ in range(99):
            await take(window, LATE_AFTER_S / 2)
        assert window.limit_bytes == MOST

    play(body)


def test_what_a_region_depends_on_goes_first() -> None:
    async def body(window: ReceiveWindow) -> None:
        order: list[Tier] = []

        async def note(tier: Tier) -> None:
            async with window.receive(MOST, tier):
                order.append(tier)
                await asyncio.sleep(0.01)

        tiers = (Tier.joiner, Tier.host, Tier.region, Tier.host)
        await asyncio.gather(*(note(tier) for tier in tiers))
        assert order == [Tier.joiner, Tier.region, Tier.host, Tier.host]

    play(body)


def test_transfer_that_is_larger_than_the_bound_goes_alone() -> None:
    async def body(window: ReceiveWindow) -> None:
        async with window.receive(9 * MOST, Tier.region):
            other = asyncio.create_task(take(window, 0))
            await asyncio.sleep(1)
            assert not other.done()
        await other

    play(body)


def test_one_that_gives_up_makes_room() -> None:
    async def body(window: ReceiveWindow) -> None:
        async with window.receive(MOST, Tier.region):
            waiting = asyncio.create_task(take(window, 5))
            await asyncio.sleep(0)
            waiting.cancel()
        under_way = asyncio.create_task(take(window, 5))
        await asyncio.sleep(1)
        under_way.cancel()
        await asyncio.sleep(0)
        assert (window.in_flight_bytes, window.waiting) == (0, [])

    play(body)


@given(
    st.lists(
        st.tuples(
            st.integers(1, 2 * MOST),
            st.floats(0, 1),
            st.floats(0, 3),
            st.sampled_from((Tier.region, Tier.host)),
            st.floats(0.01, 2),
        ),
        max_size=30,
    )
)
def test_bound_holds_whatever_comes_and_is_cancelled(
    transfers: list[tuple[int, float, float, Tier, float]],
) -> None:
    async def body(window: ReceiveWindow) -> None:

        async def one(
            size: int, at: float, took_s: float, tier: Tier, caller_timeout_s: float
        ) -> None:
            await asyncio.sleep(at)
            async with asyncio.timeout(caller_timeout_s), window.receive(size, tier):
                assert window.in_flight_bytes <= max(MOST, size)
                assert PART_BYTES <= window.limit_bytes <= MOST
                await asyncio.sleep(took_s)

        await asyncio.gather(*(one(*transfer) for transfer in transfers), return_exceptions=True)
        assert (window.in_flight_bytes, window.waiting) == (0, [])

    play(body)
