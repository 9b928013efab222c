"""Cached copies of the store's tables: the configuration, replicas and weight versions."""

from __future__ import annotations
