"""Benchmarks that compare the system with baselines and targets."""

from __future__ import annotations
