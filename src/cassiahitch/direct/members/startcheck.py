"""Asks live entries for newer declarations when a process starts beside a store of a later era.

Load pattern: the store comes back from an older copy and a process starts before the operator has
written again. It may serve by no older configuration than a live entry has. Entries that are dead
or hang delay the start for at most ``START_CHECK_S``.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from cassiahitch.direct.members.rowservice import declarations_path
from cassiahitch.direct.members.tablerelay import ROWS_EXTENDED_TIMEOUT_S, ROWS_TIMEOUT_S
from cassiahitch.direct.state.eras import ERA_SETTLE_S
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.tablecache import rows_from_message
from cassiahitch.stores.http_client import HttpCall
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import TableRows
from cassiahitch.wire.structs import MAX_INT64

if TYPE_CHECKING:
    from cassiahitch.direct.members.memberregistry import MemberRegistry
    from cassiahitch.direct.members.tablerelay import TableRelay
    from cassiahitch.direct.state.declarations import DeclarationsInForce, StartHold
    from cassiahitch.direct.state.feed import TableRow
    from cassiahitch.direct.state.follower import TableFollower
    from cassiahitch.direct.statelog import StateLog

#: Longest time in seconds for which a start waits for entries. By then the operator has written
#: again what the restore lost.
START_CHECK_S = ERA_SETTLE_S
#: Seconds between two rounds of queries while no entry has confirmed its configuration.
ROUND_INTERVAL_S = 0.2
#: Entries that are asked in a round in the own region and in other ones.
OWN_REGION_PEERS = 4
OTHER_REGION_PEERS = 2
MS_PER_S = 1000


#: Returns the IP addresses of entries to ask.
Peers = Callable[[], Awaitable[tuple[str, ...]]]


class PeerRowsReceiver(Protocol):
    """Applies the declarations of other entries to the state of this process."""

    hold: StartHold
    in_force: DeclarationsInForce

    def apply_peer_rows(self, rows: tuple[TableRow, ...]) -> bool:
        """Apply rows unless they are older; returns whether all could be decoded."""

    def confirm_by_peer(self, confirmed_at: float) -> bool:
        """Record when a peer confirmed its state; returns whether that is recent enough."""

    def release_hold(self) -> None:
        """Bring the newest configuration into force."""


@dataclass(slots=True)
class StartCheck:
    """Holds a start until live entries were asked for newer declarations."""

    receiver: PeerRowsReceiver
    follower: TableFollower
    relay: TableRelay
    peers: Peers
    peer_port: int
    log: StateLog

    async def work(self) -> None:
        """Ask once the store has replied, if the store may have been restored lately."""
        await self.receiver.hold.decided.wait()
        if not self.receiver.hold.is_active:
            return
        started_at = boot_time()
        try:
            async with asyncio.timeout(START_CHECK_S):
                while not await self.ask():
                    await asyncio.sleep(ROUND_INTERVAL_S)
        except TimeoutError:
            # The state of the store is used, as without entries that reply.
            is_confirmed = False
        else:
            is_confirmed = True
        finally:
            self.receiver.release_hold()
        self.log.state_changed(
            'peers asked for declarations',
            confirmed=is_confirmed,
            configuration=self.receiver.in_force.configuration_version,
            waited_s=boot_time() - started_at,
            era=self.follower.feed.era,
        )

    async def ask(self) -> bool:
        """Ask entries for their declarations, and apply those that are newer.

        :return: whether this process has the declarations of all that replied, and one of them had
            a recent confirmation that they are the newest.
        """
        version = self.receiver.in_force.configuration_version
        peers = await self.peers()
        asked_at = boot_time()
        replies = await asyncio.gather(*(self.read(peer, version) for peer in peers))
        table = self.follower.table
        messages = [message for message in replies if message and message.table == table]
        if not messages:
            return False
        # All are applied, whether or not an earlier one could be decoded.
        is_readable = [self.apply(message) for message in messages]
        age_s = max(0, min(message.age_ms for message in messages)) / MS_PER_S
        return all(is_readable) and self.receiver.confirm_by_peer(asked_at - age_s)

    def apply(self, message: TableRows) -> bool:
        """Apply the declarations of one entry.

        :param message: the declarations.
        :return: whether all of them could be decoded.
        """
        rows = rows_from_message(message)
        self.follower.expect_rows(row.key for row in rows)
        return self.receiver.apply_peer_rows(rows)

    async def read(self, address: str, version: int) -> TableRows | None:
        """Read the declarations of one entry.

        :param address: its IP address.
        :param version: version of the configuration that this process has.
        :return: the rows, None if it does not reply in time.
        """
        url = f'http://{Endpoint(address, self.peer_port)}{declarations_path(version)}'
        return await self.relay.fetch_rows(
            HttpCall('GET', url, None, ROWS_TIMEOUT_S, transfer_extension_s=ROWS_EXTENDED_TIMEOUT_S)
        )


def choose_peers(registry: MemberRegistry, rng: random.Random) -> tuple[str, ...]:
    """Choose entries to ask, most of them of the own region.

    :param registry: live entries, and addresses that may belong to one.
    :param rng: source of random choices.
    :return: IP addresses.
    """
    own = registry.own
    near = {state.address for state in registry.live_members()}
    near.update(registry.unconfirmed_addresses())
    far = {
        address
        for address, candidate in registry.addresses.items()
        if candidate.region not in {'', own.region}
    }
    return (
        *_sample(near - {own.address}, OWN_REGION_PEERS, rng),
        *_sample(far - {own.address}, OTHER_REGION_PEERS, rng),
    )


def build_declarations(
    in_force: DeclarationsInForce, follower: TableFollower, version: int, age_s: float
) -> TableRows:
    """Return the declarations in effect as a message to a process that starts.

    :param in_force: the declarations.
    :param follower: follower of their table.
    :param version: version of the configuration that the requesting process has.
    :param age_s: age of the last confirmation that they are the newest, in seconds.
    :return: the message.
    """
    age_ms = math.ceil(age_s * MS_PER_S) if math.isfinite(age_s) else MAX_INT64
    return TableRows(
        follower.table,
        age_ms=max(0, age_ms),
        rows=in_force.records(version),
        era=follower.feed.era,
    )


def _sample(addresses: set[str], size: int, rng: random.Random) -> list[str]:
    return rng.sample(sorted(addresses), min(size, len(addresses)))


__all__ = (
    'START_CHECK_S',
    'PeerRowsReceiver',
    'StartCheck',
    'build_declarations',
    'choose_peers',
)
