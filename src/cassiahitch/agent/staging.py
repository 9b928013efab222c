"""Staging area for the chunks that the engine loads, a folder in a memory file system."""

from __future__ import annotations

import asyncio
import shutil
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError

if TYPE_CHECKING:
    from pathlib import Path


class Staging:
    """Owns the staging folder and enforces its maximum size."""

    def __init__(self, path: Path, max_bytes: int) -> None:
        """Create the staging area, empty, since chunks of an earlier process are not verified.

        :param path: path of the folder.
        :param max_bytes: maximum size of all chunks, in bytes.
        """
        self.path = path
        self.max_bytes = max_bytes
        self.manifest_sizes: dict[str, int] = {}
        shutil.rmtree(path, ignore_errors=True)
        path.mkdir(parents=True)

    @property
    def used_bytes(self) -> int:
        """Size of all chunks in bytes, including those being written."""
        return sum(self.manifest_sizes.values())

    def folder(self, manifest: str) -> Path:
        """Return the folder of the chunks of a manifest.

        :param manifest: digest of the manifest.
        :return: path of the folder.
        """
        return self.path / manifest

    async def write(self, manifest: str, index: int, content: bytes) -> None:
        """Store a verified chunk.

        :param manifest: digest of its manifest.
        :param index: index of the chunk.
        :param content: content of the chunk.
        :raises CassiahitchError: ``staging_full``.
        """
        if self.used_bytes + len(content) > self.max_bytes:
            raise CassiahitchError(
                Code.staging_full, f'staging area would exceed {self.max_bytes} bytes'
            )
        self.manifest_sizes[manifest] = self.manifest_sizes.get(manifest, 0) + len(content)
        await asyncio.to_thread(self._write, manifest, index, content)

    async def read(self, manifest: str, index: int) -> bytes:
        """Return the content of a chunk.

        :param manifest: digest of its manifest.
        :param index: index of the chunk.
        :return: content of the chunk.
        :raises CassiahitchError: ``chunk_missing``.
        """
        try:
            return await asyncio.to_thread(self._file(manifest, index).read_bytes)
        except OSError as error:
            raise CassiahitchError(
                Code.chunk_missing, f'chunk {index} is not in the staging area'
            ) from error

    async def discard(self, manifest: str) -> None:
        """Remove all chunks of a manifest.

        :param manifest: digest of the manifest.
        """
        self.manifest_sizes.pop(manifest, None)
        await asyncio.to_thread(shutil.rmtree, self.folder(manifest), ignore_errors=True)

    def close(self) -> None:
        """Remove the folder."""
        shutil.rmtree(self.path, ignore_errors=True)

    def _file(self, manifest: str, index: int) -> Path:
        return self.folder(manifest) / f'{index:06d}'

    def _write(self, manifest: str, index: int, content: bytes) -> None:
        self.folder(manifest).mkdir(exist_ok=True)
        self._file(manifest, index).write_bytes(content)


__all__ = ('Staging',)
