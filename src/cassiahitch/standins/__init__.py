"""In-memory stand-ins of external systems, for the local mode, benchmarks and tests."""

from __future__ import annotations
