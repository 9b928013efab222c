"""Archive of configuration snapshots, read by nodes that start while the store is down."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.controllers.changes import decode_snapshot, encode_snapshot
from cassiahitch.errors import PlatformError, ResourceError

if TYPE_CHECKING:
    from cassiahitch.controllers.changes import Snapshot
    from cassiahitch.stores.api import ObjectStore

#: Seconds of wall time that share one pointer object, which names the newest snapshot.
POINTER_INTERVAL_S = 60
#: Most pointers that a starting node reads, newest first.
MAX_POINTER_READS = 64
#: Digits of the zero-padded revision in the key of a snapshot.
REVISION_DIGITS = 16


class SnapshotArchive:
    """Stores one snapshot object per archived revision and one pointer object per interval.

    Objects are immutable, so no single object can always name the newest snapshot: readers
    take the pointer of the latest interval that has one. The snapshot of a revision is the
    same on all nodes, so any node may write it.
    """

    def __init__(self, objects: ObjectStore) -> None:
        """Create an archive.

        :param objects: the object store that holds it.
        """
        self.objects = objects

    async def write(self, snapshot: Snapshot, wall_s: float) -> bool:
        """Archive a snapshot unless the current interval already has a pointer.

        :param snapshot: the configuration in force.
        :param wall_s: seconds since the Unix epoch.
        :return: whether the snapshot was archived.
        :raises PlatformError: with ``store_unavailable``.
        """
        pointer = pointer_key(wall_s, 0)
        if await self._get_object(pointer) is not None:
            return False
        key = snapshot_key(snapshot.revision)
        if await self._get_object(key) is None:
            await self.objects.put(key, encode_snapshot(snapshot))
        await self.objects.put(pointer, str(snapshot.revision).encode())
        return True

    async def latest(self, wall_s: float) -> Snapshot | None:
        """Return the snapshot of the newest usable pointer.

        :param wall_s: seconds since the Unix epoch.
        :return: the snapshot, or ``None``; corrupt snapshots and pointers are skipped.
        :raises PlatformError: with ``store_unavailable``.
        """
        for intervals_back in range(MAX_POINTER_READS):
            pointer = await self._get_object(pointer_key(wall_s, intervals_back))
            if pointer is not None and pointer.isdigit():
                snapshot = await self._load(int(pointer))
                if snapshot is not None:
                    return snapshot
        return None

    async def _load(self, revision: int) -> Snapshot | None:
        encoded = await self._get_object(snapshot_key(revision))
        if encoded is None:
            return None
        try:
            return decode_snapshot(encoded)
        except ResourceError:
            return None

    async def _get_object(self, key: str) -> bytes | None:
        try:
            return await self.objects.get(key)
        except PlatformError as error:
            if error.code is Code.object_missing:
                return None
            raise


def pointer_key(wall_s: float, intervals_back: int) -> str:
    """Return the object key of a pointer.

    :param wall_s: seconds since the Unix epoch.
    :param intervals_back: number of intervals before the current one.
    :return: the key.
    """
    return f'configuration/pointer/{int(wall_s // POINTER_INTERVAL_S) - intervals_back}'


def snapshot_key(revision: int) -> str:
    """Return the object key of a snapshot.

    :param revision: the revision of the snapshot.
    :return: the key.
    """
    return f'configuration/snapshot/{revision:0{REVISION_DIGITS}d}'


__all__ = (
    'MAX_POINTER_READS',
    'POINTER_INTERVAL_S',
    'SnapshotArchive',
    'pointer_key',
    'snapshot_key',
)
