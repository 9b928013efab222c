"""At-most-once execution: request ledger, claims and tickets."""

from __future__ import annotations
