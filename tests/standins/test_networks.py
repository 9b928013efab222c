"""Tests of the loopback addresses of stand-in sites."""

from __future__ import annotations

from contextlib import ExitStack

from cassiahitch.standins.networks import loopback_address, reserve_network


def test_network_that_another_process_holds_is_not_taken_again() -> None:
    with ExitStack() as stack:
        networks = [reserve_network() for _ in range(3)]
        for network in networks:
            stack.callback(network[2].close)
        assert len({network[:2] for network in networks}) == 3


def test_addresses_of_one_process_are_apart() -> None:
    addresses = {loopback_address(kind, number) for kind in range(4) for number in range(9)}
    assert len(addresses) == 36
