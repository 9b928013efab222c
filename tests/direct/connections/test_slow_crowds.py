"""Tests that crowds which send very slowly don't take the connections of ordinary clients.

They replay crowds that come back when they are closed, in virtual time. They guard against a
process that closes each new connection, since nothing was read from it yet, while connections that
send a byte now and then stay (review case 9).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from cassiahitch.direct.connections.budget import (
    CloseReason,
    ConnectionBudget,
    ConnectionLimits,
    Holding,
    Stage,
)

LIMITS = ConnectionLimits(
    total_bytes=20_000_000, max_connections=300, header_s=3, idle_s=15, header_bytes=16_384
)
CROWD_CLIENTS = 350
ARRIVAL_S = 3.0
RETURN_S = 1.0
BYTE_INTERVAL_S = 0.7
TICK_S = 0.01
END_S = 15.0
#: Between two connections of ordinary clients, and until the request of one has been read.
ORDINARY_INTERVAL_S = 0.05
ORDINARY_READ_S = 0.02
REQUEST_BYTES = 200

#: Changes what a client of a crowd has sent, with the time and the age of its connection.
Send = Callable[[Holding, float, float], None]


def trickle_header(holding: Holding, now: float, age_s: float) -> None:
    if holding.stage is Stage.idle:
        holding.enter(Stage.header, now)
    holding.move(1, now)


def trickle_body(holding: Holding, now: float, age_s: float) -> None:
    if holding.stage is Stage.idle:
        holding.enter(Stage.body, now)
        holding.move(REQUEST_BYTES, now)
    holding.move(1, now)


def stay_silent(holding: Holding, now: float, age_s: float) -> None:
    """Send nothing."""


def send_one_request(holding: Holding, now: float, age_s: float) -> None:
    if not holding.requests:
        holding.requests = 1
        holding.enter(Stage.idle, now)


CROWDS = {
    'headers that trickle': trickle_header,
    'bodies that trickle': trickle_body,
    'no bytes': stay_silent,
    'one request and then none': send_one_request,
}


@dataclass
class Replay:
    """A crowd and ordinary clients at one process; ``cut`` counts the closed ordinary ones."""

    send: Send
    budget: ConnectionBudget = field(default_factory=lambda: ConnectionBudget(LIMITS))
    ordinary: dict[Holding, float] = field(default_factory=dict)
    crowd: dict[Holding, float] = field(default_factory=dict)
    served: int = 0
    cut: int = 0
    cut_crowd: int = 0

    def run(self) -> None:
        ticks = round(1 / TICK_S)
        due = sorted(number * ARRIVAL_S / CROWD_CLIENTS for number in range(CROWD_CLIENTS))
        for tick in range(round(END_S * ticks)):
            now = tick * TICK_S
            while due and due[0] <= now:
                due.pop(0)
                self.crowd[self.budget.open(now)] = now
            self.send_of_crowd(now)
            self.send_of_ordinary(now, opens=not tick % round(ORDINARY_INTERVAL_S * ticks))
            due.extend(now + RETURN_S for _ in range(self.close(now)))

    def send_of_crowd(self, now: float) -> None:
        for holding, opened_at in self.crowd.items():
            age_s = now - opened_at
            if age_s % BYTE_INTERVAL_S < TICK_S:
                self.send(holding, now, age_s)

    def send_of_ordinary(self, now: float, *, opens: bool) -> None:
        for holding, opened_at in tuple(self.ordinary.items()):
            if now - opened_at >= ORDINARY_READ_S:
                self.ordinary.pop(holding)
                self.budget.close(holding)
                self.served += 1
        if opens:
            self.ordinary[self.budget.open(now)] = now

    def close(self, now: float) -> int:
        chosen = [*self.budget.excess(now), *self.budget.expired(now)]
        for holding, _ in chosen:
            self.budget.close(holding)
            self.cut += self.ordinary.pop(holding, None) is not None
            self.cut_crowd += self.crowd.pop(holding, None) is not None
        return len(chosen)


@pytest.mark.parametrize('send', CROWDS.values(), ids=CROWDS)
def test_ordinary_clients_are_served_while_a_crowd_uses_all_connections(send: Send) -> None:
    replay = Replay(send)
    replay.run()
    assert replay.cut_crowd > CROWD_CLIENTS - LIMITS.max_connections
    assert not replay.cut
    assert replay.served > 0.9 * END_S / ORDINARY_INTERVAL_S
    assert len(replay.budget.holdings) <= LIMITS.max_connections


def test_connection_without_progress_for_longest_is_closed_first() -> None:
    budget = ConnectionBudget(ConnectionLimits(20_000_000, 3))
    trickling = budget.open(0)
    trickling.enter(Stage.header, 0.1)
    silent = budget.open(2)
    used = budget.open(1)
    send_one_request(used, 1, 0)
    new = budget.open(5)
    trickling.move(1, 4.9)
    assert budget.excess(5) == [(trickling, CloseReason.connections)]
    budget.close(trickling)
    newest = budget.open(5.1)
    assert budget.excess(5.1) == [(silent, CloseReason.connections)]
    budget.close(silent)
    budget.open(5.2)
    assert budget.excess(5.2) == [(used, CloseReason.connections)]
    assert {new, newest} <= budget.holdings


def test_a_large_body_that_makes_progress_outlives_headers_that_trickle() -> None:
    budget = ConnectionBudget(ConnectionLimits(20_000_000, 2))
    upload = budget.open(0)
    upload.enter(Stage.body, 0)
    upload.move(1_000_000, 9.9)
    budget.hold(upload, 1_000_000, 0)
    trickling = budget.open(1)
    trickling.enter(Stage.header, 1)
    trickling.move(10, 9.9)
    budget.open(10)
    assert budget.excess(10) == [(trickling, CloseReason.connections)]


def test_connections_that_are_served_or_were_just_used_outlive_new_ones() -> None:
    budget = ConnectionBudget(ConnectionLimits(20_000_000, 2))
    served = budget.open(0)
    served.enter(Stage.served, 0)
    used = budget.open(0)
    send_one_request(used, 9.9, 0)
    new = budget.open(9.95)
    assert budget.excess(10) == [(new, CloseReason.connections)]


def test_response_after_a_long_wait_outlives_headers_that_trickle() -> None:
    budget = ConnectionBudget(ConnectionLimits(20_000_000, 2))
    late = budget.open(0)
    late.enter(Stage.served, 0)
    late.restart(9.9)
    budget.hold(late, 0, 100_000)
    trickling = budget.open(8)
    trickling.enter(Stage.header, 8)
    budget.open(10)
    assert budget.excess(10) == [(trickling, CloseReason.connections)]
