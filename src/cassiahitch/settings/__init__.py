"""Models of the settings files, and their loader."""

from __future__ import annotations
