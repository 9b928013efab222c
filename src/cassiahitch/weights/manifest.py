"""Manifests, which list the chunks of one version of weights and their digests."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from functools import cached_property
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.resources.models import Digest

MAX_MANIFEST_BYTES = 16_777_216
#: Sixteen chunks in flight use much less than the memory of an agent, and one fits into a frame.
MAX_CHUNK_BYTES = 2_097_152
MAX_CHUNKS = 65_536
MAX_VERSION_LENGTH = 128

_ChunkSize = Annotated[int, Field(ge=1, le=MAX_CHUNK_BYTES)]


class _ManifestModel(BaseModel):
    """JSON schema of a manifest."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    version: str = Field(min_length=1, max_length=MAX_VERSION_LENGTH)
    chunk_bytes: _ChunkSize
    chunks: list[Digest] = Field(min_length=1, max_length=MAX_CHUNKS)
    sizes: list[_ChunkSize] = Field(min_length=1, max_length=MAX_CHUNKS)
    total_bytes: int = Field(ge=1)

    @model_validator(mode='after')
    def check_sizes(self) -> _ManifestModel:
        """Check that the sizes are consistent with the chunks and the total.

        :return: the model itself.
        :raises ValueError: if they are not.
        """
        if len(self.sizes) != len(self.chunks):
            raise ValueError('sizes and chunks differ in length')
        if any(size != self.chunk_bytes for size in self.sizes[:-1]):
            raise ValueError('a chunk other than the last does not have chunk_bytes bytes')
        if self.sizes[-1] > self.chunk_bytes or sum(self.sizes) != self.total_bytes:
            raise ValueError(
                'the last size exceeds chunk_bytes or the sum of sizes is not total_bytes'
            )
        return self


@dataclass(frozen=True)
class Manifest:
    """Chunks of a version: their hexadecimal SHA-256 digests and their sizes in bytes."""

    version: str
    chunk_bytes: int
    chunks: tuple[str, ...]
    sizes: tuple[int, ...]
    total_bytes: int

    @cached_property
    def digest(self) -> str:
        """SHA-256 digest of the canonical JSON form, which identifies the version."""
        return hashlib.sha256(self.to_json()).hexdigest()

    def to_json(self) -> bytes:
        """Return the canonical JSON form.

        :return: UTF-8 JSON with sorted keys and no spaces.
        """
        fields = {
            'version': self.version,
            'chunk_bytes': self.chunk_bytes,
            'chunks': self.chunks,
            'sizes': self.sizes,
            'total_bytes': self.total_bytes,
        }
        return json.dumps(fields, sort_keys=True, separators=(',', ':')).encode()


def parse_manifest(raw: bytes, expected_digest: str) -> Manifest:
    """Parse a manifest and check that it is the expected one.

    :param raw: the manifest as JSON.
    :param expected_digest: hexadecimal digest that the manifest must have.
    :return: the manifest.
    :raises CassiahitchError: ``manifest_corrupt`` if it is invalid, ``manifest_changed`` if its
        digest is not the expected one.
    """
    if len(raw) > MAX_MANIFEST_BYTES:
        raise CassiahitchError(Code.manifest_corrupt, 'manifest is too large')
    try:
        model = _ManifestModel.model_validate_json(raw)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        raise CassiahitchError(Code.manifest_corrupt, str(first['msg'])) from error
    manifest = Manifest(
        model.version,
        model.chunk_bytes,
        tuple(model.chunks),
        tuple(model.sizes),
        model.total_bytes,
    )
    if manifest.digest != expected_digest:
        raise CassiahitchError(
            Code.manifest_changed, f'unexpected manifest digest {manifest.digest}'
        )
    return manifest


def build_manifest(version: str, content: bytes, chunk_bytes: int) -> Manifest:
    """Build the manifest of the weights of a version.

    :param version: name of the version.
    :param content: the weights.
    :param chunk_bytes: size of all chunks but the last, in bytes.
    :return: the manifest.
    :raises CassiahitchError: ``manifest_corrupt`` if the weights exceed the limits of a manifest.
    """
    starts = range(0, len(content), max(1, chunk_bytes))
    chunks = tuple(content[start : start + chunk_bytes] for start in starts)
    manifest = Manifest(
        version,
        chunk_bytes,
        tuple(hashlib.sha256(chunk).hexdigest() for chunk in chunks),
        tuple(len(chunk) for chunk in chunks),
        len(content),
    )
    return parse_manifest(manifest.to_json(), manifest.digest)


def verify_chunk(manifest: Manifest, index: int, content: bytes) -> bool:
    """Return whether the content of a chunk matches its manifest.

    :param manifest: the manifest that lists the chunk.
    :param index: index of the chunk.
    :param content: the bytes received.
    :return: whether the index exists and size and digest match.
    """
    if not 0 <= index < len(manifest.chunks):
        return False
    if len(content) != manifest.sizes[index]:
        return False
    return hashlib.sha256(content).hexdigest() == manifest.chunks[index]


__all__ = (
    'MAX_CHUNKS',
    'MAX_CHUNK_BYTES',
    'MAX_MANIFEST_BYTES',
    'Manifest',
    'build_manifest',
    'parse_manifest',
    'verify_chunk',
)
