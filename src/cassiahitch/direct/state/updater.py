"""Applies changes of the store's tables to the cached state of an entry."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.direct.state.catalogue import Catalogue
from cassiahitch.direct.state.declarations import DeclarationsInForce, StartHold
from cassiahitch.direct.state.eras import EraSettlement
from cassiahitch.direct.state.evacuations import Evacuation
from cassiahitch.direct.state.feed import (
    UNCONFIRMED_REPLIES,
    Reply,
    TableChanges,
    TableRow,
    TableSnapshot,
)
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.versions import DeclaredVersion
from cassiahitch.errors import PlatformError

if TYPE_CHECKING:
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.platformapi import EntryPlatform
    from cassiahitch.direct.telemetry import Telemetry

#: Seconds from which on a read counts as a long poll that the store held open until a change.
LONG_POLL_MIN_S = 0.1


@dataclass(slots=True)
class StateUpdater:
    """Decodes rows and applies them to the cached state.

    An unreadable declaration changes nothing; an unreadable replica row removes the replica. While
    ``is_configuration_unreadable`` is set, the store has a configuration that is not in force here.
    ``settlement`` decides which reads count after a restore of the store, ``in_force`` keeps the
    rows in effect, and ``hold`` holds the first configuration back.
    """

    entry_state: EntryState
    platform: EntryPlatform
    telemetry: Telemetry
    is_configuration_unreadable: bool = False
    settlement: EraSettlement = field(default_factory=EraSettlement)
    in_force: DeclarationsInForce = field(default_factory=DeclarationsInForce)
    hold: StartHold = field(default_factory=StartHold)

    def apply_declarations(
        self,
        rows: tuple[TableRow, ...],
        reply: Reply,
        sent_at: float,
    ) -> None:
        """Apply changed rows of the operator's declarations.

        Reads confirm the configuration in force only if the newest one could be decoded, since that
        may have revoked keys.

        :param rows: new, changed and removed rows.
        :param reply: the reply that contained them.
        :param sent_at: when the read was sent, in seconds of the boot clock.
        """
        readable = True
        self.settlement.observe_declarations(reply, boot_time())
        self.hold.decide(reply)
        may_be_held = isinstance(reply, TableChanges) and reply.long_polled
        long_polled = may_be_held and boot_time() - sent_at >= LONG_POLL_MIN_S
        polled_at = sent_at if long_polled else float('-inf')
        for row in rows:
            readable = self.apply_declaration(row, polled_at) and readable
        is_newest = readable and not self.is_configuration_unreadable
        is_confirmed = is_newest and self.settlement.is_settled(sent_at)
        if is_confirmed and not isinstance(reply, UNCONFIRMED_REPLIES):
            self.entry_state.freshness.confirm(sent_at)

    def apply_declaration(self, row: TableRow, polled_at: float) -> bool:
        """Apply one row of the operator's declarations.

        :param row: the row.
        :param polled_at: when the read was sent, in seconds of the boot clock, if the store held it
            open until the row changed; minus infinity otherwise.
        :return: whether the row could be decoded.
        """
        if row.content is None:
            self.in_force.remove(row.key)
        try:
            declared = self.platform.read_declaration(row)
        except PlatformError as error:
            self.log_unreadable(row, error)
            if error.code is Code.configuration_row_corrupt:
                self.is_configuration_unreadable = True
            return False
        if row.content is not None:
            self.in_force.record(row, declared)
        match declared:
            case Catalogue():
                self.is_configuration_unreadable = False
                if declared.version >= self.in_force.configuration_version:
                    self.settlement.record_configuration(row.version)
                self.apply_configuration(declared)
            case DeclaredVersion():
                self.record_version(declared, polled_at)
            case Evacuation():
                self.apply_evacuation(declared, row)
        return True

    def apply_evacuation(self, evacuation: Evacuation, row: TableRow) -> None:
        """Apply the begin or the end of the evacuation of a failure domain.

        :param evacuation: the declaration.
        :param row: its row.
        """
        now = asyncio.get_running_loop().time()
        if not self.entry_state.evacuations.apply(evacuation, now):
            return
        domain = evacuation.failure_domain
        replicas = self.entry_state.replicas.replicas.values()
        self.telemetry.state_changed(
            'failure domain evacuated' if evacuation.active else 'failure domain in service again',
            failure_domain=domain,
            replicas=sum(replica.failure_domain == domain for replica in replicas),
            row=row.version,
            confirmed_s_ago=boot_time() - self.entry_state.freshness.confirmed_at,
        )

    def apply_configuration(self, catalogue: Catalogue) -> None:
        """Replace the configuration in force unless the given one is older.

        :param catalogue: the new configuration.
        """
        if self.hold.is_active:
            self.hold.keep(catalogue)
            return
        before = self.entry_state.catalogue
        applied = self.entry_state.apply_configuration(catalogue)
        self.entry_state.choose_limiters(boot_time())
        self.telemetry.state_changed(
            'configuration in force' if applied else 'configuration is older',
            version=catalogue.version,
            before=before.version if before else None,
            routes=len(catalogue.routes),
            keys=None if catalogue.organisations is None else len(catalogue.organisations),
        )

    def apply_peer_rows(self, rows: tuple[TableRow, ...]) -> bool:
        """Apply declarations in effect in another entry, unless newer ones are in effect here.

        :param rows: the rows.
        :return: whether all of them could be decoded.
        """
        was_unreadable = self.is_configuration_unreadable
        # Their versions may be those of another era, so they say nothing about the own one.
        unversioned = tuple(replace(row, version=0) for row in rows)
        readable = [self.apply_declaration(row, float('-inf')) for row in unversioned]
        self.is_configuration_unreadable = was_unreadable
        return all(readable)

    def confirm_by_peer(self, confirmed_at: float) -> bool:
        """Record a confirmation of an entry whose declarations were applied.

        :param confirmed_at: when it had confirmed them, in seconds of the boot clock.
        :return: whether it was recent enough for all that the configuration decides.
        """
        self.entry_state.freshness.confirm(confirmed_at)
        return self.entry_state.freshness.is_current(boot_time())

    def release_hold(self) -> None:
        """Bring the newest configuration that was held back into force."""
        held = self.hold.release()
        if held is not None:
            self.apply_configuration(held)

    def record_version(self, declared: DeclaredVersion, polled_at: float) -> None:
        """Record a weight version that the operator declared.

        :param declared: the model and its version.
        :param polled_at: when the read was sent, in seconds of the boot clock, if the store held it
            open until the row changed; minus infinity otherwise.
        """
        versions = self.entry_state.versions
        now = boot_time()
        confirmed_at = self.entry_state.freshness.confirmed_at
        if versions.record_stored(declared, confirmed_at, polled_at):
            self.telemetry.state_changed(
                'weights declared',
                model=declared.model,
                weights=declared.version,
                source='long poll' if polled_at > float('-inf') else 'rows',
                confirmed_s_ago=now - confirmed_at,
                bound_left_s=versions.left_s(declared.model, declared.version - 1, now),
            )

    def apply_replicas(
        self,
        rows: tuple[TableRow, ...],
        reply: Reply,
        sent_at: float,
    ) -> None:
        """Apply changed rows of the replica table.

        :param rows: new, changed and removed rows.
        :param reply: the reply that contained them.
        :param sent_at: when the read was sent, in seconds of the boot clock.
        """
        now = asyncio.get_running_loop().time()
        self.settlement.observe(reply.era, boot_time())
        if not isinstance(reply, UNCONFIRMED_REPLIES):
            self.entry_state.replicas.record_reply(now - (boot_time() - sent_at), now)
            self.entry_state.limiters.confirm(sent_at, boot_time())
        for row in rows:
            self.apply_replica(row, now)
        if rows:
            self.entry_state.choose_limiters(boot_time())
        if isinstance(reply, TableSnapshot):
            self.entry_state.replicas_loaded = True

    def apply_replica(self, row: TableRow, now: float) -> None:
        """Apply one row of the replica table.

        :param row: the row.
        :param now: current time of the event loop in seconds.
        """
        registry = self.entry_state.replicas
        if row.content is None:
            registry.remove(row.key, now)
            self.telemetry.state_changed('replica gone', replica=row.key, row=row.version)
            return
        try:
            replica = self.platform.read_replica(row)
        except PlatformError as error:
            # The row describes no usable replica, so a cached replica of that id is stale.
            registry.remove(row.key, now)
            self.log_unreadable(row, error)
            return
        before = registry.replicas.get(replica.id)
        if before and not self.settlement.is_settled(boot_time()) and replica.is_older_than(before):
            # The replica writes its row again; until then, what it wrote before the restore counts.
            return
        registry.update(replica)
        self.entry_state.rate_limits.cold.observe_row(replica, row.version, now)
        if before != replica:
            self.telemetry.state_changed(
                'replica listed',
                replica=replica.id,
                service=replica.service,
                address=str(replica.endpoint),
                draining=replica.draining,
                weights=dict(replica.weights),
                born_ms=replica.born_ms,
                row=row.version,
            )

    def log_unreadable(self, row: TableRow, error: PlatformError) -> None:
        """Log a row that cannot be decoded.

        :param row: the row.
        :param error: the decoding error.
        """
        self.telemetry.state_changed(
            'row unreadable', key=row.key, code=error.code.value, detail=error.detail
        )


__all__ = ('StateUpdater',)
