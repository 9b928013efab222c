"""Takes the news of the store's tables in."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.state.catalogue import Catalogue
from cassiahitch.direct.state.feed import (
    UNCONFIRMED,
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

#: Seconds that an answer takes at least if the store held it back until there was news.
HELD_BACK_S = 0.1


@dataclass(slots=True)
class StateUpdater:
    """Decodes rows and applies them; a row that cannot be read changes nothing."""

    entry_state: EntryState
    platform: EntryPlatform
    telemetry: Telemetry

    def take_declarations(
        self,
        rows: tuple[TableRow, ...],
        reply: Reply,
        asked_at: float,
    ) -> None:
        """Take news of the operator in.

        :param rows: rows that are news.
        :param reply: the answer that brought them.
        :param asked_at: when the store was asked, on the boot clock.
        """
        readable = True
        waited = isinstance(reply, TableChanges) and boot_time() - asked_at >= HELD_BACK_S
        for row in rows:
            readable = self.take_declaration(row, waited=waited) and readable
        if readable and not isinstance(reply, UNCONFIRMED):
            self.entry_state.freshness.confirm(asked_at)

    def take_declaration(self, row: TableRow, *, waited: bool) -> bool:
        """Take one row of the operator in.

        :param row: the row.
        :param waited: whether the store held its answer back until there was news.
        :return: whether it could be read.
        """
        if row.content is None:
            return True
        try:
            declared = self.platform.read_declaration(row)
        except PlatformError as error:
            self.unreadable(row, error)
            return False
        match declared:
            case Catalogue():
                self.apply(declared)
            case DeclaredVersion():
                self.declare(declared, waited=waited)
        return True

    def apply(self, catalogue: Catalogue) -> None:
        """Put a configuration in force.

        :param catalogue: the configuration.
        """
        before = self.entry_state.catalogue
        applied = self.entry_state.apply(catalogue)
        self.telemetry.state_changed(
            'configuration in force' if applied else 'configuration is older',
            version=catalogue.version,
            before=before.version if before else None,
            routes=len(catalogue.routes),
            keys=len(catalogue.organisations),
        )

    def declare(self, declared: DeclaredVersion, *, waited: bool) -> None:
        """Take a declared version of weights in.

        :param declared: the version.
        :param waited: whether the store held its answer back until there was news.
        """
        versions = self.entry_state.versions
        now = asyncio.get_running_loop().time()
        confirmed_at = now - self.entry_state.freshness.age_s(boot_time())
        if versions.read(declared, confirmed_at, now, waited=waited):
            fields = {'model': declared.model, 'weights': declared.version}
            self.telemetry.state_changed('weights declared', **fields)

    def take_replicas(
        self,
        rows: tuple[TableRow, ...],
        reply: Reply,
        asked_at: float,
    ) -> None:
        """Take news of the backend servers in.

        :param rows: rows that are news.
        :param reply: the answer that brought them.
        :param asked_at: when the store was asked, on the boot clock.
        """
        now = asyncio.get_running_loop().time()
        if not isinstance(reply, UNCONFIRMED):
            self.entry_state.replicas.heard(now - (boot_time() - asked_at), now)
        for row in rows:
            self.take_replica(row, now)
        if isinstance(reply, TableSnapshot):
            self.entry_state.replicas_loaded = True

    def take_replica(self, row: TableRow, now: float) -> None:
        """Take one row of a backend server in.

        :param row: the row.
        :param now: seconds.
        """
        book = self.entry_state.replicas
        if row.content is None:
            book.remove(row.key, now)
            self.telemetry.state_changed('replica gone', replica=row.key, row=row.version)
            return
        try:
            replica = self.platform.read_replica(row)
        except PlatformError as error:
            # It names no replica to use, so one of that id is not used either.
            book.remove(row.key, now)
            self.unreadable(row, error)
            return
        before = book.replicas.get(replica.id)
        book.update(replica)
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

    def unreadable(self, row: TableRow, error: PlatformError) -> None:
        """Log a row that cannot be read.

        :param row: the row.
        :param error: why.
        """
        self.telemetry.state_changed(
            'row unreadable', key=row.key, code=error.code.value, detail=error.detail
        )


__all__ = ('StateUpdater',)
