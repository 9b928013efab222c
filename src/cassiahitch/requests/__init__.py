"""Filter chain for requests: identification, validation, limits, queue and dispatch."""

from __future__ import annotations
