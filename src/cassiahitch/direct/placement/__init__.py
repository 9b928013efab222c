"""Selection of a replica for each request, by load and health."""

from __future__ import annotations
