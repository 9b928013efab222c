"""A soak of the real programs under seeded faults, judged by what callers and backends see."""

from __future__ import annotations
