"""Distribution of declared weights to the engine of each host."""

from __future__ import annotations
