"""Snapshots of the configuration in the object store, for nodes that start in an outage."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.controllers.changes import decode_snapshot, encode_snapshot
from cassiahitch.errors import PlatformError, ResourceError

if TYPE_CHECKING:
    from cassiahitch.controllers.changes import Snapshot
    from cassiahitch.stores.api import ObjectStore

#: Seconds of wall time for which one pointer names the newest snapshot.
POINTER_INTERVAL_S = 60
#: Pointers that a fresh node tries, the newest first.
MAX_POINTER_READS = 64
#: Digits of a revision in the key of a snapshot.
REVISION_DIGITS = 16


class SnapshotArchive:
    """Keeps a snapshot for each archived revision and a pointer for each slot of time.

    Objects are immutable, so the newest snapshot is found by the pointer of the newest slot.
    All nodes would write the same snapshot for a revision, so any may do it.
    """

    def __init__(self, objects: ObjectStore) -> None:
        """Create the archive.

        :param objects: the object store.
        """
        self.objects = objects

    async def write(self, snapshot: Snapshot, wall_s: float) -> bool:
        """Archive a snapshot unless the current slot has one.

        :param snapshot: the configuration in force.
        :param wall_s: seconds since the Unix epoch.
        :return: whether it was written.
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
        """Return the newest snapshot that a recent pointer names.

        :param wall_s: seconds since the Unix epoch.
        :return: the snapshot, or nothing; a corrupt one is passed over.
        :raises PlatformError: with ``store_unavailable``.
        """
        for age in range(MAX_POINTER_READS):
            pointer = await self._get_object(pointer_key(wall_s, age))
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


def pointer_key(wall_s: float, age: int) -> str:
    """Return the key of a pointer.

    :param wall_s: seconds since the Unix epoch.
    :param age: how many slots it is older than the current one.
    :return: the key.
    """
    return f'configuration/pointer/{int(wall_s // POINTER_INTERVAL_S) - age}'


def snapshot_key(revision: int) -> str:
    """Return the key of a snapshot.

    :param revision: its revision.
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
