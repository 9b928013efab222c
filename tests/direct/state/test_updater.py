"""Tests of the weight versions that an entry allows after it started.

Guards against requests that start on weights which were replaced longer ago than the bound: an
entry that just started does not know how long ago the version in the store was declared.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest

from cassiahitch.direct.members.gossip import Gossip
from cassiahitch.direct.members.gossipmessages import OutgoingMessage, Piggyback
from cassiahitch.direct.members.memberregistry import MemberRegistry
from cassiahitch.direct.members.messaging import EntryMessenger
from cassiahitch.direct.members.regions import RegionRegistry
from cassiahitch.direct.placement.crashguard import CrashGuard
from cassiahitch.direct.placement.segmentguard import SegmentGuard
from cassiahitch.direct.placement.segmentsharing import SegmentSharing
from cassiahitch.direct.state.feed import TableChanges, TableRow, TableSnapshot
from cassiahitch.direct.state.freshness import Freshness, boot_time
from cassiahitch.direct.state.updater import StateUpdater
from cassiahitch.direct.state.versions import DeclaredVersion, VersionPolicy
from cassiahitch.direct.statelog import StateLog
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import MemberNews, MemberState

if TYPE_CHECKING:
    from cassiahitch.wire.datagrammessages import DatagramMessage

WEIGHTS_BOUND_S = 8.0
MODEL = 'm1'
ROW = TableRow('version/m1', b'2', 7)


def _now() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class RecordingSocket:
    """A socket that records the messages that are sent."""

    messages: list[DatagramMessage] = field(default_factory=list)

    def send(self, message: DatagramMessage, receiver: Endpoint) -> None:
        self.messages.append(message)


class Entry:
    """The state updater and the heartbeats of one entry."""

    def __init__(self, name: str, number: int) -> None:
        settings = SimpleNamespace(
            name=name,
            address=f'10.0.0.{number}',
            callers=Endpoint(f'10.0.0.{number}', 80),
            peer_port=90,
            region='north',
            failure_domain='north-1',
        )
        self.versions = VersionPolicy(WEIGHTS_BOUND_S)
        segment_sharing = SegmentSharing(SegmentGuard())
        entry_state: Any = SimpleNamespace(
            settings=settings,
            freshness=Freshness(5),
            versions=self.versions,
            members=Gossip(
                MemberRegistry(MemberState(name, number, address=settings.address, region='north')),
                RegionRegistry('north'),
                Piggyback(versions=lambda _: self.versions.records(boot_time())),
                random.Random(1),
            ),
            crashes=CrashGuard(),
            segments=segment_sharing.guard,
            segment_sharing=segment_sharing,
            stopping=False,
            is_ready=lambda now: True,
        )
        log: Any = StateLog()
        platform: Any = SimpleNamespace(
            read_declaration=lambda row: DeclaredVersion(MODEL, int(row.content))
        )
        self.updater = StateUpdater(entry_state, platform, log)
        self.socket = RecordingSocket()
        unused: Any = None
        self.messenger = EntryMessenger(entry_state, unused, unused, log, random.Random(1))
        self.address = settings.callers
        self.members = entry_state.members
        self.messenger.socket = self.socket  # type: ignore[assignment]

    def oldest_allowed(self) -> int:
        return self.versions.oldest_allowed(MODEL, boot_time())

    def state_query(self) -> MemberNews:
        message: MemberNews = self.members.builder.build(_now())
        query = replace(message, number=1, asks=True)
        for address in ('10.0.0.1', '10.0.0.2'):
            self.messenger.send([OutgoingMessage(query, address)])
        return query

    def last_reply(self) -> MemberNews:
        message = self.socket.messages[-1]
        assert isinstance(message, MemberNews)
        return message


async def _read_from_store(entry: Entry) -> None:
    entry.updater.apply_declarations((ROW,), TableSnapshot((ROW,), 9), boot_time())


def test_started_entry_allows_no_weights_that_may_have_been_replaced_long_ago() -> None:
    async def body() -> None:
        entry = Entry('entry-1', 1)
        await _read_from_store(entry)
        assert entry.oldest_allowed() == 2

    asyncio.run(body())


def test_entry_that_follows_the_store_allows_older_weights_until_their_bound() -> None:
    async def body() -> None:
        entry = Entry('entry-1', 1)
        entry.updater.apply_declarations((), TableSnapshot((), 6), boot_time())
        entry.updater.apply_declarations((ROW,), TableChanges((ROW,), 7), boot_time())
        assert entry.oldest_allowed() == 0

    asyncio.run(body())


@pytest.mark.parametrize('long_polled', [False, True])
def test_version_read_from_another_entry_counts_from_the_last_confirmation(
    long_polled: bool,
) -> None:
    async def body() -> None:
        entry = Entry('entry-1', 1)
        now = boot_time()
        entry.updater.apply_declarations((), TableSnapshot((), 6), now - 0.5)
        reply = TableChanges((ROW,), 7, long_polled=long_polled)
        entry.updater.apply_declarations((ROW,), reply, now - 0.2)
        age_s = 0.2 if long_polled else 0.5
        assert entry.versions.declared_at[MODEL][2] == now - age_s

    asyncio.run(body())


def test_started_entry_receives_the_age_of_a_version_with_the_first_reply() -> None:
    async def body() -> None:
        running, started = Entry('entry-1', 1), Entry('entry-2', 2)
        running.versions.record_declared(DeclaredVersion(MODEL, 2), boot_time() - 1)
        await _read_from_store(started)
        running.messenger.receive_gossip(started.state_query(), started.address, _now())
        started.messenger.receive_gossip(running.last_reply(), running.address, _now())
        assert started.oldest_allowed() == 0

    asyncio.run(body())


def test_entries_that_all_just_started_report_no_estimated_ages() -> None:
    async def body() -> None:
        first, second = Entry('entry-1', 1), Entry('entry-2', 2)
        await _read_from_store(first)
        await _read_from_store(second)
        second.messenger.receive_gossip(first.state_query(), first.address, _now())
        assert first.state_query().versions == ()
        assert second.oldest_allowed() == 2

    asyncio.run(body())
