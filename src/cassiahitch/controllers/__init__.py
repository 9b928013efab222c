"""Configuration store and the controllers that bring hosts to the declared state."""

from __future__ import annotations
