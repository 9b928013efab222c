"""Resources that operators declare, and their parser."""

from __future__ import annotations
