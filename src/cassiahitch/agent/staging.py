"""Chunks on their way to the engine, in a folder of a memory file system."""

from __future__ import annotations

import asyncio
import shutil
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError

if TYPE_CHECKING:
    from pathlib import Path


class Staging:
    """Owns the folder and its bound."""

    def __init__(self, path: Path, max_bytes: int) -> None:
        """Empty the folder, since what an earlier process left there is not verified.

        :param path: the folder.
        :param max_bytes: most bytes that it may hold.
        """
        self.path = path
        self.max_bytes = max_bytes
        self.manifest_sizes: dict[str, int] = {}
        shutil.rmtree(path, ignore_errors=True)
        path.mkdir(parents=True)

    @property
    def used_bytes(self) -> int:
        """Bytes that the folder holds."""
        return sum(self.manifest_sizes.values())

    def folder(self, manifest: str) -> Path:
        """Return where the chunks of a manifest are.

        :param manifest: its digest.
        :return: the folder.
        """
        return self.path / manifest

    async def write(self, manifest: str, index: int, content: bytes) -> None:
        """Store a verified chunk.

        :param manifest: digest of its manifest.
        :param index: its position.
        :param content: its bytes.
        :raises CassiahitchError: ``staging_full``.
        """
        if self.used_bytes + len(content) > self.max_bytes:
            raise CassiahitchError(Code.staging_full, f'at most {self.max_bytes} bytes')
        self.manifest_sizes[manifest] = self.manifest_sizes.get(manifest, 0) + len(content)
        await asyncio.to_thread(self._write, manifest, index, content)

    async def read(self, manifest: str, index: int) -> bytes:
        """Return a chunk.

        :param manifest: digest of its manifest.
        :param index: its position.
        :return: its bytes.
        :raises CassiahitchError: ``chunk_missing``.
        """
        try:
            return await asyncio.to_thread(self._file(manifest, index).read_bytes)
        except OSError as error:
            raise CassiahitchError(Code.chunk_missing, f'chunk {index}') from error

    async def discard(self, manifest: str) -> None:
        """Remove all chunks of a manifest.

        :param manifest: its digest.
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
