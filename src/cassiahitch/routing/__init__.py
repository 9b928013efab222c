"""Replica selection: load balancing, outlier ejection and isolation of crashing requests."""

from __future__ import annotations
