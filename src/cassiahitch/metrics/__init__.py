"""Counters and latency histograms."""

from __future__ import annotations
