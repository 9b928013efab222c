"""Tests that requests to a host do not wait behind chunks that it fetches over a slow link."""

from __future__ import annotations

import pytest
from slow_link import CHUNK_BYTES, CHUNKS, SlowHost
from virtual_loop import virtual_time

#: Longest time that requests may wait for the link: a request that reaches its replica later may
#: find that its caller has given up.
MAX_WAIT_S = 0.5
EVERY_OTHER = sum(1 << index for index in range(0, CHUNKS, 2))
ALL = (1 << CHUNKS) - 1


def fetch_over_slow_link(
    host: SlowHost, slow_mbit_s: float, after_s: float, for_s: float = 120
) -> None:
    with virtual_time(settle_s=0) as runner:
        runner.run(host.fetch(slow_mbit_s=slow_mbit_s, after_s=after_s, for_s=for_s))


@pytest.mark.parametrize(
    'held',
    [ALL, EVERY_OTHER],
    ids=['all chunks in the own region', 'half of the chunks in the own region'],
)
@pytest.mark.parametrize('after_s', [0, 0.4, 1.5])
def test_requests_do_not_wait_behind_chunks_on_a_link_that_becomes_slow(
    held: int, after_s: float
) -> None:
    host = SlowHost(held)
    fetch_over_slow_link(host, slow_mbit_s=1.2, after_s=after_s)
    assert host.longest_wait_s < MAX_WAIT_S


def test_chunks_are_not_sent_twice_over_a_slow_link() -> None:
    host = SlowHost(EVERY_OTHER)
    fetch_over_slow_link(host, slow_mbit_s=0.6, after_s=0.4)
    assert host.chunk_bytes < 1.1 * CHUNKS * CHUNK_BYTES


def test_version_is_fetched_at_the_rate_of_a_healthy_link() -> None:
    host = SlowHost()
    fetch_over_slow_link(host, slow_mbit_s=4.7, after_s=0)
    assert host.fetch_duration_s < 5


def test_fetch_is_fast_again_once_the_link_is() -> None:
    host = SlowHost()
    fetch_over_slow_link(host, slow_mbit_s=1.2, after_s=0, for_s=4)
    assert host.fetch_duration_s < 4 + 5
