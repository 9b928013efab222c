"""Bounds that settings give to other packages."""

from __future__ import annotations

from dataclasses import dataclass

KIB = 1024
MIB = 1_048_576


@dataclass(frozen=True, slots=True)
class AnswerBounds:
    """Bounds in bytes.

    ``held`` is what is held of one answer before it passes on piece by piece, ``held_by_all`` that
    of all answers at a time, ``largest`` the largest answer that is passed on.
    """

    held: int
    held_by_all: int
    largest: int


__all__ = (
    'KIB',
    'MIB',
    'AnswerBounds',
)
