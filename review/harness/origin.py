"""An origin of weights that spoils a few of its answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cassiahitch.standins.weightservice import WeightService


def _ignore_spoilt(_what: str) -> None:
    """Do nothing when an answer is spoilt."""


@dataclass(slots=True)
class SpoilingOrigin(WeightService):
    """The next ``spoilt_manifests`` answers with digests have one wrong character.

    ``on_spoilt`` is called with what was spoilt.
    """

    spoilt_manifests: int = 0
    on_spoilt: Callable[[str], None] = _ignore_spoilt

    def digests(self, version: int) -> list[str]:
        """Return the digests of a version, one of them spoilt if that is due."""
        digests = WeightService.digests(self, version)
        if self.spoilt_manifests > 0:
            self.spoilt_manifests -= 1
            middle = len(digests) // 2
            wrong = '0' if digests[middle][0] == '1' else '1'
            digests[middle] = wrong + digests[middle][1:]
            self.on_spoilt(f'a character of digest {middle} of version {version}')
        return digests
