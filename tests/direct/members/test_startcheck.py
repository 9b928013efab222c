"""Tests of the queries to live entries at the start of a process.

Guards against a start that is blocked for ever by an entry that lies, hangs or dies, and against
one that serves before it has the newest configuration of a live entry.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest
from virtual_loop import virtual_time

from cassiahitch.direct.members.memberregistry import MemberRegistry
from cassiahitch.direct.members.startcheck import (
    OTHER_REGION_PEERS,
    OWN_REGION_PEERS,
    START_CHECK_S,
    StartCheck,
    build_declarations,
    choose_peers,
)
from cassiahitch.direct.state.catalogue import Catalogue
from cassiahitch.direct.state.declarations import DeclarationsInForce, StartHold
from cassiahitch.direct.state.feed import TableFeed, TableRow, TableSnapshot
from cassiahitch.direct.state.follower import TableFollower
from cassiahitch.direct.state.versions import DeclaredVersion
from cassiahitch.direct.statelog import StateLog
from cassiahitch.stores.http_client import HttpCall
from cassiahitch.wire.datagrammessages import MemberState, RowRecord, TableRows
from cassiahitch.wire.datagrams import decode_datagram, encode_datagram

TABLE = 'op'
PEERS = ('10.0.0.2', '10.0.0.3')
FRESH = TableRows(TABLE, age_ms=200, rows=(RowRecord('config', b'5', version=70),), era=3)
NEVER_CONFIRMED = TableRows(TABLE, age_ms=2**62, rows=FRESH.rows, era=3)
UNREADABLE = TableRows(TABLE, age_ms=200, rows=(RowRecord('config', b'x', version=70),), era=3)


@dataclass
class Receiver:
    """A process that starts; reads rows with a number, and trusts confirmations of 4 s."""

    hold: StartHold = field(default_factory=StartHold)
    in_force: DeclarationsInForce = field(default_factory=DeclarationsInForce)
    applied: list[TableRow] = field(default_factory=list)
    released_at: float = math.inf
    confirmed_at: float = -math.inf

    def apply_peer_rows(self, rows: tuple[TableRow, ...]) -> bool:
        self.applied += [row for row in rows if (row.content or b'').isdigit()]
        return all((row.content or b'').isdigit() for row in rows)

    def confirm_by_peer(self, confirmed_at: float) -> bool:
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        return asyncio.get_running_loop().time() - self.confirmed_at < 4

    def release_hold(self) -> None:
        self.hold.release()
        self.released_at = asyncio.get_running_loop().time()


@dataclass
class Peers:
    """Entries with given replies; one without a reply hangs."""

    replies: dict[str, TableRows | None]
    calls: int = 0

    async def choose(self) -> tuple[str, ...]:
        return tuple(self.replies)

    async def fetch_rows(self, call: HttpCall) -> TableRows | None:
        self.calls += 1
        reply = next(self.replies[address] for address in self.replies if address in call.url)
        if reply is None:
            await asyncio.sleep(call.timeout_s)
        return reply


def start(replies: dict[str, TableRows | None], era: int = 3) -> tuple[Receiver, Peers, float]:
    """Run a start; return the process, its peers and the seconds until it was released."""
    receiver = Receiver()
    peers = Peers(replies)

    async def body() -> float:
        follower = TableFollower(
            None,  # type: ignore[arg-type]
            TABLE,
            TableFeed(random.Random(1)),
            lambda *_: None,
            StateLog(),
            0,
        )
        check = StartCheck(
            receiver,
            follower,
            peers,  # type: ignore[arg-type]
            peers.choose,
            7700,
            StateLog(),
        )
        started_at = asyncio.get_running_loop().time()
        receiver.hold.decide(TableSnapshot((), 5, era))
        async with asyncio.timeout(60):
            await check.work()
        return receiver.released_at - started_at

    with virtual_time() as runner:
        return receiver, peers, runner.run(body())


def test_start_goes_on_once_a_fresh_entry_has_replied() -> None:
    receiver, peers, waited_s = start({PEERS[0]: FRESH})
    assert [row.content for row in receiver.applied] == [b'5']
    assert peers.calls == 1
    assert waited_s < START_CHECK_S / 2
    assert not receiver.hold.is_active


def test_start_waits_for_slow_entries_no_longer_than_for_their_timeout() -> None:
    _, _, waited_s = start({PEERS[0]: FRESH, PEERS[1]: None})
    assert waited_s < START_CHECK_S / 2


def test_entry_that_is_dead_or_lies_does_not_block_a_start_for_ever() -> None:
    for replies in ({PEERS[0]: None}, {PEERS[0]: UNREADABLE, PEERS[1]: FRESH}, {}):
        receiver, _, waited_s = start(dict(replies))
        assert waited_s == pytest.approx(START_CHECK_S)
        assert not receiver.hold.is_active


def test_entries_that_have_just_started_do_not_vouch_for_each_other() -> None:
    receiver, _, waited_s = start({PEERS[0]: NEVER_CONFIRMED})
    assert waited_s == pytest.approx(START_CHECK_S)
    assert receiver.applied


def test_store_that_was_never_restored_needs_no_peers() -> None:
    for era in (-1, 0):
        _, peers, waited_s = start({PEERS[0]: FRESH}, era)
        assert peers.calls == 0
        assert waited_s == math.inf


def test_held_configuration_is_the_newest_one() -> None:
    hold = StartHold()
    hold.decide(TableSnapshot((), 5, 3))
    for version in (3, 5, 4):
        hold.keep(Catalogue(version, (), {}))
    held = hold.release()
    assert held is not None
    assert held.version == 5


def test_declarations_in_force_keep_the_newest_versions_whatever_the_store_has() -> None:
    in_force = DeclarationsInForce()
    rows = [TableRow('config', b'%d' % version, 100 - version) for version in (3, 5, 4)]
    for row in rows:
        in_force.record(row, Catalogue(int(row.content or b''), (), {}))
    weights = [TableRow('version/m', b'%d' % version, 50 - version) for version in (2, 1)]
    for row in weights:
        in_force.record(row, DeclaredVersion('m', int(row.content or b'')))
    in_force.record(TableRow('evacuate/north', b'{}', 9), None)
    contents = {record.key: record.content for record in in_force.records(4)}
    assert contents == {'config': b'5', 'version/m': b'2', 'evacuate/north': b'{}'}
    for key in contents:
        in_force.remove(key)
    assert {record.key for record in in_force.records(5)} == {'version/m'}


def test_declarations_that_were_never_confirmed_have_the_highest_age() -> None:
    follower = TableFollower(
        None,  # type: ignore[arg-type]
        TABLE,
        TableFeed(random.Random(1)),
        lambda *_: None,
        StateLog(),
        0,
    )
    message = build_declarations(DeclarationsInForce(), follower, 0, math.inf)
    assert decode_datagram(encode_datagram(message)) == message
    assert message.age_ms > 2**62


def test_asked_entries_are_mostly_of_the_own_region() -> None:
    registry = MemberRegistry(MemberState('e', 1, address='10.0.0.1', region='north'))
    addresses = {f'10.0.1.{number}': 'north' for number in range(9)}
    addresses |= {f'10.0.2.{number}': 'south' for number in range(9)}
    registry.add_addresses({**addresses, '10.0.0.1': 'north'}, 0)
    peers = choose_peers(registry, random.Random(1))
    regions = Counter(addresses[peer] for peer in peers)
    assert regions == {'north': OWN_REGION_PEERS, 'south': OTHER_REGION_PEERS}
