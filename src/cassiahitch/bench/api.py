"""Results of a benchmark: figures with their targets, and series to plot."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol


class Bound(StrEnum):
    """How a figure is compared with its target; ``reported`` figures have none."""

    at_most = '<='
    at_least = '>='
    reported = ''


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured figure; ``target`` comes from the stated goals of the system."""

    name: str
    value: float
    unit: str
    bound: Bound = Bound.reported
    target: float = 0

    @property
    def met(self) -> bool:
        """Whether the figure meets its target."""
        match self.bound:
            case Bound.at_most:
                return self.value <= self.target
            case Bound.at_least:
                return self.value >= self.target
            case Bound.reported:
                return True


@dataclass(frozen=True, slots=True)
class Series:
    """A named line to plot."""

    name: str
    points: tuple[tuple[float, float], ...]


@dataclass(frozen=True, slots=True)
class BenchReport:
    """The report of one run of a benchmark."""

    name: str
    seed: int
    sizes: tuple[int, ...]
    figures: tuple[Figure, ...]
    series: tuple[Series, ...] = field(default=())
    axes: tuple[str, str] = ('', '')


class Bench(Protocol):
    """A benchmark that the command ``cassiahitch bench`` runs."""

    def __call__(self, seed: int, sizes: tuple[int, ...]) -> BenchReport:
        """Run the benchmark; with empty ``sizes`` it runs at its standard sizes."""


__all__ = (
    'Bench',
    'BenchReport',
    'Bound',
    'Figure',
    'Series',
)
