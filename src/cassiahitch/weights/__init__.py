"""Distribution of model weights over hosts."""

from __future__ import annotations
