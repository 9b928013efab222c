"""Controllers that bring the declared state into force."""

from __future__ import annotations
