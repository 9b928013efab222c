"""At-most-once execution of requests: request ledger, claims and tickets."""

from __future__ import annotations
