"""Measures the cost of configuration at one node, with the real encoding and change handling."""

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

#: Changes applied in a measurement.
CHANGES = 200


@dataclass(frozen=True, slots=True)
class RevisionCost:
    """Cost at a node of applying a change, and of loading and storing a full snapshot."""

    cpu_s: float
    change_bytes: float
    snapshot_bytes: int
    snapshot_cpu_s: float
    memory_bytes: int


def measure_revisions(organisations: int) -> RevisionCost:
    """Measure the cost of a snapshot of organisations and of changes that follow it.

    :param organisations: number of organisations.
    :return: the cost at the node.
    """
    snapshot = Snapshot(
        organisations,
        tuple(_change(number, number) for number in range(1, organisations + 1)),
    )
    encoded_changes = [
        encode_change(_change(organisations + 1 + step, 1)) for step in range(CHANGES)
    ]
    node = Configuration()
    tracemalloc.start()
    node.apply(snapshot, 0)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return RevisionCost(
        _measure_changes(node, encoded_changes) / CHANGES,
        sum(len(encoded_change) for encoded_change in encoded_changes) / CHANGES,
        len(encode_snapshot(snapshot)),
        _measure_start(snapshot),
        memory_bytes + sum(change.size for change in snapshot.resources),
    )


def _measure_changes(node: Configuration, encoded_changes: list[bytes]) -> float:
    start = time.process_time()
    for encoded_change in encoded_changes:
        change = decode_change(encoded_change)
        node.apply(Delta(node.revision, (change,), change.revision), change.revision)
        node.update_since(node.revision - 1, len(encoded_change))
    return time.process_time() - start


def _measure_start(snapshot: Snapshot) -> float:
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
