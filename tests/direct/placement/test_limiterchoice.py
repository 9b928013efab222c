"""Tests of the agent that is chosen to limit the rate of a plain replica.

Guards against two agents that grant permits for the same replica at the same time, while entries
use lists of replicas of different ages.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from cassiahitch.direct.placement.limiterchoice import (
    MAX_LIST_AGE_S,
    PERMIT_LIFETIME_S,
    STABLE_S,
    LimiterDirectory,
)
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.util.endpoints import Endpoint

ENGINES = ('drafts',)
DESK = Replica('p-1', 'desk', Endpoint('10.0.9.1', 80), 'north-1', 4, born_ms=1)
TICKS_PER_S = 20
SIMULATED_S = 120
History = list[tuple[float, list[Replica]]]


def make_engine(number: int, domain: str = 'north-1') -> Replica:
    endpoint = Endpoint(f'10.0.0.{number}', 80)
    return Replica(f'm-{number}', 'drafts', endpoint, domain, 8, born_ms=1)


def make_directory() -> LimiterDirectory:
    return LimiterDirectory(lambda domain: domain.partition('-')[0])


def confirm(directory: LimiterDirectory, replicas: list[Replica], now: float) -> None:
    directory.confirm(now, now)
    directory.update(replicas, ENGINES, now)


def confirm_for(directory: LimiterDirectory, replicas: list[Replica], until: float) -> None:
    for tick in range(int(until)):
        confirm(directory, replicas, tick)
    confirm(directory, replicas, until)


def test_choice_is_used_once_it_was_the_same_for_long_enough() -> None:
    directory = make_directory()
    replicas = [DESK, make_engine(1), make_engine(2)]
    confirm_for(directory, replicas, 3)
    assert not directory.address(DESK, 3)
    confirm(directory, replicas, STABLE_S)
    assert directory.address(DESK, STABLE_S) in {'10.0.0.1', '10.0.0.2'}


def test_choice_is_not_used_with_an_old_list() -> None:
    directory = make_directory()
    confirm_for(directory, [DESK, make_engine(1)], 9)
    assert directory.address(DESK, 9 + MAX_LIST_AGE_S)
    assert not directory.address(DESK, 9.1 + MAX_LIST_AGE_S)
    # The choice may have changed twice in the meantime.
    confirm(directory, [DESK, make_engine(1)], 20)
    assert not directory.address(DESK, 20)


def test_all_entries_choose_the_same_agent_in_the_region_of_the_replica() -> None:
    engines = [make_engine(number, 'south-1') for number in range(4)]
    engines += [make_engine(number, 'north-2') for number in range(4, 8)]
    rng = random.Random(1)
    addresses = set()
    for _ in range(5):
        directory = make_directory()
        rng.shuffle(engines)
        confirm_for(directory, [DESK, *engines], 9)
        addresses.add(directory.address(DESK, 9))
    assert len(addresses) == 1
    assert addresses <= {f'10.0.0.{number}' for number in range(4, 8)}


def test_agents_of_other_regions_are_chosen_if_the_region_has_no_engine() -> None:
    directory = make_directory()
    confirm_for(directory, [DESK, make_engine(1, 'south-1')], 9)
    assert directory.address(DESK, 9) == '10.0.0.1'
    confirm_for(directory, [DESK], 19)
    assert not directory.address(DESK, 19)


def test_replicas_are_divided_among_the_agents_and_few_move_when_one_is_added() -> None:
    desks = [
        Replica(f'p-{number}', 'desk', DESK.endpoint, 'north-1', 4, born_ms=1)
        for number in range(100)
    ]
    engines = [make_engine(number) for number in range(10)]
    choices = []
    for count in (9, 10):
        directory = make_directory()
        confirm(directory, [*desks, *engines[:count]], 0)
        choices.append({key: choice.address for key, choice in directory.choices.items()})
    assert len(set(choices[0].values())) == 9
    assert sum(choices[0][key] != choices[1][key] for key in choices[0]) <= 25


@dataclass
class SimulatedEntry:
    """An entry that reads the list at random times, with a delay, and is cut off at times."""

    rng: random.Random
    directory: LimiterDirectory = field(default_factory=make_directory)
    next_read: float = 0
    cut_until: float = 0

    def read(self, history: History, now: float) -> None:
        if now < self.next_read or now < self.cut_until:
            return
        if not self.rng.randrange(50):
            self.cut_until = now + self.rng.uniform(0, 10)
        delay_s = self.rng.uniform(0, 2)
        read_at = max(0, now - delay_s, self.directory.confirmed_at)
        listed = next(replicas for since, replicas in reversed(history) if since <= read_at)
        self.directory.confirm(read_at, now)
        self.directory.update(listed, ENGINES, now)
        self.next_read = now + self.rng.uniform(0.1, 1)


@pytest.mark.parametrize('seed', range(12))
def test_no_two_agents_grant_permits_at_the_same_time(seed: int) -> None:
    rng = random.Random(seed)
    engines = [make_engine(number) for number in range(5)]
    history: History = [(0, [DESK, *engines])]
    entries = [SimulatedEntry(random.Random(seed * 100 + number)) for number in range(9)]
    used_until: dict[str, float] = {}
    switches = 0
    last = ''
    for tick in range(SIMULATED_S * TICKS_PER_S):
        now = tick / TICKS_PER_S
        if not rng.randrange(200):
            listed = rng.sample(engines, rng.randint(1, len(engines)))
            history.append((now, [DESK, *listed]))
        for entry in entries:
            entry.read(history, now)
            address = entry.directory.address(DESK, now)
            if address:
                others = [until for other, until in used_until.items() if other != address]
                assert all(until <= now for until in others)
                used_until[address] = now + PERMIT_LIFETIME_S
                switches += address != last
                last = address
    assert switches > 1
