"""Cost of configuration at one node, over the real documents and decisions."""

from __future__ import annotations

import time
import tracemalloc
from dataclasses import dataclass
from hashlib import sha256

from cassiahitch.controllers.changes import (
    Change,
    Delta,
    Snapshot,
    decode_change,
    encode_change,
    encode_snapshot,
)
from cassiahitch.controllers.configuration import Configuration
from cassiahitch.resources.models import Organisation
from cassiahitch.resources.parsing import resource_bytes, resource_key

#: Changes that are applied in a measurement.
CHANGES = 200


@dataclass(frozen=True, slots=True)
class RevisionCost:
    """Cost of one change at a node, and of holding and starting with all resources."""

    cpu_s: float
    change_bytes: float
    snapshot_bytes: int
    snapshot_cpu_s: float
    memory_bytes: int


def measure_revisions(organisations: int) -> RevisionCost:
    """Start a node with a number of organisations and apply changes to it.

    :param organisations: how many there are.
    :return: the cost.
    """
    snapshot = Snapshot(
        organisations,
        tuple(_change(number, number) for number in range(1, organisations + 1)),
    )
    encoded = [encode_change(_change(organisations + 1 + step, 1)) for step in range(CHANGES)]
    node = Configuration()
    tracemalloc.start()
    node.apply(snapshot, 0)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return RevisionCost(
        _apply_all(node, encoded) / CHANGES,
        sum(len(line) for line in encoded) / CHANGES,
        len(encode_snapshot(snapshot)),
        _start(snapshot),
        memory_bytes + sum(change.size for change in snapshot.resources),
    )


def _apply_all(node: Configuration, encoded: list[bytes]) -> float:
    start = time.process_time()
    for line in encoded:
        change = decode_change(line)
        node.apply(Delta(node.revision, (change,), change.revision), change.revision)
        node.update_since(node.revision - 1, len(line))
    return time.process_time() - start


def _start(snapshot: Snapshot) -> float:
    start = time.process_time()
    Configuration().apply(snapshot, 0)
    return time.process_time() - start


def _change(revision: int, number: int) -> Change:
    digests = tuple(sha256(f'{number}-{key}'.encode()).hexdigest() for key in range(2))
    organisation = Organisation(name=f'organisation-{number}', key_digests=digests, weight=2)
    change_id = sha256(str(revision).encode()).hexdigest()[:32]
    return Change(change_id, revision, resource_key(organisation), resource_bytes(organisation))


__all__ = (
    'RevisionCost',
    'measure_revisions',
)
