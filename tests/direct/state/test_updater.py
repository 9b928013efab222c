"""Tests of what an entry that has just started takes over from the store and other entries."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from cassiahitch.direct.members.gossip import Gossip, Piggyback
from cassiahitch.direct.members.memberregistry import MemberRegistry
from cassiahitch.direct.members.messaging import EntryMessenger
from cassiahitch.direct.members.regions import RegionRegistry
from cassiahitch.direct.placement.crashguard import CrashGuard
from cassiahitch.direct.state.feed import TableChanges, TableRow, TableSnapshot
from cassiahitch.direct.state.freshness import Freshness, boot_time
from cassiahitch.direct.state.updater import StateUpdater
from cassiahitch.direct.state.versions import DeclaredVersion, VersionPolicy
from cassiahitch.direct.telemetry import StateLog
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.beats import MemberNews, MemberState

if TYPE_CHECKING:
    from cassiahitch.wire.beats import Beat

BOUND_S = 8.0
MODEL = 'm1'
ROW = TableRow('version/m1', b'2', 7)


def _now() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class Sent:
    """A socket that keeps what is sent."""

    messages: list[Beat] = field(default_factory=list)

    def send(self, message: Beat, receiver: Endpoint) -> None:
        self.messages.append(message)


class Entry:
    """The beliefs and heartbeats of one entry."""

    def __init__(self, name: str, number: int) -> None:
        settings = SimpleNamespace(
            name=name,
            address=f'10.0.0.{number}',
            callers=Endpoint(f'10.0.0.{number}', 80),
            peer_port=90,
            region='north',
            failure_domain='north-1',
        )
        self.versions = VersionPolicy(BOUND_S)
        entry_state: Any = SimpleNamespace(
            settings=settings,
            freshness=Freshness(5),
            versions=self.versions,
            members=Gossip(
                MemberRegistry(MemberState(name, number, address=settings.address, region='north')),
                RegionRegistry('north'),
                Piggyback(versions=self.versions.records),
                random.Random(1),
            ),
            crashes=CrashGuard(),
            leaving=False,
            is_ready=lambda now: True,
        )
        log: Any = StateLog()
        platform: Any = SimpleNamespace(
            read_declaration=lambda row: DeclaredVersion(MODEL, int(row.content))
        )
        self.beliefs = StateUpdater(entry_state, platform, log)
        self.sent = Sent()
        candidates: Any = None
        self.messenger = EntryMessenger(entry_state, candidates, log, random.Random(1))
        self.address = settings.callers
        self.members = entry_state.members
        self.messenger.socket = self.sent  # type: ignore[assignment]

    def oldest_allowed(self) -> int:
        return self.versions.oldest_allowed(MODEL, _now())

    def greeting(self) -> MemberNews:
        message: MemberNews = self.members.message(_now())
        return replace(message, number=1, asks=True)

    def last_news(self) -> MemberNews:
        news = self.sent.messages[-1]
        assert isinstance(news, MemberNews)
        return news


async def _started(entry: Entry) -> None:
    entry.beliefs.take_declarations((ROW,), TableSnapshot((ROW,), 9), boot_time())


def test_entry_that_starts_allows_no_weights_that_may_be_replaced_for_long() -> None:
    async def body() -> None:
        entry = Entry('entry-1', 1)
        await _started(entry)
        assert entry.oldest_allowed() == 2

    asyncio.run(body())


def test_entry_that_follows_the_store_allows_older_weights_until_their_bound() -> None:
    async def body() -> None:
        entry = Entry('entry-1', 1)
        entry.beliefs.take_declarations((), TableSnapshot((), 6), boot_time())
        entry.beliefs.take_declarations((ROW,), TableChanges((ROW,), 7), boot_time())
        assert entry.oldest_allowed() == 0

    asyncio.run(body())


def test_entry_that_starts_is_told_the_age_of_a_version_at_once() -> None:
    async def body() -> None:
        old, fresh = Entry('entry-1', 1), Entry('entry-2', 2)
        old.versions.declare(DeclaredVersion(MODEL, 2), _now() - 1)
        await _started(fresh)
        old.messenger.receive_gossip(fresh.greeting(), fresh.address, _now())
        fresh.messenger.receive_gossip(old.last_news(), old.address, _now())
        assert fresh.oldest_allowed() == 0

    asyncio.run(body())


def test_entries_that_all_start_do_not_tell_each_other_ages_that_none_knows() -> None:
    async def body() -> None:
        first, second = Entry('entry-1', 1), Entry('entry-2', 2)
        await _started(first)
        await _started(second)
        second.messenger.receive_gossip(first.greeting(), first.address, _now())
        assert first.greeting().versions == ()
        assert second.oldest_allowed() == 2

    asyncio.run(body())
