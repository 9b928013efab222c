"""Declarations of the operator that are in effect in a process, and the start of a process.

Load pattern: the store comes back from an older copy, and a process starts before the operator has
written again. The store gives it an older configuration than live processes have, with keys that
were revoked since. Each process therefore keeps the rows that are in effect for those that start.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.state.catalogue import Catalogue
from cassiahitch.direct.state.eras import FIRST_ERA
from cassiahitch.direct.state.feed import UNCONFIRMED_REPLIES
from cassiahitch.direct.state.versions import DeclaredVersion
from cassiahitch.wire.datagrammessages import RowRecord

if TYPE_CHECKING:
    from cassiahitch.direct.state.feed import Reply, TableRow


@dataclass(slots=True)
class DeclarationsInForce:
    """The rows in effect: the newest configuration and weight versions, and all other rows.

    Configurations and weight versions are ordered by the version in their contents, since row
    versions of different eras of the store cannot be compared. ``weights`` and ``weight_versions``
    are by model, ``others`` by the key of the row.
    """

    configuration_version: int = 0
    configuration: TableRow | None = None
    weights: dict[str, TableRow] = field(default_factory=dict)
    weight_versions: dict[str, int] = field(default_factory=dict)
    others: dict[str, TableRow] = field(default_factory=dict)

    def record(self, row: TableRow, declared: object) -> None:
        """Record a row that was decoded.

        :param row: the row.
        :param declared: its decoded content.
        """
        match declared:
            case Catalogue(version=version):
                if self.configuration is None or version > self.configuration_version:
                    self.configuration = row
                    self.configuration_version = version
            case DeclaredVersion(model=model, version=version):
                if version > self.weight_versions.get(model, 0):
                    self.weights[model] = row
                    self.weight_versions[model] = version
            case _:
                self.others[row.key] = row

    def remove(self, key: str) -> None:
        """Record the removal of a row; configurations and weight versions stay in effect.

        :param key: key of the row.
        """
        self.others.pop(key, None)

    def records(self, version: int) -> tuple[RowRecord, ...]:
        """Return the rows for a process that has a version of the configuration.

        :param version: that version; an older or equal configuration is left out.
        :return: the rows.
        """
        rows = [*self.weights.values(), *self.others.values()]
        if self.configuration is not None and self.configuration_version > version:
            rows.append(self.configuration)
        return tuple(RowRecord(row.key, row.content or b'', False, row.version) for row in rows)


@dataclass(slots=True)
class StartHold:
    """Holds back the configuration of a process that starts until its peers were asked for a newer.

    A store that names no era, or that was never restored, has the newest configuration itself.
    ``decided`` is set once the store has replied.
    """

    is_active: bool = False
    held: Catalogue | None = None
    decided: asyncio.Event = field(default_factory=asyncio.Event)

    def decide(self, reply: Reply) -> None:
        """Decide by the first reply of the store whether to ask peers.

        :param reply: a reply with declarations.
        """
        if self.decided.is_set() or isinstance(reply, UNCONFIRMED_REPLIES):
            return
        self.is_active = reply.era > FIRST_ERA
        self.decided.set()

    def keep(self, catalogue: Catalogue) -> None:
        """Hold a configuration back if it is the newest one.

        :param catalogue: the configuration.
        """
        if self.held is None or catalogue.version > self.held.version:
            self.held = catalogue

    def release(self) -> Catalogue | None:
        """Hold no configuration back from now on.

        :return: the newest one that was held back, None if there is none.
        """
        self.is_active = False
        held = self.held
        self.held = None
        return held


__all__ = (
    'DeclarationsInForce',
    'StartHold',
)
