"""Measurements of the decisions against baselines and targets."""

from __future__ import annotations
