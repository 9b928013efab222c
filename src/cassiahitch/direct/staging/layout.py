"""The layout of weights that the configuration declares, which each manifest must have."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.direct.staging.chunks import make_manifest
from cassiahitch.errors import PlatformError
from cassiahitch.util.digests import SHA256_PATTERN

if TYPE_CHECKING:
    from cassiahitch.direct.staging.chunks import VersionChunks, WeightsId
    from cassiahitch.direct.state.catalogue import Engine
    from cassiahitch.weights.manifest import Manifest

SHA256_DIGEST = re.compile(SHA256_PATTERN)


@dataclass(frozen=True, slots=True)
class ManifestDocument:
    """A manifest as the origin or another agent sent it, unchecked.

    ``digests`` are those of the chunks, in order. The other fields are None if it does not name
    them.
    """

    digests: tuple[str, ...]
    model: str | None = None
    version: int | None = None
    chunk_bytes: int | None = None
    layer_count: int | None = None


@dataclass(frozen=True, slots=True)
class WeightsLayout:
    """How each version of a model is split: into chunks of the same size, and into layers.

    It decides which manifests may be used. Fields that the configuration does not name are empty or
    0, and are not compared.
    """

    model: str = ''
    chunk_count: int = 0
    chunk_bytes: int = 0
    layer_count: int = 0

    @property
    def version_bytes(self) -> int:
        """Size of one version in bytes."""
        return self.chunk_count * self.chunk_bytes

    @property
    def all_chunks(self) -> int:
        """Bitmap of all chunks of a version."""
        return (1 << self.chunk_count) - 1

    def accept(self, weights: WeightsId, document: ManifestDocument) -> Manifest:
        """Return the manifest of a version if it lists exactly the chunks that an engine loads.

        :param weights: the version that was requested.
        :param document: what was received.
        :return: the manifest.
        :raises PlatformError: ``manifest_corrupt`` with the first difference.
        """
        count = len(document.digests)
        for name, found, expected in (
            ('model', document.model, weights.model),
            ('version', document.version, weights.version),
            ('chunk size', document.chunk_bytes, self.chunk_bytes),
            ('number of layers', document.layer_count, self.layer_count),
            ('number of digests', count, self.chunk_count or max(count, 1)),
        ):
            if found is not None and expected and found != expected:
                raise PlatformError(Code.manifest_corrupt, f'{name} {found} instead of {expected}')
        for index, digest in enumerate(document.digests):
            if not SHA256_DIGEST.fullmatch(digest):
                raise PlatformError(Code.manifest_corrupt, f'digest {index} is malformed')
        return make_manifest(weights, document.digests, (self.chunk_bytes,) * count)

    def has_chunk(self, model: str, index: int) -> bool:
        """Return whether a chunk that another agent names can exist.

        :param model: the model.
        :param index: position of the chunk.
        :return: False if the configuration declares another model or fewer chunks.
        """
        is_model = model == self.model or not self.model
        return is_model and (index < self.chunk_count or not self.chunk_count)

    def fits(self, chunks: VersionChunks) -> bool:
        """Return whether the cached chunks of a version are split in this way.

        :param chunks: the chunks.
        :return: whether their manifest lists this number of chunks of this size.
        """
        sizes = chunks.manifest.sizes
        return len(sizes) == (self.chunk_count or len(sizes)) and set(sizes) == {self.chunk_bytes}


def declared_layout(engine: Engine) -> WeightsLayout:
    """Return the layout of the weights of an engine.

    :param engine: the engine as the configuration declares it.
    :return: the layout of each version.
    """
    return WeightsLayout(engine.model, engine.chunk_count, engine.chunk_bytes, engine.layers)


__all__ = (
    'ManifestDocument',
    'WeightsLayout',
    'declared_layout',
)
