"""Interface and HTTP client of backend servers that run a model."""

from __future__ import annotations
