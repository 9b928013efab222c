"""HTTP handler that lists the idempotency keys whose outcome is unknown."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from cassiahitch.entry.operator_handlers import OperatorHandler
from cassiahitch.ledger.rows import TABLE
from cassiahitch.ledger.sweep import SweepLimits, unknown_key

#: Rows of the claim table that are read for one page.
PAGE_ROWS = 500
#: Default limits of the retention sweep, which set the age at which a claim counts as unknown.
LIMITS = SweepLimits()


class UnknownKeysHandler(OperatorHandler):
    """Lists idempotency keys of callers whose request may or may not have run, in pages."""

    async def get(self) -> None:
        """Return the unknown keys of one page of claims.

        The query argument ``after`` is the field ``next`` of the previous page; it is empty in the
        last page.
        """
        await self.respond(self._page(self.get_query_argument('after', '')))

    async def _page(self, after: str) -> dict[str, Any]:
        rows = await self.operators.tables.scan(TABLE, '', after, PAGE_ROWS)
        wall = self.operators.node.clock.wall()
        unknown_keys = (unknown_key(row, wall, LIMITS.unknown_after_s) for row in rows)
        keys = [asdict(unknown) for unknown in unknown_keys if unknown is not None]
        return {'keys': keys, 'next': rows[-1].key if len(rows) == PAGE_ROWS else ''}


__all__ = ('UnknownKeysHandler',)
