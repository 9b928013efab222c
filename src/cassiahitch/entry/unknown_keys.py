"""HTTP handler that lists the keys whose outcome is unknown."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from cassiahitch.entry.operator_handlers import OperatorHandler
from cassiahitch.ledger.rows import TABLE
from cassiahitch.ledger.sweep import SweepLimits, unknown_key

#: Rows that one answer looks at.
PAGE_ROWS = 500
LIMITS = SweepLimits()


class UnknownKeysHandler(OperatorHandler):
    """Lists callers' keys that may have run or not, page by page."""

    async def get(self) -> None:
        """Return the unknown keys of a page of claims.

        The argument ``after`` is the ``next`` of the page before; the last page has none.
        """
        await self.answer(self._page(self.get_query_argument('after', '')))

    async def _page(self, after: str) -> dict[str, Any]:
        rows = await self.operators.tables.scan(TABLE, '', after, PAGE_ROWS)
        wall = self.operators.node.clock.wall()
        found = (unknown_key(row, wall, LIMITS.settle_s) for row in rows)
        keys = [asdict(unknown) for unknown in found if unknown is not None]
        return {'keys': keys, 'next': rows[-1].key if len(rows) == PAGE_ROWS else ''}


__all__ = ('UnknownKeysHandler',)
