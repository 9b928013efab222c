"""Resources that operators declare."""

from __future__ import annotations
