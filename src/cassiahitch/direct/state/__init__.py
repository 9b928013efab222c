"""What an entry knows of the configuration, backend servers and weights."""

from __future__ import annotations
